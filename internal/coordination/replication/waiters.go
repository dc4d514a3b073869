package replication

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Steps of the failures that the Watcher returns.
const (
	stepAcknowledge = "replication.acknowledge"
	stepBarrier     = "replication.barrier"
	stepHolds       = "replication.holds"
)

// retryAfter is what a caller that was refused is told to wait.
const retryAfter = 500 * time.Millisecond

// acknowledgeWaiter waits until a majority holds position.
type acknowledgeWaiter struct {
	position state.Position
	done     chan error // buffered for the one result
}

// barrierWaiter waits for answers to requests numbered above sequence.
type barrierWaiter struct {
	sequence uint64
	done     chan barrierResult // buffered for the one result
}

type barrierResult struct {
	floor state.Position
	err   error
}

// holdWaiter waits until one database covers floor.
type holdWaiter struct {
	member *member
	floor  state.Position
	done   chan error // buffered for the one result
}

// WaitAcknowledged returns nil once a majority of the group's databases has
// proved to hold position, each while in position's term. That makes the entry
// part of every later primary's log. Any error is a *state.Failure of outcome
// unknown: a later primary may hold the entry or not. It wraps ErrSuperseded
// when the proof can no longer come, else the error of ctx or ErrStopped.
func (w *Watcher) WaitAcknowledged(ctx context.Context, position state.Position) error {
	waiter := &acknowledgeWaiter{position: position, done: make(chan error, 1)}
	w.mu.Lock()
	if !w.trySettle(waiter) {
		w.acknowledges[waiter] = struct{}{}
		w.wakeNeeded()
	}
	w.mu.Unlock()
	var err error
	reason := state.ReasonUnacknowledged
	select {
	case err = <-waiter.done:
		reason = state.ReasonSuperseded
		if eris.Is(err, ErrStopped) {
			reason = state.ReasonLeaving
		}
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.acknowledges, waiter)
		w.mu.Unlock()
		err = context.Cause(ctx)
	}
	if err == nil {
		return nil
	}
	return state.Unknown(reason, stepAcknowledge, string(w.group.ID), err)
}

// trySettle gives the waiter its result where that is certain. The caller
// holds mu.
func (w *Watcher) trySettle(waiter *acknowledgeWaiter) bool {
	if w.stopped {
		waiter.done <- ErrStopped
		return true
	}
	holding, possible := 0, 0
	for _, m := range w.members {
		switch {
		case m.holds(waiter.position):
			holding++
			possible++
		case m.mayStillHold(waiter.position.Term):
			possible++
		}
	}
	if holding >= w.majority {
		waiter.done <- nil
		return true
	}
	if possible < w.majority {
		waiter.done <- ErrSuperseded
		return true
	}
	return false
}

func (w *Watcher) settleAcknowledges() {
	for waiter := range w.acknowledges {
		if w.trySettle(waiter) {
			delete(w.acknowledges, waiter)
		}
	}
}

// Barrier returns a position that covers every write acknowledged before the
// call, in any term and by any instance. Its error is a *state.Failure of
// outcome not run.
func (w *Watcher) Barrier(ctx context.Context) (state.Position, error) {
	waiter := &barrierWaiter{done: make(chan barrierResult, 1)}
	w.mu.Lock()
	waiter.sequence = w.sequence
	if w.stopped {
		waiter.done <- barrierResult{err: ErrStopped}
	} else {
		w.barriers[waiter] = struct{}{}
		w.wakeNeeded()
	}
	w.mu.Unlock()
	var result barrierResult
	select {
	case result = <-waiter.done:
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.barriers, waiter)
		w.mu.Unlock()
		result.err = context.Cause(ctx)
	}
	if result.err != nil {
		return state.Position{}, state.NotRun(
			state.ReasonNoPrimary, stepBarrier, string(w.group.ID), retryAfter, result.err)
	}
	return result.floor, nil
}

// settleBarriers ends the barriers for which the primary and a majority, all
// of the primary's term, answered requests sent after the barrier began.
//
// A majority still in term T after the call means that no later term had
// acknowledged anything before it. What was acknowledged before the call in
// term T came from the primary, and what was acknowledged in earlier terms was
// in the primary's log when it was promoted. So the primary's answer covers
// all of it.
func (w *Watcher) settleBarriers() {
	if len(w.barriers) == 0 || w.primary == nil {
		return
	}
	sequence, _, complete := w.round()
	if !complete {
		return
	}
	for waiter := range w.barriers {
		if sequence > waiter.sequence {
			waiter.done <- barrierResult{floor: w.primary.status.Log}
			delete(w.barriers, waiter)
		}
	}
}

// WaitHolds returns nil once the database proves that it holds everything up
// to floor and nothing that its term's primary lacks. Its error is a
// *state.Failure of outcome not run that wraps ErrBehind, ErrStopped or
// ErrUnknownDatabase.
func (w *Watcher) WaitHolds(ctx context.Context, database state.DatabaseID, floor state.Position) error {
	m, known := w.byID[database]
	if !known {
		return state.NotRun(state.ReasonTooStale, stepHolds, string(database), 0, ErrUnknownDatabase)
	}
	waiter := &holdWaiter{member: m, floor: floor, done: make(chan error, 1)}
	w.mu.Lock()
	switch {
	case w.stopped:
		waiter.done <- ErrStopped
	case w.covers(m, floor):
		waiter.done <- nil
	default:
		w.holds[waiter] = struct{}{}
		m.unchanged = 0
		m.wakeUp()
	}
	w.mu.Unlock()
	var err error
	select {
	case err = <-waiter.done:
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.holds, waiter)
		w.mu.Unlock()
		err = eris.Wrap(ErrBehind, context.Cause(ctx).Error())
	}
	if err == nil {
		return nil
	}
	return state.NotRun(state.ReasonTooStale, stepHolds, string(database), retryAfter, err)
}

func (w *Watcher) settleHolds() {
	for waiter := range w.holds {
		if w.covers(waiter.member, waiter.floor) {
			waiter.done <- nil
			delete(w.holds, waiter)
		}
	}
}

// isNeeded reports whether somebody waits for an answer of m. The caller holds
// mu.
func (w *Watcher) isNeeded(m *member) bool {
	for waiter := range w.barriers {
		if m.sequence <= waiter.sequence {
			return true
		}
	}
	for waiter := range w.holds {
		if waiter.member == m {
			return true
		}
	}
	for waiter := range w.acknowledges {
		if !m.holds(waiter.position) && m.mayStillHold(waiter.position.Term) {
			return true
		}
	}
	return false
}

// wakeNeeded makes requests due after a waiter was added. The caller holds mu.
func (w *Watcher) wakeNeeded() {
	for _, m := range w.members {
		m.unchanged = 0
		m.wakeUp()
	}
}

// stop fails all waiters.
func (w *Watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.settleAcknowledges()
	for waiter := range w.barriers {
		waiter.done <- barrierResult{err: ErrStopped}
	}
	for waiter := range w.holds {
		waiter.done <- ErrStopped
	}
	clear(w.barriers)
	clear(w.holds)
}
