package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
)

// errNoResponseYet means that a call to the store takes longer than its caller
// waits.
var errNoResponseYet = eris.New("no response from the store yet")

// callStore runs a call to the store and waits for it for the given time. A call
// that takes longer goes on, up to slowCallTimeout, and its result is passed to
// late: a store that is slower than callers wait would otherwise never serve them,
// however often they call again.
func callStore(ctx context.Context, wait time.Duration, call func(context.Context) error, late func(error)) error {
	result, abandoned := make(chan error), make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(rowstore.WithCallTimeout(ctx, slowCallTimeout), slowCallTimeout)
		defer cancel()
		err := call(ctx)
		select {
		case result <- err:
		case <-abandoned:
			late(err)
		}
	}()
	defer close(abandoned)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return errNoResponseYet
	}
}

// result is the outcome of one attempt at a call.
type result[T any] struct {
	value T
	err   error
}

// repeatCall calls the store, and again after each interval without a final result,
// until ctx ends. An attempt is not cancelled when the next one is sent, since on a
// slow store each takes longer than the interval. final reports whether a result ends
// the call, given the number of attempts so far.
func repeatCall[T any](ctx context.Context, interval time.Duration, call func(context.Context) (T, error), final func(err error, sent int) bool) (last result[T], sent int) {
	ctx, cancel := context.WithCancel(rowstore.WithCallTimeout(ctx, slowCallTimeout))
	defer cancel()
	results := make(chan result[T])
	attempt := func() {
		callCtx, cancelCall := context.WithTimeout(ctx, slowCallTimeout)
		defer cancelCall()
		value, err := call(callCtx)
		select {
		case results <- result[T]{value, err}:
		case <-ctx.Done():
		}
	}
	last.err = errNoResponseYet
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return result[T]{err: errors.Join(ctx.Err(), last.err)}, sent
		case last = <-results:
			if final(last.err, sent) {
				return last, sent
			}
			next.Reset(acknowledgementInterval)
		case <-next.C:
			sent++
			go attempt()
			next.Reset(interval)
		}
	}
}

// awaitRead runs a read without which this instance can do nothing else, for up to
// slowCallTimeout.
func awaitRead(ctx context.Context, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, slowCallTimeout)
	defer cancel()
	last, _ := repeatCall(ctx, readTimeout,
		func(ctx context.Context) (struct{}, error) { return struct{}{}, read(ctx) },
		func(error, int) bool { return true })
	return last.err
}

// recordLateRenewal uses the response to a renewal for which heartbeatLoop no longer
// waits. A later renewal may have succeeded meanwhile, so that only a success and the
// version of this instance's row count.
func (m *Manager) recordLateRenewal(err error, conditions []rowstore.Condition) {
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		m.Availability.Record(nil)
		m.recordRenewal(nil)
	case errors.As(err, &conflict):
		for _, condition := range conditions {
			if condition.Table == TableInstances && !conflict.Holds(condition) && m.writtenLast(condition) {
				m.applyOwnRow(conflict, condition)
			}
		}
	default:
		m.Log.Debug().Err(err).Msg("a renewal failed after its caller had stopped waiting")
	}
}

// writtenLast reports whether a condition names the version of this instance's row
// that it knows now.
func (m *Manager) writtenLast(condition rowstore.Condition) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return condition.Version == m.rowVersion
}
