package routing

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// openWrite opens a stream on the primary. While the primary is unknown or being
// changed, it tries the group's databases in rounds. The time limit covers the
// attempts as well: where nothing responds, as in a data centre that is
// partitioned from the others, one round over the databases and their owners
// could otherwise exceed it.
func (r *Router) openWrite(ctx context.Context, group state.Group, request Request) (*Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, r.options.PrimaryWait+request.QueueTimeout)
	defer cancel()
	var stream *Stream
	err := r.awaitPrimary(ctx, func() (err error) {
		stream, err = r.tryPrimary(ctx, group, request)
		return err
	})
	return stream, err
}

// WriteBarrier returns a minimum position as Barrier does. While the primary is
// unknown or being changed, it waits as a write does.
func (r *Router) WriteBarrier(ctx context.Context, group state.GroupID) (state.Position, error) {
	var position state.Position
	err := r.awaitPrimary(ctx, func() (err error) {
		position, err = r.Barrier(ctx, group)
		return err
	})
	return position, err
}

// awaitPrimary repeats try while it fails for lack of a primary, for PrimaryWait
// at most. If MaxPrimaryWaiters writes wait already, it returns the first error
// at once.
func (r *Router) awaitPrimary(ctx context.Context, try func() error) error {
	err := try()
	if err == nil || !waitsForPrimary(err) {
		return err
	}
	select {
	case r.waiters <- struct{}{}:
		defer func() { <-r.waiters }()
	default:
		return err
	}
	deadline := time.NewTimer(r.options.PrimaryWait)
	defer deadline.Stop()
	for {
		pause := time.NewTimer(jitter(r.options.RetryDelay))
		select {
		case <-pause.C:
		case <-deadline.C:
			pause.Stop()
			return err
		case <-ctx.Done():
			pause.Stop()
			return err
		}
		err = try()
		if err == nil || !waitsForPrimary(err) {
			return err
		}
	}
}

// tryPrimary tries the presumed primary. After a failure it tries the primary
// hinted at in the error or else another database, each database once.
func (r *Router) tryPrimary(ctx context.Context, group state.Group, request Request) (*Stream, error) {
	var lastErr error
	tried := map[state.DatabaseID]bool{}
	next := r.primaryOf(group)
	for range group.Databases {
		database, found := group.Database(next)
		if !found || tried[next] {
			database, found = firstUntried(group, tried)
			if !found {
				break
			}
		}
		tried[database.ID] = true
		stream, err := r.openAt(ctx, group, database, request)
		if err == nil {
			r.recordPrimary(group.ID, database.ID)
			return stream, nil
		}
		if !waitsForPrimary(err) {
			return nil, err
		}
		lastErr = err
		next = hintedPrimary(err)
	}
	return nil, lastErr
}

func firstUntried(group state.Group, tried map[state.DatabaseID]bool) (state.Database, bool) {
	for _, database := range group.Databases {
		if !tried[database.ID] {
			return database, true
		}
	}
	return state.Database{}, false
}

// waitsForPrimary reports whether a write that failed with err may be tried on
// another database or later. A write that may have run is never tried again.
func waitsForPrimary(err error) bool {
	failure, ok := state.AsFailure(err)
	if !ok || failure.Outcome != state.OutcomeNotRun {
		return false
	}
	switch failure.Reason {
	case state.ReasonNoPrimary, state.ReasonSuperseded, state.ReasonUnreachable,
		state.ReasonLeaving, state.ReasonConnectionLost, state.ReasonSilent:
		return true
	default:
		return false
	}
}

func hintedPrimary(err error) state.DatabaseID {
	failure, ok := state.AsFailure(err)
	if !ok {
		return ""
	}
	return failure.Primary
}

// jitter returns a random duration between half of mean and one and a half times
// mean.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
