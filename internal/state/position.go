package state

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Term numbers the successive primaries of one database group. A term has at
// most one primary, and terms only go up.
type Term uint64

// Position is a place in a group's replication log: the term in which the
// entry was written and its offset. Offsets go on counting across terms.
//
// Positions of acknowledged entries are ordered by term first, then by offset.
// The offset alone does not order entries of different terms, because a
// superseded primary may have written entries past the point at which its
// successor took over.
type Position struct {
	Term   Term   `msgpack:"t" json:"term"`
	Offset uint64 `msgpack:"o" json:"offset"`
}

// Compare returns -1, 0 or +1 as p is before, at or after other.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Term, other.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, other.Offset)
}

// Covers reports whether a log that ends at p holds the acknowledged entry at
// other.
func (p Position) Covers(other Position) bool {
	return p.Compare(other) >= 0
}

// IsZero reports whether p names no entry at all.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String writes p as "term/offset", the form that tokens and dumps use.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition reads the form that Position.String writes.
func ParsePosition(text string) (Position, error) {
	termText, offsetText, found := strings.Cut(text, "/")
	if !found {
		return Position{}, eris.Errorf("parse position %q: want term/offset", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, eris.Wrapf(err, "parse position %q: term", text)
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, eris.Wrapf(err, "parse position %q: offset", text)
	}
	return Position{Term: Term(term), Offset: offset}, nil
}

// MaxPosition returns the later of two positions.
func MaxPosition(a, b Position) Position {
	if a.Covers(b) {
		return a
	}
	return b
}
