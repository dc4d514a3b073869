package app

import (
	"context"
	"errors"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// platformClaims records claims of terms and their primaries on the platform.
type platformClaims struct {
	groups *configuration.Groups
}

// Claim implements failover.Claims.
func (c platformClaims) Claim(ctx context.Context, group state.GroupID, term state.Term, promoter state.InstanceID) error {
	err := c.groups.ClaimTerm(ctx, group, term, promoter)
	var claimed *configuration.ClaimedError
	if errors.As(err, &claimed) {
		return &failover.ClaimedError{Term: claimed.Term, Promoter: claimed.Promoter}
	}
	if err != nil {
		return errors.Join(failover.ErrUnavailable, err)
	}
	return nil
}

// Record implements failover.Claims.
func (c platformClaims) Record(ctx context.Context, group state.GroupID, term state.Term, primary state.DatabaseID) error {
	err := c.groups.RecordPrimary(ctx, group, term, primary)
	var superseded *configuration.SupersededError
	if errors.As(err, &superseded) {
		return nil
	}
	return err
}
