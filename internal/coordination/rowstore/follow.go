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
	// LongWait is how long the store may hold an answer without changes
	// where something else tells of changes whose answer was lost. The
	// platform allows 30 s.
	LongWait = 20 * time.Second
	// ShortWait bounds how long a change may go unnoticed whose answer was
	// lost. Together with the platform's five seconds for a disturbance of the
	// store it stays below the time in which a leaving database must be given
	// up.
	ShortWait = 6 * time.Second
	// BatchInterval suits rows of which many change together, as databases do
	// that start; it is far below the seconds within which one must be noticed.
	BatchInterval = 250 * time.Millisecond
	// OutageWait suits rows that come back within two seconds of an outage.
	OutageWait = time.Second
)

const (
	// retryFirst and retryMost bound the waits between calls that fail while
	// the link works.
	retryFirst = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// lostPause is the time between two calls while the link is lost; its
	// return ends the wait.
	lostPause = 3 * time.Second
	// absenceMemory is how long after an outage rows may be missing that come
	// back by themselves.
	absenceMemory = 5 * time.Second
)

// errOvertaken ends a call whose connection may be dead.
var errOvertaken = errors.New("the table is to be read again at once")

// Update is a change of a followed table.
type Update struct {
	Snapshot
	// Complete tells that Rows are all rows of the table.
	Complete bool
	// AfterOutage tells that the store was lately unavailable.
	AfterOutage bool
	// RequestedAt and RespondedAt are when the call began and ended.
	RequestedAt, RespondedAt state.Instant
}

// FollowerConfig says what a follower reads, and for whom.
type FollowerConfig struct {
	Store Store
	Table string
	// Wait is how long the store may hold an answer without changes.
	Wait time.Duration
	// WaitAfterOutage is that time after an outage of the store, where the reader
	// waits for rows to come back; 0 for Wait.
	WaitAfterOutage time.Duration
	// MinInterval is the least time between two calls, so that changes in quick
	// succession come in one answer.
	MinInterval  time.Duration
	Availability *Availability
	Clock        state.Clock
	Log          zerolog.Logger
	// Apply is called with each answer, also one without rows.
	Apply func(Update)
}

// Follower keeps a table's reader up to date.
type Follower struct {
	FollowerConfig
	refresh chan struct{}

	// Only Run uses the following.
	after       uint64
	listed      bool
	available   bool
	lastFailure state.Instant
	waits       *backoff.ExponentialBackOff
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{
		FollowerConfig: config, refresh: make(chan struct{}, 1), available: true,
		waits: &backoff.ExponentialBackOff{
			InitialInterval: retryFirst, Multiplier: 2, RandomizationFactor: 0.5, MaxInterval: retryMost,
		},
	}
}

// Refresh reads the changes at once, on another connection.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asked := f.Clock.Now()
		snapshot, err := f.call(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			listed := f.listed
			f.take(snapshot, asked)
			if listed && len(snapshot.Rows) > 0 {
				state.Pause(ctx, f.MinInterval-f.Clock.Now().Sub(asked))
			}
		case errors.Is(err, ErrHistoryLost):
			f.Log.Info().Str("table", f.Table).Uint64("after", f.after).Msg("history lost, listing the table again")
			f.listed = false
		case errors.Is(err, errOvertaken):
			f.Log.Debug().Str("table", f.Table).Uint64("after", f.after).Msg("watch given up for a new one")
		default:
			f.failed(ctx, err)
		}
	}
}

// call asks for changes. It ends with errOvertaken when the link is regained
// or the table is to be refreshed, because a call that was under way by then
// may never be answered.
func (f *Follower) call(ctx context.Context) (Snapshot, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go f.watchOver(ctx, cancel)
	var snapshot Snapshot
	var err error
	if f.listed {
		snapshot, err = f.Store.Watch(ctx, f.Table, f.after, f.wait())
	} else {
		snapshot, err = f.Store.List(ctx, f.Table)
	}
	if err != nil && errors.Is(context.Cause(ctx), errOvertaken) {
		return Snapshot{}, errOvertaken
	}
	return snapshot, err
}

func (f *Follower) wait() time.Duration {
	if f.WaitAfterOutage > 0 && f.lately(f.Clock.Now()) {
		return f.WaitAfterOutage
	}
	return f.Wait
}

func (f *Follower) watchOver(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		lost, changed := f.Availability.state()
		select {
		case <-ctx.Done():
			return
		case <-f.refresh:
			cancel(errOvertaken)
			return
		case <-changed:
			if lost {
				cancel(errOvertaken)
				return
			}
		}
	}
}

func (f *Follower) take(snapshot Snapshot, asked state.Instant) {
	if !f.available {
		f.Log.Info().Str("table", f.Table).Uint64("version", snapshot.Version).Msg("store regained")
		f.available = true
	}
	f.waits.Reset()
	now := f.Clock.Now()
	f.Apply(Update{
		Snapshot: snapshot, Complete: !f.listed, RequestedAt: asked, RespondedAt: now, AfterOutage: f.lately(now),
	})
	f.after, f.listed = max(f.after, snapshot.Version), true
}

// lately reports whether the store was unavailable a moment ago.
func (f *Follower) lately(now state.Instant) bool {
	if lost, _ := f.Availability.state(); lost {
		f.lastFailure = now
	}
	return f.lastFailure != 0 && now.Sub(f.lastFailure) < absenceMemory
}

// failed notes a failure and waits before the next call.
func (f *Follower) failed(ctx context.Context, err error) {
	f.lastFailure = f.Clock.Now()
	if f.available {
		f.Log.Warn().Err(err).Str("table", f.Table).Uint64("after", f.after).Msg("store lost")
		f.available = false
	}
	wait := f.waits.NextBackOff()
	lost, changed := f.Availability.state()
	if lost {
		wait = lostPause
	}
	state.PauseUnless(ctx, wait, changed)
}
