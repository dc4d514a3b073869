package configuration

import (
	"fmt"
	"strings"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// ConflictError refuses an edit that was made against a revision other than
// the current one. Nothing of the edit was applied.
type ConflictError struct {
	Base    state.Revision `json:"base_revision"`
	Current state.Revision `json:"current_revision"`
	// BaseUnknown is set where the base revision is not in the history, so
	// that Changed and Conflicting could not be told.
	BaseUnknown bool `json:"base_unknown,omitempty"`
	// Changed are the entries that differ between base and current.
	Changed []Entry `json:"changed"`
	// Conflicting are those of them that the edit touches as well.
	Conflicting []Entry `json:"conflicting"`
}

// Error lists the entries on one line.
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

// BehindInForceError refuses an edit because the platform holds an older
// revision than one that is in force on an instance: its table was restored to
// an older state. The edit would never come in force. Nothing was applied.
// EditOptions.Restore is the way on.
type BehindInForceError struct {
	Platform state.Revision `json:"platform_revision"`
	InForce  state.Revision `json:"in_force_revision"`
}

// Error names both revisions and the way on.
func (e *BehindInForceError) Error() string {
	return fmt.Sprintf("the platform holds revision %d, but %d is in force; write the lists that are in force anew with --restore",
		e.Platform, e.InForce)
}

// EditReusedError refuses an edit whose id was accepted before with another
// change. Nothing was applied.
type EditReusedError struct {
	EditID   string         `json:"edit_id"`
	Revision state.Revision `json:"revision"`
}

// Error names the id and the revision that it made.
func (e *EditReusedError) Error() string {
	return fmt.Sprintf("edit id %s made revision %d with another change; use a new id for a new edit", e.EditID, e.Revision)
}

// ClaimedError refuses a claim because another promoter claimed the same term,
// or anyone a higher one.
type ClaimedError struct {
	Group    state.GroupID    `json:"group"`
	Term     state.Term       `json:"term"`
	Promoter state.InstanceID `json:"promoter"`
}

// Error names the claim that stands.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("term %d of group %s is claimed by %s", e.Term, e.Group, e.Promoter)
}

// SupersededError refuses to record a primary because the record is of a
// higher term, or names another primary of the same term.
type SupersededError struct {
	Group   state.GroupID    `json:"group"`
	Term    state.Term       `json:"term"`
	Primary state.DatabaseID `json:"primary"`
}

// Error names the recorded primary.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("group %s has %s recorded as primary of term %d", e.Group, e.Primary, e.Term)
}
