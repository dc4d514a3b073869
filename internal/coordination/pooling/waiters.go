package pooling

import "container/heap"

type waitResult struct {
	conn *Conn
	err  error
}

// waiter is a request that waits for a connection.
type waiter struct {
	priority int // 0 is served first
	sequence uint64
	index    int
	// valuesKey is the key of the session values that the connection should have.
	valuesKey string
	result    chan waitResult
}

// waiters is a heap ordered by priority, then by arrival.
type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].sequence < w[j].sequence
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
