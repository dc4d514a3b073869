package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Claims reserves terms at the platform, so that promoters do not duel.
type Claims interface {
	// Claim records by a conditional write that promoter tries to win term. It
	// is idempotent. It returns a *ClaimedError where another promoter
	// claimed that term or a later one, and ErrUnavailable where the platform
	// did not answer; the claim may then be recorded or not.
	Claim(ctx context.Context, group state.GroupID, term state.Term, promoter state.InstanceID) error
	// Record stores the primary of term as the group's hint, unless a later
	// term is stored.
	Record(ctx context.Context, group state.GroupID, term state.Term, primary state.DatabaseID) error
}

// Errors of Claims and of changes.
var (
	ErrUnavailable = errors.New("platform unavailable")
	// ErrNoMajority says that too few databases accepted the term.
	ErrNoMajority = errors.New("no majority accepted the term")
	// ErrTermUsed says that a database had already been given a role in the
	// term, so nothing may be promoted in it by this attempt.
	ErrTermUsed = errors.New("term already used")
	// ErrNotPromoted says that the candidate did not confirm its promotion.
	// It may have been promoted all the same.
	ErrNotPromoted = errors.New("candidate did not confirm its promotion")
	// ErrNoPrimary says that a planned change found no primary to change from.
	ErrNoPrimary = errors.New("no primary known")
	// ErrOtherPromoted says that a planned change promoted another database
	// than the one asked for, because that one's log was behind.
	ErrOtherPromoted = errors.New("another database had the longer log")
	// ErrStopped says that the Manager's Run has returned.
	ErrStopped = errors.New("manager stopped")
)

// ClaimedError says that the platform holds another promoter's claim.
type ClaimedError struct {
	Term     state.Term
	Promoter state.InstanceID
}

// Error names the claim.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("term %d claimed by %s", e.Term, e.Promoter)
}

// Observers asks the other owners of the group's databases what they see of
// its primary.
type Observers interface {
	// CollectObservations returns the observations of the owners that answered in time.
	CollectObservations(ctx context.Context, group state.GroupID) []Observation
}

// Observation is what one owner sees of a group's primary.
type Observation struct {
	Observer state.InstanceID `msgpack:"obs" json:"observer"`
	Term     state.Term       `msgpack:"term" json:"term"`
	Primary  state.DatabaseID `msgpack:"primary" json:"primary"`
	// Age is how long ago the primary last answered the observer, at the
	// moment of the observation.
	Age time.Duration `msgpack:"age" json:"age_ns"`
	// RoundAge is how long ago the last round started that reached both the
	// primary and a majority of its term, so that writes could be
	// acknowledged. Negative when there was none.
	RoundAge time.Duration `msgpack:"round" json:"round_age_ns"`
}

// WriteHolder holds new writes of a group back during a planned change and
// waits for those in progress. The release function lets them go on.
type WriteHolder interface {
	HoldWrites(ctx context.Context, group state.GroupID) (release func(), err error)
}
