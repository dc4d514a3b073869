package configuration

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maxEditAttempts limits how often an edit is attempted if other edits are
// accepted between its read and its write.
const maxEditAttempts = 8

// MaxHistoryEntries is the number of revisions kept in the history.
const MaxHistoryEntries = 1000

// Edit is an operator's edit of the configuration.
type Edit struct {
	// ID is the idempotency key. An edit is accepted at most once.
	ID string `json:"edit_id"`
	// Base is the revision that the edit was made from, zero if there was none.
	Base   state.Revision `json:"base_revision"`
	Change Change         `json:"change"`
	// Rebase allows the edit to be applied to a later revision than Base, if
	// none of its entries has changed since.
	Rebase bool `json:"rebase,omitempty"`
	// Restore applies the edit to the configuration in force instead of the
	// platform's, if the platform holds an older one. Base must then be the
	// revision in force, unless Rebase is set.
	Restore bool `json:"restore,omitempty"`
	// Retry is set if an earlier attempt of the same edit ended with an unknown
	// outcome. If reading the edit's record then fails, the outcome stays
	// unknown.
	Retry bool `json:"retry,omitempty"`
}

// EditResult describes the revision that an accepted edit created.
type EditResult struct {
	Revision state.Revision `json:"revision"`
	// AlreadyAccepted is set if an earlier attempt of the same edit was
	// accepted.
	AlreadyAccepted bool `json:"already_accepted,omitempty"`
	// Configuration is the one that this attempt wrote, nil with AlreadyAccepted.
	Configuration *state.Configuration `json:"-"`
}

// Edit applies an edit by a conditional write. inForce is the newest
// configuration known to be in force on any instance, or nil; the accepted
// revision is higher than its revision. groups are the known database groups,
// or nil if none is known yet.
//
// *ValidationError, *ConflictError, *BehindInForceError and *EditReusedError
// mean that nothing was applied. A *state.Failure with OutcomeUnknown means
// that the edit may have been accepted; the caller should repeat it with the
// same id.
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

// tryEdit makes one attempt at an edit. It returns false and no error if
// another edit was accepted between the read and the write.
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

// earlierResult returns the result of an edit whose id was accepted before, or
// an *EditReusedError if it was accepted with another change.
func earlierResult(edit Edit, earlier editRecord) (EditResult, error) {
	if earlier.ChangeHash != hashOf(edit.Change) {
		return EditResult{}, &EditReusedError{EditID: edit.ID, Revision: earlier.Revision}
	}
	return EditResult{Revision: earlier.Revision, AlreadyAccepted: true}, nil
}

// editReadError converts the failure of a read before the edit's write into the
// failure of the edit. This attempt wrote nothing, but if the edit is a retry,
// an earlier attempt may have.
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

// nextConfiguration returns the configuration that results from the edit.
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

// checkRebase returns nil if the edit may be applied to latest although its
// base is another revision, and a *ConflictError if not.
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

// editTransaction returns the transaction that writes all records of an edit.
// It commits only if the current configuration is still the one that was read
// and no edit with the same id has been accepted. Its id includes the version
// that was read, so that an attempt from a later version is a new transaction.
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
