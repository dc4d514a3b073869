package pooling

import (
	"container/heap"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// workspaceQueue holds the waiting requests of one workspace and counts the
// connections that are being opened for it.
type workspaceQueue struct {
	waiters waiters
	opening int
}

// unserved reports whether a request waits for which no connection is being opened.
func (q *workspaceQueue) unserved() bool {
	return q.waiters.Len() > q.opening
}

// queue holds the waiting requests of all workspaces. A connection serves one
// workspace, so the requests of each form a queue of their own. Priority and arrival
// order requests over all workspaces.
type queue struct {
	byWorkspace map[state.WorkspaceID]*workspaceQueue
	length      int
	sequence    uint64
}

func newQueue() queue {
	return queue{byWorkspace: make(map[state.WorkspaceID]*workspaceQueue)}
}

// Len returns the number of waiting requests.
func (q *queue) Len() int { return q.length }

func (q *queue) of(workspace state.WorkspaceID) *workspaceQueue {
	of, ok := q.byWorkspace[workspace]
	if !ok {
		of = &workspaceQueue{}
		q.byWorkspace[workspace] = of
	}
	return of
}

func (q *queue) push(request Request) *waiter {
	q.sequence++
	w := &waiter{Request: request, sequence: q.sequence, since: time.Now(), result: make(chan waitResult, 1)}
	heap.Push(&q.of(request.Workspace).waiters, w)
	q.length++
	return w
}

// remove removes a waiter and reports whether it was still waiting.
func (q *queue) remove(w *waiter) bool {
	of, ok := q.byWorkspace[w.Workspace]
	if !ok || !of.waiters.remove(w) {
		return false
	}
	q.length--
	q.forgetEmpty(w.Workspace)
	return true
}

// pop removes and returns the first request of a workspace, nil if none waits.
func (q *queue) pop(workspace state.WorkspaceID) *waiter {
	of, ok := q.byWorkspace[workspace]
	if !ok || of.waiters.Len() == 0 {
		return nil
	}
	w := heap.Pop(&of.waiters).(*waiter)
	q.length--
	q.forgetEmpty(workspace)
	return w
}

// first returns the first of the waiting requests whose workspace is eligible, nil if
// there is none.
func (q *queue) first(eligible func(state.WorkspaceID, *workspaceQueue) bool) *waiter {
	var first *waiter
	for workspace, of := range q.byWorkspace {
		if of.waiters.Len() == 0 || first != nil && !of.waiters[0].before(first) || !eligible(workspace, of) {
			continue
		}
		first = of.waiters[0]
	}
	return first
}

// waits reports whether a request of a workspace waits.
func (q *queue) waits(workspace state.WorkspaceID) bool {
	of, ok := q.byWorkspace[workspace]
	return ok && of.waiters.Len() > 0
}

// addOpening adds to the number of connections that are being opened for a workspace.
func (q *queue) addOpening(workspace state.WorkspaceID, change int) {
	q.of(workspace).opening += change
	q.forgetEmpty(workspace)
}

func (q *queue) forgetEmpty(workspace state.WorkspaceID) {
	if of := q.byWorkspace[workspace]; of.waiters.Len() == 0 && of.opening == 0 {
		delete(q.byWorkspace, workspace)
	}
}
