package database

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// followTarget is what a replica is to do until ended is closed.
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

// truncate drops the entries past an offset and rebuilds the data from the
// rest. It reports false when the node no longer follows in that generation.
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

// replicate applies and appends one entry of the primary. It reports false
// when the node no longer follows in that generation, or the entry isn't next.
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

// heard records a sign of life of the primary that is followed.
func (n *node) heard(generation uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.generation == generation {
		n.lastContact = time.Now()
	}
}

// pending returns the entries past an offset while the node is the primary of
// a term, and a channel that is closed when there may be more.
func (n *node) pending(term state.Term, offset uint64) (entryLog, <-chan struct{}, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != state.RolePrimary {
		return nil, nil, false
	}
	return n.log.after(offset), n.changed, true
}

// common returns the last offset that the primary of a term shares with a
// replica's log.
func (n *node) common(term state.Term, runs []termRun) (uint64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.term != term || n.role != state.RolePrimary {
		return 0, false
	}
	return commonOffset(n.log.runs(), runs), true
}
