package database

import "github.com/cyclamenpin/cyclamenpin/internal/state"

// Statement is one statement of a write transaction in SQLite's dialect. Args
// are int64, float64, string, []byte or nil.
type Statement struct {
	SQL  string `msgpack:"sql"`
	Args []any  `msgpack:"args"`
}

// Entry is one committed write transaction. The first entry of each term is
// empty.
type Entry struct {
	Position   state.Position `msgpack:"pos"`
	Statements []Statement    `msgpack:"st"`
}

// termRun is a run of consecutive log entries of one term, from offset First to
// offset Last.
type termRun struct {
	Term  state.Term `msgpack:"t"`
	First uint64     `msgpack:"f"`
	Last  uint64     `msgpack:"l"`
}

// entryLog is a log whose first entry has offset 1.
type entryLog []Entry

func (l entryLog) last() state.Position {
	if len(l) == 0 {
		return state.Position{}
	}
	return l[len(l)-1].Position
}

// after returns the entries after an offset.
func (l entryLog) after(offset uint64) entryLog {
	if offset >= uint64(len(l)) {
		return nil
	}
	return l[offset:]
}

// runs summarises the log by term.
func (l entryLog) runs() []termRun {
	var runs []termRun
	for _, entry := range l {
		position := entry.Position
		if n := len(runs); n > 0 && runs[n-1].Term == position.Term {
			runs[n-1].Last = position.Offset
			continue
		}
		runs = append(runs, termRun{Term: position.Term, First: position.Offset, Last: position.Offset})
	}
	return runs
}

// commonOffset returns the last offset at which two logs hold the same entry, or
// 0. Entries with equal positions are equal, and so are all entries before them.
func commonOffset(local, remote []termRun) uint64 {
	common := uint64(0)
	for _, a := range local {
		for _, b := range remote {
			if a.Term == b.Term && a.First == b.First {
				common = max(common, min(a.Last, b.Last))
			}
		}
	}
	return common
}
