package database

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// followTarget describes the primary to follow, if any, and the log at the time
// of the call. It is valid until ended is closed.
type followTarget struct {
	following  bool
	primary    string
	term       state.Term
	generation uint64
	runs       []termRun
	ended      <-chan struct{}
}

func (n *node) target() followTarget {
	n.mu.Lock()
	defer n.mu.Unlock()
	return followTarget{
		following:  n.role == state.RoleReplica,
		primary:    n.primary,
		term:       n.term,
		generation: n.generation,
		runs:       n.log.runs(),
		ended:      n.ended,
	}
}

// truncate removes the entries after an offset and rebuilds the data from the
// rest. It reports false if the node no longer follows in that generation.
func (n *node) truncate(generation, offset uint64) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.generation != generation || n.role != state.RoleReplica {
		return false, nil
	}
	if offset >= uint64(len(n.log)) {
		return true, nil
	}
	n.log = append(entryLog(nil), n.log[:offset]...)
	if err := n.reader.rebuild(n.log); err != nil {
		return false, err
	}
	return true, n.writer.rebuild(n.log)
}

// replicate applies and appends one entry of the primary. It reports false if
// the node no longer follows in that generation, or the entry is not the next one.
func (n *node) replicate(generation uint64, entry Entry) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.generation != generation || n.role != state.RoleReplica {
		return false, nil
	}
	if entry.Position.Offset != uint64(len(n.log))+1 {
		return false, nil
	}
	if err := n.writer.apply(entry); err != nil {
		return false, err
	}
	if err := n.reader.apply(entry); err != nil {
		return false, err
	}
	n.log = append(n.log, entry)
	n.notifyLocked()
	return true, nil
}

// recordPrimaryContact records that a frame of the followed primary arrived. It
// ignores an old generation.
func (n *node) recordPrimaryContact(generation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.generation == generation {
		n.lastContact = time.Now()
	}
}

// entriesAfter returns the entries after an offset and a channel that is closed
// when there may be more. It reports false if the node is not the primary of the
// term.
func (n *node) entriesAfter(term state.Term, offset uint64) (entryLog, <-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != state.RolePrimary {
		return nil, nil, false
	}
	return n.log.after(offset), n.changed, true
}

// sharedOffset returns the last offset at which this log and a replica's log hold
// the same entry. It reports false if the node is not the primary of the term.
func (n *node) sharedOffset(term state.Term, runs []termRun) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != state.RolePrimary {
		return 0, false
	}
	return commonOffset(n.log.runs(), runs), true
}
