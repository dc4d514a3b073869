package configuration

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maxEditAttempts bounds how often an edit starts anew because another edit was
// accepted between its read and its write.
const maxEditAttempts = 8

// MaxHistoryEntries is how many revisions the history keeps.
const MaxHistoryEntries = 1000

// Edit is one operators' edit.
type Edit struct {
	// ID is the idempotency key. An edit is accepted at most once.
	ID string `json:"edit_id"`
	// Base is the revision that the operator saw, zero before the first.
	Base   state.Revision `json:"base_revision"`
	Change Change         `json:"change"`
	// Rebase accepts the edit also on a later revision than Base, if the
	// entries that changed since are other ones.
	Rebase bool `json:"rebase,omitempty"`
	// Restore makes the edit start from the configuration in force in place
	// of the platform's, where the platform holds an older one. Base must be
	// the revision in force.
	Restore bool `json:"restore,omitempty"`
	// Retry says that an earlier attempt of the same edit ended with an
	// unknown outcome, so that a failure to look it up leaves it unknown.
	Retry bool `json:"retry,omitempty"`
}

// EditResult says what an accepted edit made.
type EditResult struct {
	Revision state.Revision `json:"revision"`
	// AlreadyAccepted is set where an earlier attempt of the same edit was
	// accepted.
	AlreadyAccepted bool `json:"already_accepted,omitempty"`
	// Configuration is what this attempt wrote; nil with AlreadyAccepted.
	Configuration *state.Configuration `json:"-"`
}

// Edit applies an edit by a conditional write. inForce is the newest
// configuration known to be in force anywhere, or nil; the accepted revision
// lies above it. groups are the known databases, or nil where they are not
// known.
//
// Errors: *ValidationError, *ConflictError, *BehindInForceError and
// *EditReusedError mean that nothing was applied. A *state.Failure with
// OutcomeUnknown means that the edit may have been accepted: repeat it with
// the same id.
func (s *Store) Edit(ctx context.Context, edit Edit, inForce *state.Configuration, groups []state.GroupID) (EditResult, error) {
	if edit.ID == "" {
		return EditResult{}, &ValidationError{Fields: []FieldError{{Path: "edit_id", Message: "must not be empty"}}}
	}
	if inForce != nil && inForce.EditID == edit.ID {
		return EditResult{Revision: inForce.Revision, AlreadyAccepted: true}, nil
	}
	for range maxEditAttempts {
		accepted, done, err := s.tryEdit(ctx, edit, inForce, groups)
		if done || err != nil {
			return accepted, err
		}
	}
	return EditResult{}, state.NotRun(state.ReasonConflict, "edit configuration", "", 0,
		eris.New("other edits were accepted meanwhile, again and again"))
}

// tryEdit reports done=false where another edit was accepted meanwhile.
func (s *Store) tryEdit(
	ctx context.Context, edit Edit, inForce *state.Configuration, groups []state.GroupID,
) (EditResult, bool, error) {
	latest, earlier, err := s.readLatest(ctx, edit.ID)
	if err != nil {
		return EditResult{}, false, editReadError(edit, err)
	}
	if earlier.Revision != 0 {
		accepted, err := earlierResult(edit, earlier)
		return accepted, true, err
	}
	next, err := s.nextConfiguration(ctx, edit, latest.configuration, inForce)
	if err != nil {
		return EditResult{}, false, editReadError(edit, err)
	}
	if err := Validate(next, groups); err != nil {
		return EditResult{}, false, err
	}
	result, err := s.tables.Transact(ctx, editTransaction(edit, latest, next))
	if err != nil {
		return EditResult{}, false, err
	}
	return EditResult{Revision: next.Revision, Configuration: next}, result.Committed, nil
}

func earlierResult(edit Edit, earlier editRecord) (EditResult, error) {
	if earlier.ChangeHash != hashOf(edit.Change) {
		return EditResult{}, &EditReusedError{EditID: edit.ID, Revision: earlier.Revision}
	}
	return EditResult{Revision: earlier.Revision, AlreadyAccepted: true}, nil
}

// editReadError turns the failure of a read before the edit's write into that
// of the edit: nothing of this attempt ran, but an earlier one may have.
func editReadError(edit Edit, err error) error {
	failure, ok := state.AsFailure(err)
	if !ok {
		return err
	}
	result := *failure
	result.Outcome = state.OutcomeNotRun
	if edit.Retry {
		result.Outcome = state.OutcomeUnknown
	}
	return &result
}

// nextConfiguration returns the configuration that the edit makes.
func (s *Store) nextConfiguration(ctx context.Context, edit Edit, latest, inForce *state.Configuration) (*state.Configuration, error) {
	start := latest
	if inForce != nil && inForce.Revision > latest.Revision {
		if !edit.Restore {
			return nil, &BehindInForceError{Platform: latest.Revision, InForce: inForce.Revision}
		}
		start = inForce
	}
	if edit.Base != start.Revision {
		if err := s.checkRebase(ctx, edit, start); err != nil {
			return nil, err
		}
	}
	next := edit.Change.Apply(start)
	next.Revision = start.Revision + 1
	next.EditID = edit.ID
	return next, nil
}

// checkRebase returns nil where the edit may be applied to current although
// its base is another revision.
func (s *Store) checkRebase(ctx context.Context, edit Edit, latest *state.Configuration) error {
	base, err := s.Revision(ctx, edit.Base)
	if err != nil {
		return err
	}
	conflict := &ConflictError{Base: edit.Base, Current: latest.Revision}
	if base == nil || edit.Base > latest.Revision {
		conflict.BaseUnknown = true
		return conflict
	}
	since := Diff(base, latest)
	conflict.Changed = since.Entries()
	conflict.Conflicting = commonEntries(since, edit.Change)
	if edit.Rebase && len(conflict.Conflicting) == 0 {
		return nil
	}
	return conflict
}

// editTransaction writes all records of an edit. It commits only while the
// current configuration is the one that was read and no edit of that id was
// accepted. Its id names the version that was read, so that a later try is
// another transaction.
func editTransaction(edit Edit, latest current, next *state.Configuration) tables.Transaction {
	encoded := encodeRecord(next)
	record := editRecord{Revision: next.Revision, ChangeHash: hashOf(edit.Change)}
	transaction := tables.Transaction{
		ID: fmt.Sprintf("edit/%s/%d/%s", edit.ID, latest.version, hashOf(next)),
		Conditions: []tables.Condition{
			{Key: KeyCurrent, Version: latest.version},
			{Key: KeyHead, Version: latest.headVersion},
			{Key: editKey(edit.ID), Version: tables.VersionAbsent},
		},
		Writes: []tables.Write{
			{Key: KeyCurrent, Value: encoded},
			{Key: KeyHead, Value: encodeRecord(DigestOf(next))},
			{Key: historyKey(next.Revision), Value: encoded},
			{Key: editKey(edit.ID), Value: encodeRecord(record)},
		},
	}
	if next.Revision > MaxHistoryEntries {
		expired := historyKey(next.Revision - MaxHistoryEntries)
		transaction.Writes = append(transaction.Writes, tables.Write{Key: expired, Delete: true})
	}
	return transaction
}
