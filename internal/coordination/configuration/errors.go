package configuration

import (
	"fmt"
	"strings"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// ConflictError reports that an edit was refused because it is based on another
// revision than the current one and may not be rebased. Nothing was applied.
type ConflictError struct {
	Base    state.Revision `json:"base_revision"`
	Current state.Revision `json:"current_revision"`
	// BaseUnknown is set if the base revision is not in the history. Changed
	// and Conflicting are then empty, because they can't be determined.
	BaseUnknown bool `json:"base_unknown,omitempty"`
	// Changed are the entries that differ between base and current.
	Changed []Entry `json:"changed"`
	// Conflicting are the entries of Changed that the edit affects as well.
	Conflicting []Entry `json:"conflicting"`
}

// Error describes the conflict on one line.
func (e *ConflictError) Error() string {
	if e.BaseUnknown {
		return fmt.Sprintf("the edit is based on revision %d, which is not in the history; the current one is %d",
			e.Base, e.Current)
	}
	return fmt.Sprintf("the edit is based on revision %d, the current one is %d; changed since: %s; conflicting with the edit: %s",
		e.Base, e.Current, joinEntries(e.Changed), joinEntries(e.Conflicting))
}

func joinEntries(entries []Entry) string {
	if len(entries) == 0 {
		return "none"
	}
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = entry.String()
	}
	return strings.Join(names, ", ")
}

// BehindInForceError reports that an edit was refused because the platform
// holds an older revision than one in force on an instance, which happens when
// the platform's table was restored to an older state. The edit's revision
// would never come in force. Nothing was applied. An edit with Restore set
// resolves this.
type BehindInForceError struct {
	Platform state.Revision `json:"platform_revision"`
	InForce  state.Revision `json:"in_force_revision"`
}

// Error includes both revisions and the flag that resolves the condition.
func (e *BehindInForceError) Error() string {
	return fmt.Sprintf("the platform holds revision %d, but %d is in force; write the lists that are in force anew with --restore",
		e.Platform, e.InForce)
}

// EditReusedError reports that an edit was refused because its id was accepted
// before with another change. Nothing was applied.
type EditReusedError struct {
	EditID   string         `json:"edit_id"`
	Revision state.Revision `json:"revision"`
}

// Error includes the edit id and the revision that it created.
func (e *EditReusedError) Error() string {
	return fmt.Sprintf("edit id %s made revision %d with another change; use a new id for a new edit", e.EditID, e.Revision)
}

// ClaimedError reports that a claim was refused because another promoter has
// claimed the same term, or a higher term has been claimed.
type ClaimedError struct {
	Group    state.GroupID    `json:"group"`
	Term     state.Term       `json:"term"`
	Promoter state.InstanceID `json:"promoter"`
}

// Error includes the term and promoter of the recorded claim.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("term %d of group %s is claimed by %s", e.Term, e.Group, e.Promoter)
}

// SupersededError reports that a primary was not recorded because the record
// has a higher term, or another primary for the same term.
type SupersededError struct {
	Group   state.GroupID    `json:"group"`
	Term    state.Term       `json:"term"`
	Primary state.DatabaseID `json:"primary"`
}

// Error includes the recorded primary and its term.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("group %s has %s recorded as primary of term %d", e.Group, e.Primary, e.Term)
}
