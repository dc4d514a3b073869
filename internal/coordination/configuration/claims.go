package configuration

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// prefixClaims, followed by a group's id, is the key of its latest claim.
const prefixClaims = "claims/"

// maxUpdateAttempts limits how often a conditional write is attempted if its
// record changes between the read and the write.
const maxUpdateAttempts = 4

// claim records that a promoter has claimed a term of a group.
type claim struct {
	Term     state.Term       `json:"term"`
	Promoter state.InstanceID `json:"promoter"`
}

// ClaimTerm claims a group's term for a promoter. It is idempotent. A
// *ClaimedError means that another promoter has claimed the term, or that a
// higher term has been claimed. A *state.Failure means that the call to the
// platform failed; with OutcomeUnknown, the claim may have been recorded, and
// repeating the call shows whether it was.
func (g *Groups) ClaimTerm(ctx context.Context, group state.GroupID, term state.Term, promoter state.InstanceID) error {
	key := prefixClaims + string(group)
	wanted := claim{Term: term, Promoter: promoter}
	decide := func(record tables.Record) ([]byte, error) {
		var latest claim
		if record.Exists() {
			if err := decodeRecord("read claim", record.Value, &latest); err != nil {
				return nil, err
			}
		}
		if latest == wanted {
			return nil, nil
		}
		if latest.Term >= term {
			return nil, &ClaimedError{Group: group, Term: latest.Term, Promoter: latest.Promoter}
		}
		return encodeRecord(wanted), nil
	}
	_, err := g.update(ctx, key, decide)
	return err
}

// RecordPrimary records the primary of a group's term. It is idempotent. A
// *SupersededError means that the record has a higher term, or another primary
// for the same term.
func (g *Groups) RecordPrimary(ctx context.Context, id state.GroupID, term state.Term, primary state.DatabaseID) error {
	var recorded state.Group
	decide := func(record tables.Record) ([]byte, error) {
		if !record.Exists() {
			return nil, eris.Errorf("record primary: group %s does not exist", id)
		}
		if err := decodeRecord("read group", record.Value, &recorded); err != nil {
			return nil, err
		}
		if recorded.Term == term && recorded.Primary == primary {
			return nil, nil
		}
		if recorded.Term >= term {
			return nil, &SupersededError{Group: id, Term: recorded.Term, Primary: recorded.Primary}
		}
		recorded.Term = term
		recorded.Primary = primary
		return encodeRecord(recorded), nil
	}
	version, err := g.update(ctx, GroupKey(id), decide)
	if err != nil {
		return err
	}
	g.merge([]GroupRecord{{Group: recorded, Version: version}})
	return nil
}

// update replaces a record's value with the one that decide returns, or leaves
// it unchanged if that is nil, and returns the record's version. decide always
// gets the latest committed record, never a stale read.
func (g *Groups) update(
	ctx context.Context, key string, decide func(tables.Record) ([]byte, error),
) (uint64, error) {
	records, err := tables.ReadLatest(ctx, g.tables, uuid.NewString(), key)
	for range maxUpdateAttempts {
		if err != nil {
			return 0, err
		}
		latest := records[0]
		value, decideErr := decide(latest)
		if decideErr != nil || value == nil {
			return latest.Version, decideErr
		}
		var result tables.Result
		result, err = g.tables.Transact(ctx, tables.Transaction{
			ID:         fmt.Sprintf("update/%s/%s", key, uuid.NewString()),
			Conditions: []tables.Condition{{Key: key, Version: latest.Version}},
			Writes:     []tables.Write{{Key: key, Value: value}},
		})
		if result.Committed {
			return result.Records[0].Version, err
		}
		records = result.Records
	}
	return 0, state.NotRun(state.ReasonConflict, "update "+key, "", 0, eris.New("the record was changed by another writer during each attempt"))
}
