// Package levels decides whether an ability that needs other instances may be used
// while instances of several builds run side by side. Each instance states in its row
// the level of its build. An ability is used while every instance that may still act
// states the level that brought it.
//
// An instance of an older build can start at any time, and the others learn of it with
// their next read of the rows. So an ability must also be safe beside an instance that
// ignores it; the level only decides whether it is worth using.
//
// Locks: Gate.mu is a leaf.
package levels

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Level numbers what a build can do together with others. A build has the abilities of
// all lower levels, too.
type Level = uint32

const (
	// Unstated is the level of builds whose rows state none.
	Unstated Level = iota
	// CollectedRenewals is the ability to answer an instance that collects renewals.
	CollectedRenewals
	// ReplicaSets is the ability to state in the rows of replica sets of which databases an
	// instance hears.
	ReplicaSets
)

// Newest is the level of this build.
const Newest = ReplicaSets

const (
	// updateInterval is the time between two looks at the rows.
	updateInterval = 500 * time.Millisecond
	// raiseAfter is how long all instances must state a level before its abilities are
	// used. It covers the time between the stop of one instance and the start of its
	// replacement, which may be of an older build.
	raiseAfter = 4 * time.Second
	// maxRowsAge is how many intervals may have passed since the rows were read: an
	// older build may have started meanwhile.
	maxRowsAge = 3
)

// Membership returns the instances' rows. leadership.Manager implements it.
type Membership interface {
	Standing(within time.Duration) (leadership.Standing, bool)
}

// Gate tracks the lowest level of the instances that may still act. It is safe for
// concurrent use.
type Gate struct {
	membership Membership
	// mayAct is how long after its last renewal an instance may use a lease.
	mayAct time.Duration
	clock  state.Clock
	log    zerolog.Logger

	mu sync.Mutex
	// inUse is the level whose abilities are used, raising a higher one that all
	// instances have stated since raisingSince.
	inUse, raising Level
	raisingSince   state.Instant
}

// NewGate returns a gate at Unstated.
func NewGate(membership Membership, mayAct time.Duration, clock state.Clock, log zerolog.Logger) *Gate {
	return &Gate{membership: membership, mayAct: mayAct, clock: clock, log: log}
}

// Run keeps the level up to date until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	state.Every(ctx, updateInterval, g.Update)
}

// Uses reports whether abilities of a level may be used.
func (g *Gate) Uses(level Level) bool {
	return g.InUse() >= level
}

// InUse returns the level whose abilities are used.
func (g *Gate) InUse() Level {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inUse
}

// Update reads the rows. A lower level counts at once, a higher one after raiseAfter.
func (g *Gate) Update() {
	now := g.clock.Now()
	stated, lowest := g.stated()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.inUse
	switch {
	case stated <= g.inUse:
		g.inUse, g.raising = stated, stated
	case g.raising <= g.inUse || stated < g.raising:
		g.raising, g.raisingSince = stated, now
	case now.Sub(g.raisingSince) >= raiseAfter:
		g.inUse = g.raising
	}
	if g.inUse != before {
		metrics.GetOrCreateGauge("cyclamenpin_level_in_use", nil).Set(float64(g.inUse))
		g.log.Info().Uint32("before", before).Uint32("level", g.inUse).Str("lowest", string(lowest)).Msg("level of the fleet changed")
	}
}

// stated returns the lowest level of the instances that may act, and one of those that
// state it.
func (g *Gate) stated() (Level, state.InstanceID) {
	standing, known := g.membership.Standing(g.mayAct)
	if !known || standing.RowsLost || standing.Latest-standing.ReadAt > maxRowsAge*standing.ReadInterval {
		return Unstated, ""
	}
	level, lowest := Newest, standing.Self
	for _, row := range standing.Instances {
		if row.Level < level {
			level, lowest = row.Level, row.Name
		}
	}
	return level, lowest
}
