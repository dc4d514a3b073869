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
