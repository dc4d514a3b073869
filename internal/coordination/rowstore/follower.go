package rowstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// LongWait is a FollowerConfig.Wait for tables where the caller notices a
	// change by other means if the watch's response is lost. The platform
	// allows 30 s.
	LongWait = 29 * time.Second
	// ShortWait is a FollowerConfig.Wait for all other tables. It bounds how
	// long a change goes unnoticed if the watch's response is lost. Together
	// with the five seconds that the platform allows a disturbance of the store
	// it stays below the time in which instances must stop using a leaving
	// database.
	ShortWait = 6 * time.Second
	// BatchInterval is a FollowerConfig.MinInterval for tables where many rows
	// change together, as when databases start. It is far below the seconds
	// within which a change must be noticed.
	BatchInterval = 500 * time.Millisecond
	// MaxBatchInterval is a FollowerConfig.MaxInterval for such tables. Many databases
	// start or are replaced one after another; all instances together must not read
	// each change by itself.
	MaxBatchInterval = 2 * time.Second
	// OutageWait is a FollowerConfig.WaitAfterOutage for rows that are written
	// again within two seconds of an outage.
	OutageWait = time.Second
	// EraSpread is a FollowerConfig.EraSpread for tables that the lease does not
	// depend on.
	EraSpread = 500 * time.Millisecond
)

const (
	// minRetryWait and maxRetryWait bound the waits between failing calls while
	// the store counts as available.
	minRetryWait = 50 * time.Millisecond
	maxRetryWait = 400 * time.Millisecond
	// unavailableRetryWait is the time between two calls while the store is
	// unavailable. The wait ends early when the store becomes available.
	unavailableRetryWait = 3 * time.Second
	// firstResponseTimeout is how long a list waits for the start of its response.
	// An instance that has just started serves nothing before it has read the
	// tables, so it asks again soon. A slow store responds within 0.3 s.
	firstResponseTimeout = 500 * time.Millisecond
	// maxReceiveTime is how long a response may take to arrive before its
	// connection counts as dead. The largest configuration takes 1.5 s on the
	// slowest links.
	maxReceiveTime = 2 * time.Second
	// outageMemory is how long after an outage updates are marked AfterOutage,
	// because rows may be missing that their owners write again.
	outageMemory = 5 * time.Second
)

// errCallRestarted cancels a call whose connection may be dead.
var errCallRestarted = errors.New("call cancelled to read the table again")

// errNoResponse is the error of a list whose response has not started to arrive
// within firstResponseTimeout, although it may come later.
var errNoResponse = errors.New("no response from the store")

// Update is a change of a followed table.
type Update struct {
	Snapshot
	// Complete is true if Rows are all rows of the table.
	Complete bool
	// AfterOutage is true if the store was unavailable, or an era began, within the
	// last outageMemory.
	AfterOutage bool
	// RequestedAt and RespondedAt are when the call began and ended.
	RequestedAt, RespondedAt state.Instant
}

// FollowerConfig holds a follower's dependencies and settings.
type FollowerConfig struct {
	Store Store
	Table string
	// Wait is how long the store may delay its response to a watch while there
	// are no changes.
	Wait time.Duration
	// WaitAfterOutage replaces Wait for a while after an outage of the store, for
	// tables whose missing rows are expected to be written again; 0 means Wait.
	WaitAfterOutage time.Duration
	// Unsettled reports whether the reader of the table waits for rows to be written
	// again, so that WaitAfterOutage replaces Wait, and the table is watched here: notices
	// of others may be older than what they are waited for. It may be nil.
	Unsettled func() bool
	// MinInterval is the least time between two calls of which the first
	// returned changes, so that changes in quick succession come in one
	// response.
	MinInterval time.Duration
	// MaxInterval is the limit to which MinInterval doubles while changes go on. The
	// waits of the watches are shortened by as much, so that a change whose response
	// is lost is noticed no later.
	MaxInterval time.Duration
	// EraSpread bounds the random wait before the table is listed in a new era.
	EraSpread time.Duration
	// Sharing shares the watch with other instances; nil if each watches the table
	// itself. SharedWait replaces Wait while others depend on this one's watch.
	Sharing      *Sharing
	SharedWait   time.Duration
	Availability *Availability
	Clock        state.Clock
	Log          zerolog.Logger
	// Apply is called with each response, also one without rows.
	Apply func(Update)
}

// Follower watches a table and passes its changes to FollowerConfig.Apply.
type Follower struct {
	FollowerConfig
	refresh chan struct{}
	// receivingSince is when the response under way started to arrive; 0 if there
	// is none.
	receivingSince atomic.Int64
	// newestEra is the newest era of the store, eraBegan when it was first seen.
	newestEra atomic.Uint64
	eraBegan  atomic.Int64
	// everListed is set once the table has been listed.
	everListed atomic.Bool

	// The following fields are used by Run only. afterVersion is the newest
	// version that was read, era the era of that version, and listed whether the
	// next call can be a watch.
	afterVersion   uint64
	era            uint64
	listed         bool
	storeAvailable bool
	lastFailure    state.Instant
	retryWaits     *backoff.ExponentialBackOff
	// pending is nil if no list is under way.
	pending *pendingLists
	// batchInterval is MinInterval after the last change or a multiple of it, 0 if the
	// last response held no changes.
	batchInterval time.Duration
	// changedVersion is a version after which no change but those that were read is
	// known, appliedAt when Apply was called last.
	changedVersion uint64
	appliedAt      state.Instant
}

// NewFollower returns a follower that has not read anything yet.
func NewFollower(config FollowerConfig) *Follower {
	return &Follower{
		FollowerConfig: config, refresh: make(chan struct{}, 1), storeAvailable: true,
		retryWaits: &backoff.ExponentialBackOff{
			InitialInterval: minRetryWait, Multiplier: 2, RandomizationFactor: 0.5, MaxInterval: maxRetryWait,
		},
	}
}

// Receiving reports whether a response is arriving. On a slow link a large one
// takes seconds.
func (f *Follower) Receiving() bool {
	since := state.Instant(f.receivingSince.Load())
	return since != 0 && f.Clock.Now().Sub(since) < maxReceiveTime
}

// Refresh makes Run cancel the call under way and read the changes at once, on
// another connection. It has no effect while a response is arriving, since that
// holds the changes and a further one would only share the link with it.
func (f *Follower) Refresh() {
	if f.Receiving() {
		return
	}
	f.requestRefresh()
}

// BeginEra makes Run list the table again, since a watch cannot continue from an
// earlier era. It is a listener of EraStore.OnNewEra.
func (f *Follower) BeginEra(era uint64) {
	f.newestEra.Store(era)
	if !f.everListed.Load() {
		return
	}
	f.eraBegan.Store(int64(f.Clock.Now()))
	f.requestRefresh()
}

// requestRefresh makes Run cancel the call under way and begin another.
func (f *Follower) requestRefresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// enterNewestEra ends the use of what was read in an earlier era. Tables that the
// lease does not depend on are listed after a random wait, so that the instances do
// not list them all at once.
func (f *Follower) enterNewestEra(ctx context.Context) {
	newest := f.newestEra.Load()
	if f.era == newest {
		return
	}
	if f.listed && f.EraSpread > 0 {
		state.Pause(ctx, rand.N(f.EraSpread))
	}
	f.stopSharing()
	f.era, f.listed, f.afterVersion = newest, false, 0
	f.endLists()
	f.changedVersion = 0
	// The list that follows is the one that BeginEra asked for.
	select {
	case <-f.refresh:
	default:
	}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	if f.Sharing != nil {
		go f.Sharing.run(ctx)
	}
	for ctx.Err() == nil {
		f.enterNewestEra(ctx)
		if f.Sharing != nil && f.listed && !f.unsettled() && f.Sharing.silentIn() > 0 {
			f.stopSharing()
			f.followNeighbour(ctx)
			f.enterNewestEra(ctx)
		}
		result := f.call(ctx)
		snapshot, requestedAt, err := result.snapshot, result.requestedAt, result.err
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && snapshot.Era != f.newestEra.Load():
			f.Log.Debug().Str("table", f.Table).Uint64("era", snapshot.Era).Msg("response of an earlier era of the store ignored")
		case err == nil && snapshot.Era != f.era && f.listed:
			// The watch began in an earlier era.
		case err == nil:
			f.era = snapshot.Era
			listed := f.listed
			f.applySnapshot(snapshot, requestedAt)
			if listed {
				f.pauseAfterChanges(ctx, len(snapshot.Rows) > 0, requestedAt)
			}
		case errors.Is(err, ErrHistoryLost) && f.newestEra.Load() != f.era:
			// The versions of the watch belong to an earlier era.
		case errors.Is(err, ErrHistoryLost):
			f.Log.Info().Str("table", f.Table).Uint64("after", f.afterVersion).Msg("watch history no longer available, listing the table again")
			f.listed = false
		case errors.Is(err, errCallRestarted):
			f.Log.Debug().Str("table", f.Table).Uint64("after", f.afterVersion).Msg("call cancelled, reading the table again")
		default:
			f.handleFailure(ctx, err)
		}
	}
}

// pauseAfterChanges waits so that the changes which follow come in one response.
func (f *Follower) pauseAfterChanges(ctx context.Context, changed bool, requestedAt state.Instant) {
	elapsed := f.Clock.Now().Sub(requestedAt)
	switch {
	case !changed:
		f.batchInterval = 0
		return
	case elapsed >= f.batchInterval:
		f.batchInterval = f.MinInterval
	default:
		f.batchInterval = min(2*f.batchInterval, max(f.MinInterval, f.MaxInterval))
	}
	state.Pause(ctx, f.batchInterval-elapsed)
}

// call lists the table or watches it for changes. It returns errCallRestarted
// when the store becomes available again or Refresh is called, because a call
// under way at that time may never get a response.
func (f *Follower) call(runCtx context.Context) listResult {
	ctx, cancel := context.WithCancelCause(runCtx)
	defer cancel(nil)
	defer f.receivingSince.Store(0)
	go f.cancelStaleCall(ctx, cancel)
	if !f.listed {
		return f.list(ctx, runCtx)
	}
	ctx = WithResponseHook(ctx, func() { f.receivingSince.Store(int64(f.Clock.Now())) })
	result := listResult{requestedAt: f.Clock.Now()}
	result.snapshot, result.err = f.Store.Watch(ctx, f.Table, f.afterVersion, f.watchWait())
	if cause := context.Cause(ctx); result.err != nil && errors.Is(cause, errCallRestarted) {
		result.err = cause
	}
	return result
}

// watchWait returns how long the store may delay its response to the next watch.
func (f *Follower) watchWait() time.Duration {
	if f.WaitAfterOutage > 0 && (f.afterRecentOutage(f.Clock.Now()) || f.unsettled()) {
		return f.WaitAfterOutage
	}
	wait := f.Wait
	if f.Sharing != nil && f.Sharing.depended() {
		wait = f.SharedWait
	}
	return wait - f.batchInterval
}

func (f *Follower) unsettled() bool {
	return f.Unsettled != nil && f.Unsettled()
}

// cancelStaleCall cancels a call with errCallRestarted when the store becomes
// available again or Refresh is called. It returns when ctx ends.
func (f *Follower) cancelStaleCall(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		unavailable, changed := f.Availability.status()
		select {
		case <-ctx.Done():
			return
		case <-f.refresh:
			cancel(errCallRestarted)
			return
		case <-changed:
			if unavailable {
				f.awaitReceived(ctx)
				cancel(errCallRestarted)
				return
			}
		}
	}
}

// awaitReceived gives a response that is arriving the time to do so: its connection
// works, even if other calls failed meanwhile because it used up the link.
func (f *Follower) awaitReceived(ctx context.Context) {
	if f.Receiving() {
		state.Pause(ctx, maxReceiveTime)
	}
}

// applySnapshot passes a response to Apply and resets the retry waits.
func (f *Follower) applySnapshot(snapshot Snapshot, requestedAt state.Instant) {
	if !f.storeAvailable {
		f.Log.Info().Str("table", f.Table).Uint64("version", snapshot.Version).Msg("store regained")
		f.storeAvailable = true
	}
	f.retryWaits.Reset()
	now := f.Clock.Now()
	update := Update{
		Snapshot: snapshot, Complete: !f.listed, RequestedAt: requestedAt, RespondedAt: now, AfterOutage: f.afterRecentOutage(now),
	}
	f.Apply(update)
	f.afterVersion, f.listed = max(f.afterVersion, snapshot.Version), true
	f.share(update)
	f.everListed.Store(true)
}

// afterRecentOutage reports whether the store was unavailable, a call failed, or an
// era began, within the last outageMemory. It updates lastFailure while the store is
// unavailable.
func (f *Follower) afterRecentOutage(now state.Instant) bool {
	if began := state.Instant(f.eraBegan.Load()); began != 0 && now.Sub(began) < outageMemory {
		return true
	}
	if unavailable, _ := f.Availability.status(); unavailable {
		f.lastFailure = now
	}
	return f.lastFailure != 0 && now.Sub(f.lastFailure) < outageMemory
}

// handleFailure records a failed call and waits before the next one.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	f.lastFailure = f.Clock.Now()
	f.stopSharing()
	if f.storeAvailable {
		f.Log.Warn().Err(err).Str("table", f.Table).Uint64("after", f.afterVersion).Msg("store lost")
		f.storeAvailable = false
	}
	wait := f.retryWaits.NextBackOff()
	unavailable, changed := f.Availability.status()
	if unavailable {
		wait = unavailableRetryWait
	}
	if f.pending != nil {
		ctx = f.pending.arrived
	}
	state.PauseOrWake(ctx, wait, changed)
}
