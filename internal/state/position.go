package state

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Term numbers the successive primaries of a database group. A term has at most
// one primary, and terms only increase.
type Term uint64

// Position identifies an entry of a group's replication log by the term in
// which it was written and its offset. Offsets continue across terms.
//
// Positions of acknowledged entries are ordered by term first, then by offset.
// The offset alone does not order entries of different terms, because a
// superseded primary may have written entries past the point at which its
// successor took over.
type Position struct {
	Term   Term   `msgpack:"t" json:"term"`
	Offset uint64 `msgpack:"o" json:"offset"`
}

// Compare returns -1, 0 or +1 if p is before, equal to or after other.
func (p Position) Compare(other Position) int {
	if c := cmp.Compare(p.Term, other.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, other.Offset)
}

// Covers reports whether a log that ends at p contains the acknowledged entry
// at other.
func (p Position) Covers(other Position) bool {
	return p.Compare(other) >= 0
}

// IsZero reports whether p is the zero Position, which identifies no entry.
func (p Position) IsZero() bool {
	return p == Position{}
}

// String returns p as "term/offset", the form used in tokens and dumps.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the output of Position.String.
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
