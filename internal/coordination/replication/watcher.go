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

// Options tunes a Watcher. Zero fields take the defaults.
type Options struct {
	// HeartbeatInterval is the time between requests to an idle database.
	HeartbeatInterval time.Duration
	// MinRoundInterval is the least time between requests to one database.
	MinRoundInterval time.Duration
	// MaxRoundInterval is the most time between requests to a database that
	// somebody waits for and that makes no progress.
	MaxRoundInterval time.Duration
	// StatusTimeout bounds each request for a status.
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

// Watcher follows the databases of one group. Its methods are safe for
// concurrent use. Each database has at most one request in flight and one due,
// however many callers wait, and a slow database delays no other.
type Watcher struct {
	group    state.Group
	majority int
	options  Options
	members  []*member
	byID     map[state.DatabaseID]*member

	// mu protects everything below and the mutable part of each member. No
	// request is made while it is held.
	mu           sync.Mutex
	sequence     uint64 // of the newest request sent to any database
	primary      *member
	primaryTerm  state.Term
	highestTerm  state.Term
	acknowledges map[*acknowledgeWaiter]struct{}
	barriers     map[*barrierWaiter]struct{}
	holds        map[*holdWaiter]struct{}
	samples      sampleHistory
	changed      chan struct{}
	counts       Counts
	stopped      bool
}

// New makes the Watcher of a group. Each database of the group needs a
// Control. The group's databases are fixed for the Watcher's life.
func New(group state.Group, controls map[state.DatabaseID]Control, options Options) *Watcher {
	w := &Watcher{
		group:        group,
		majority:     group.Majority(),
		options:      options.withDefaults(),
		byID:         make(map[state.DatabaseID]*member, len(group.Databases)),
		acknowledges: make(map[*acknowledgeWaiter]struct{}),
		barriers:     make(map[*barrierWaiter]struct{}),
		holds:        make(map[*holdWaiter]struct{}),
		changed:      make(chan struct{}),
	}
	for _, database := range group.Databases {
		m := newMember(database, controls[database.ID])
		w.members = append(w.members, m)
		w.byID[database.ID] = m
	}
	return w
}

// Run polls the databases until ctx ends, then fails all who still wait with
// ErrStopped. It is called once.
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
		m.wakeUp()
	}
}

// updatePrimary derives the primary from the members' latest statuses. A
// primary is known while fewer than a majority have left its term. The caller
// holds mu.
func (w *Watcher) updatePrimary() {
	previous, previousTerm, previousHighest := w.primary, w.primaryTerm, w.highestTerm
	w.primary, w.primaryTerm = nil, 0
	for _, m := range w.members {
		if !m.heard {
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
		if m.heard && m.status.Term > term {
			count++
		}
	}
	return count
}
