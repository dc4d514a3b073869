package rowstore

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// retryFirst and retryMost bound the waits between calls while the store
	// does not answer. The longest is well below the seconds within which a
	// configuration must be in force after the store's return.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// absenceMemory is how long after an outage rows may be missing that come
	// back by themselves.
	absenceMemory = 5 * time.Second
)

// Update is a change of a followed table.
type Update struct {
	Snapshot
	// Complete tells that Rows are all rows of the table.
	Complete bool
	// AfterOutage tells that the store was lately unavailable.
	AfterOutage bool
	// Asked and Answered are when the call began and ended.
	Asked, Answered state.Instant
}

// Follower keeps a table's reader up to date.
type Follower struct {
	Store Store
	Table string
	// Wait is how long the store may hold an answer without changes. It
	// bounds how long a silent connection goes unnoticed.
	Wait time.Duration
	// Pause is the least time between two calls, to take changes in batches.
	Pause time.Duration
	Clock state.Clock
	Log   zerolog.Logger
	// Apply is called with each answer, also one without rows.
	Apply func(Update)
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	waits := &backoff.ExponentialBackOff{
		InitialInterval: retryFirst, Multiplier: 2, RandomizationFactor: 0.5, MaxInterval: retryMost,
	}
	var after uint64
	listed, available := false, true
	var lastFailure state.Instant
	for ctx.Err() == nil {
		asked := f.Clock.Now()
		snapshot, err := f.call(ctx, listed, after)
		if errors.Is(err, ErrHistoryLost) {
			f.Log.Info().Str("table", f.Table).Uint64("after", after).Msg("history lost, listing the table again")
			listed = false
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			lastFailure = f.Clock.Now()
			if available {
				f.Log.Warn().Err(err).Str("table", f.Table).Uint64("after", after).Msg("store lost")
				available = false
			}
			sleep(ctx, waits.NextBackOff())
			continue
		}
		if !available {
			f.Log.Info().Str("table", f.Table).Uint64("version", snapshot.Version).Msg("store regained")
			available = true
		}
		waits.Reset()
		f.Apply(Update{
			Snapshot: snapshot, Complete: !listed, Asked: asked, Answered: f.Clock.Now(),
			AfterOutage: lastFailure != 0 && f.Clock.Now().Sub(lastFailure) < absenceMemory,
		})
		after, listed = max(after, snapshot.Version), true
		if f.Pause > 0 {
			sleep(ctx, f.Pause-f.Clock.Now().Sub(asked))
		}
	}
}

func (f *Follower) call(ctx context.Context, listed bool, after uint64) (Snapshot, error) {
	if listed {
		return f.Store.Watch(ctx, f.Table, after, f.Wait)
	}
	return f.Store.List(ctx, f.Table)
}

func sleep(ctx context.Context, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
