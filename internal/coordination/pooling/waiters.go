package pooling

import (
	"container/heap"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

type waitResult struct {
	conn *Conn
	err  error
}

// Request is a request for a connection.
type Request struct {
	// Workspace is the workspace that the connection must belong to.
	Workspace state.WorkspaceID
	Priority  int // 0 is served first
	// ValuesKey is the key of the session values that the connection should have.
	ValuesKey string
}

// waiter is a request that waits for a connection.
type waiter struct {
	Request
	sequence uint64
	since    time.Time
	index    int
	result   chan waitResult
}

// waiters is a heap ordered by priority, then by arrival.
type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	return w[i].before(w[j])
}

// before reports whether w is served before other.
func (w *waiter) before(other *waiter) bool {
	if w.Priority != other.Priority {
		return w.Priority < other.Priority
	}
	return w.sequence < other.sequence
}

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	entry := x.(*waiter)
	entry.index = len(*w)
	*w = append(*w, entry)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	last.index = -1
	return last
}

// remove removes a waiter and reports whether it was still waiting.
func (w *waiters) remove(entry *waiter) bool {
	if entry.index < 0 {
		return false
	}
	heap.Remove(w, entry.index)
	return true
}
