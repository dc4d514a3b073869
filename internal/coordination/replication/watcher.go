package replication

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Defaults of Options.
const (
	DefaultHeartbeatInterval = 250 * time.Millisecond
	DefaultMinRoundInterval  = time.Millisecond
	DefaultMaxRoundInterval  = 16 * time.Millisecond
	DefaultStatusTimeout     = 900 * time.Millisecond
)

// Options configures a Watcher. Zero fields mean the defaults.
type Options struct {
	// HeartbeatInterval is the time between requests to an idle database.
	HeartbeatInterval time.Duration
	// MinRoundInterval is the minimum time between requests to one database.
	MinRoundInterval time.Duration
	// MaxRoundInterval is the maximum time between requests to a database
	// that a caller waits for and that makes no progress.
	MaxRoundInterval time.Duration
	// StatusTimeout is the timeout of each status request.
	StatusTimeout time.Duration
}

func (o Options) withDefaults() Options {
	if o.HeartbeatInterval <= 0 {
		o.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if o.MinRoundInterval <= 0 {
		o.MinRoundInterval = DefaultMinRoundInterval
	}
	if o.MaxRoundInterval <= 0 {
		o.MaxRoundInterval = DefaultMaxRoundInterval
	}
	if o.StatusTimeout <= 0 {
		o.StatusTimeout = DefaultStatusTimeout
	}
	return o
}

// Watcher polls the databases of one group. Its methods are safe for concurrent
// use. Each database has at most one request in flight and one due, regardless
// of the number of waiting callers, and a slow database does not delay the
// others.
type Watcher struct {
	group    state.Group
	majority int
	options  Options
	members  []*member
	byID     map[state.DatabaseID]*member

	// mu protects everything below and the mutable part of each member. No
	// request is made while it is held.
	mu              sync.Mutex
	sequence        uint64 // number of the newest request to any database
	primary         *member
	primaryTerm     state.Term
	highestTerm     state.Term
	acknowledges    map[*acknowledgeWaiter]struct{}
	barriers        map[*barrierWaiter]struct{}
	positionWaiters map[*positionWaiter]struct{}
	samples         sampleHistory
	changed         chan struct{}
	counts          Counts
	stopped         bool
}

// New creates the Watcher of a group. Each database of the group needs a
// Control. The set of databases is fixed for the Watcher's lifetime.
func New(group state.Group, controls map[state.DatabaseID]Control, options Options) *Watcher {
	w := &Watcher{
		group:           group,
		majority:        group.Majority(),
		options:         options.withDefaults(),
		byID:            make(map[state.DatabaseID]*member, len(group.Databases)),
		acknowledges:    make(map[*acknowledgeWaiter]struct{}),
		barriers:        make(map[*barrierWaiter]struct{}),
		positionWaiters: make(map[*positionWaiter]struct{}),
		changed:         make(chan struct{}),
	}
	for _, database := range group.Databases {
		m := newMember(database, controls[database.ID])
		w.members = append(w.members, m)
		w.byID[database.ID] = m
	}
	return w
}

// Run polls the databases until ctx ends, then fails all remaining waiters with
// ErrStopped. It must be called only once.
func (w *Watcher) Run(ctx context.Context) error {
	var pollers errgroup.Group
	for _, m := range w.members {
		pollers.Go(func() error {
			w.poll(ctx, m)
			return nil
		})
	}
	_ = pollers.Wait()
	w.stop()
	return ctx.Err()
}

// Changes returns a channel that is closed at the next change of the primary,
// its term, or the highest term seen.
func (w *Watcher) Changes() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changed
}

// Refresh makes a request to every database due now.
func (w *Watcher) Refresh() {
	for _, m := range w.members {
		m.makeRequestDue()
	}
}

// updatePrimary derives the primary from the members' latest statuses. A
// primary remains known until a majority has moved to later terms. The caller
// holds mu.
func (w *Watcher) updatePrimary() {
	previous, previousTerm, previousHighest := w.primary, w.primaryTerm, w.highestTerm
	w.primary, w.primaryTerm = nil, 0
	for _, m := range w.members {
		if !m.responded {
			continue
		}
		w.highestTerm = max(w.highestTerm, m.status.Term)
		if m.status.Role == state.RolePrimary && (w.primary == nil || m.status.Term > w.primaryTerm) {
			w.primary, w.primaryTerm = m, m.status.Term
		}
	}
	if w.primary != nil && w.countAbove(w.primaryTerm) >= w.majority {
		w.primary, w.primaryTerm = nil, 0
	}
	if w.primary != previous || w.primaryTerm != previousTerm || w.highestTerm != previousHighest {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *Watcher) countAbove(term state.Term) int {
	count := 0
	for _, m := range w.members {
		if m.responded && m.status.Term > term {
			count++
		}
	}
	return count
}
