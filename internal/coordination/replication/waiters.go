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
	stepPosition    = "replication.holds"
)

// retryAfter is the delay before a retry that failures suggest to the caller.
const retryAfter = 500 * time.Millisecond

// acknowledgeWaiter waits until a majority holds position.
type acknowledgeWaiter struct {
	position state.Position
	done     chan error // buffered for the one result
}

// barrierWaiter waits for responses to requests numbered above sequence.
type barrierWaiter struct {
	sequence uint64
	done     chan barrierResult // buffered for the one result
}

type barrierResult struct {
	minPosition state.Position
	err         error
}

// positionWaiter waits until one database covers minPosition.
type positionWaiter struct {
	member      *member
	minPosition state.Position
	done        chan error // buffered for the one result
}

// WaitAcknowledged returns nil once a majority of the group's databases have
// proved that they hold position, each while in position's term. The entry is
// then part of every later primary's log. Any error is a *state.Failure with
// outcome unknown: a later primary may or may not hold the entry. It wraps
// ErrSuperseded when a proof is no longer possible, otherwise the error of ctx
// or ErrStopped.
func (w *Watcher) WaitAcknowledged(ctx context.Context, position state.Position) error {
	waiter := &acknowledgeWaiter{position: position, done: make(chan error, 1)}
	w.mu.Lock()
	if !w.completeIfDecided(waiter) {
		w.acknowledges[waiter] = struct{}{}
		w.requestAll()
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

// completeIfDecided sends the waiter its result if that is certain, and reports
// whether it did. The caller holds mu.
func (w *Watcher) completeIfDecided(waiter *acknowledgeWaiter) bool {
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
		case m.canStillProve(waiter.position.Term):
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

func (w *Watcher) completeAcknowledges() {
	for waiter := range w.acknowledges {
		if w.completeIfDecided(waiter) {
			delete(w.acknowledges, waiter)
		}
	}
}

// Barrier returns a position that covers every write acknowledged before the
// call, in any term and by any instance. Its error is a *state.Failure with
// outcome not run.
func (w *Watcher) Barrier(ctx context.Context) (state.Position, error) {
	waiter := &barrierWaiter{done: make(chan barrierResult, 1)}
	w.mu.Lock()
	waiter.sequence = w.sequence
	if w.stopped {
		waiter.done <- barrierResult{err: ErrStopped}
	} else {
		w.barriers[waiter] = struct{}{}
		w.requestAll()
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
	return result.minPosition, nil
}

// completeBarriers completes the barriers for which the primary and a majority,
// all in the primary's term T, responded to requests sent after the call to
// Barrier.
//
// Since a majority was still in term T after the call, nothing had been
// acknowledged in a later term before the call. Everything acknowledged in term
// T before the call came from the primary, and everything acknowledged in
// earlier terms was in the primary's log when it was promoted. So the position
// in the primary's response covers all of it.
func (w *Watcher) completeBarriers() {
	if len(w.barriers) == 0 || w.primary == nil {
		return
	}
	sequence, _, complete := w.latestRound()
	if !complete {
		return
	}
	for waiter := range w.barriers {
		if sequence > waiter.sequence {
			waiter.done <- barrierResult{minPosition: w.primary.status.Log}
			delete(w.barriers, waiter)
		}
	}
}

// WaitForPosition returns nil once the database has proved that it holds everything
// up to minPosition and nothing that the primary of its term lacks. Its error is
// a *state.Failure with outcome not run that wraps ErrBehind, ErrStopped or
// ErrUnknownDatabase.
func (w *Watcher) WaitForPosition(ctx context.Context, database state.DatabaseID, minPosition state.Position) error {
	m, known := w.byID[database]
	if !known {
		return state.NotRun(state.ReasonTooStale, stepPosition, string(database), 0, ErrUnknownDatabase)
	}
	waiter := &positionWaiter{member: m, minPosition: minPosition, done: make(chan error, 1)}
	w.mu.Lock()
	switch {
	case w.stopped:
		waiter.done <- ErrStopped
	case w.covers(m, minPosition):
		waiter.done <- nil
	default:
		w.positionWaiters[waiter] = struct{}{}
		m.unchangedResponses = 0
		m.makeRequestDue()
	}
	w.mu.Unlock()
	var err error
	select {
	case err = <-waiter.done:
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.positionWaiters, waiter)
		w.mu.Unlock()
		err = eris.Wrap(ErrBehind, context.Cause(ctx).Error())
	}
	if err == nil {
		return nil
	}
	return state.NotRun(state.ReasonTooStale, stepPosition, string(database), retryAfter, err)
}

func (w *Watcher) completePositionWaiters() {
	for waiter := range w.positionWaiters {
		if w.covers(waiter.member, waiter.minPosition) {
			waiter.done <- nil
			delete(w.positionWaiters, waiter)
		}
	}
}

// isAwaited reports whether any waiter needs a response of m. The caller holds
// mu.
func (w *Watcher) isAwaited(m *member) bool {
	for waiter := range w.barriers {
		if m.sequence <= waiter.sequence {
			return true
		}
	}
	for waiter := range w.positionWaiters {
		if waiter.member == m {
			return true
		}
	}
	for waiter := range w.acknowledges {
		if !m.holds(waiter.position) && m.canStillProve(waiter.position.Term) {
			return true
		}
	}
	return false
}

// requestAll makes a request to every database due after a waiter was added,
// and resets their pauses. The caller holds mu.
func (w *Watcher) requestAll() {
	for _, m := range w.members {
		m.unchangedResponses = 0
		m.makeRequestDue()
	}
}

// stop fails all waiters.
func (w *Watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.completeAcknowledges()
	for waiter := range w.barriers {
		waiter.done <- barrierResult{err: ErrStopped}
	}
	for waiter := range w.positionWaiters {
		waiter.done <- ErrStopped
	}
	clear(w.barriers)
	clear(w.positionWaiters)
}
