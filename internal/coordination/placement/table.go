package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// A change of the holders takes as long as all instances need to read the rows
	// that cause it and former holders to close their connections: settleTime, or
	// settleReads times the time between two reads if that is longer.
	settleTime  = 10 * time.Second
	settleReads = 1.5
	// recomputeInterval is how often the number of holders follows the demand.
	recomputeInterval = 2 * time.Second
	// A list that lacks more than one in believeShrink of the instances counts only
	// after shrinkTime: the store may have been restored from an early copy, and the
	// instances have not written their rows again.
	believeShrink = 2
	shrinkTime    = 20 * time.Second
	// unusedTime is how long the decision about a database is kept after its last
	// use.
	unusedTime = time.Minute
)

// SettleTime returns how long a change of the holders takes.
func SettleTime(readInterval time.Duration) time.Duration {
	return max(settleTime, time.Duration(settleReads*float64(readInterval)))
}

// Config holds the dependencies of a table. Its functions take no lock under
// which the table is used.
type Config struct {
	Self   state.InstanceID
	Region func(state.DataCentre) string
	// Instances returns the live instances.
	Instances func() []Instance
	// ReadInterval returns the time between two reads of the instances' rows.
	ReadInterval func() time.Duration
	// Accepted returns how many connections each database of a group accepts.
	Accepted func(state.GroupID) int
	// Workspaces returns the number of workspaces to which connections may belong.
	Workspaces func() int
	// Demand returns the demand of all instances for a group, in connections.
	Demand func(state.GroupID) float64
	Clock  state.Clock
	Log    zerolog.Logger
}

// Placement is the decision about one database.
type Placement struct {
	// Direct is set if every instance opens its own connections. The other fields
	// are then empty.
	Direct bool
	// Holders are the instances that hold connections, the first ranked first.
	Holders []Instance
	// Holds is set if this instance is one of them.
	Holds bool
	// ByWorkspace is set if each workspace uses one of the holders first.
	ByWorkspace bool
	// Share is how many connections this instance may open. That of an instance
	// that is no holder is for probes and for when no holder can be reached.
	Share int
	// Accepts is set if this instance runs forwarded statements: it is a holder,
	// or was one until lately.
	Accepts bool
}

// entry is the decision about a database and its history.
type entry struct {
	group      state.GroupID
	placement  Placement
	generation uint64
	computedAt state.Instant
	usedAt     state.Instant
	// changedAt is when this instance became a holder or ceased to be one.
	changedAt state.Instant
	held      bool
	// former is set if this instance was a holder before changedAt.
	former bool
}

// Table holds the decisions about the databases in use. It is safe for concurrent
// use.
type Table struct {
	Config

	mu sync.Mutex
	// instances are the live ones, fleet those that may be holders.
	instances  []Instance
	fleet      fleet
	generation uint64
	// settles is how long a change of the holders takes.
	settles time.Duration
	// shrunkAt is when the list of instances first lacked most of them; 0 if it
	// does not.
	shrunkAt state.Instant
	entries  map[state.DatabaseID]*entry
	// forwarding holds the groups whose databases accept too few connections.
	forwarding map[state.GroupID]bool
}

// New returns a table that knows of no instance.
func New(config Config) *Table {
	return &Table{Config: config, entries: make(map[state.DatabaseID]*entry), forwarding: make(map[state.GroupID]bool)}
}

// Update reads the live instances and forgets databases that are no longer used.
func (t *Table) Update() {
	now := t.Clock.Now()
	settles := SettleTime(t.ReadInterval())
	sorted := slices.SortedFunc(slices.Values(t.Instances()), func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settles = settles
	for id, e := range t.entries {
		if now.Sub(e.usedAt) > unusedTime {
			delete(t.entries, id)
		}
	}
	if slices.Equal(sorted, t.instances) {
		t.shrunkAt = 0
		return
	}
	if believeShrink*len(sorted) < len(t.instances) {
		if t.shrunkAt == 0 {
			t.shrunkAt = now
		}
		if now.Sub(t.shrunkAt) < shrinkTime {
			return
		}
	}
	t.shrunkAt = 0
	t.instances, t.fleet = sorted, newFleet(sorted, t.Region)
	t.generation++
}

// Of returns the decision about a database.
func (t *Table) Of(server state.Server) Placement {
	now := t.Clock.Now()
	t.mu.Lock()
	e, ok := t.entries[server.ID]
	if ok && e.generation == t.generation && now.Sub(e.computedAt) < recomputeInterval {
		defer t.mu.Unlock()
		e.usedAt = now
		return e.placement
	}
	unknown := len(t.instances) == 0
	t.mu.Unlock()
	if unknown {
		// An instance that has just started must not open connections before it
		// knows how many others there are.
		t.Update()
	}
	of := size{accepted: t.Accepted(server.Group), workspaces: t.Workspaces(), demand: t.Demand(server.Group)}
	t.mu.Lock()
	defer t.mu.Unlock()
	of.instances = len(t.instances)
	return t.compute(server, of, now)
}

// compute must be called with the lock held.
func (t *Table) compute(server state.Server, of size, now state.Instant) Placement {
	e, ok := t.entries[server.ID]
	if !ok {
		e = &entry{group: server.Group, changedAt: now}
		t.entries[server.ID] = e
	}
	e.generation, e.computedAt, e.usedAt = t.generation, now, now
	t.forwarding[server.Group] = of.forwards(t.forwarding[server.Group])
	if !t.forwarding[server.Group] {
		e.placement, e.held, e.former, e.changedAt = Placement{Direct: true}, false, false, now
		return e.placement
	}
	holders := t.fleet.holders(server.Database, t.Region(server.DataCentre), of.holderCount(len(e.placement.Holders)))
	rank := slices.IndexFunc(holders, func(i Instance) bool { return i.Name == t.Self })
	if holds := rank >= 0; holds != e.held {
		e.held, e.former, e.changedAt = holds, e.held, now
		t.Log.Info().Str("database", string(server.ID)).Bool("holds", holds).Int("holders", len(holders)).Msg("placement of connections changed")
	}
	e.placement = t.decide(e, holders, rank, of.accepted, now)
	e.placement.ByWorkspace = of.workspaces > 0
	return e.placement
}

// decide returns this instance's part. It must be called with the lock held.
func (t *Table) decide(e *entry, holders []Instance, rank, accepted int, now state.Instant) Placement {
	p := Placement{Holders: holders, Holds: rank >= 0, Accepts: true, Share: 1}
	settling := now.Sub(e.changedAt) < t.settles
	switch {
	case p.Holds && settling:
		p.Share = max(1, shareOf(accepted, len(holders), rank)/2)
	case p.Holds:
		p.Share = shareOf(accepted, len(holders), rank)
	case settling && e.former:
		p.Share = max(1, shareOf(accepted, len(holders), len(holders)-1)/2)
	default:
		p.Accepts = false
	}
	return p
}

// Status is the decision about a database, for the dump.
type Status struct {
	Database state.DatabaseID   `json:"database"`
	Group    state.GroupID      `json:"group"`
	Direct   bool               `json:"direct"`
	Holders  []state.InstanceID `json:"holders,omitempty"`
	Holds    bool               `json:"holds"`
	Share    int                `json:"share"`
}

// Snapshot returns the decisions about the databases in use, ordered by id.
func (t *Table) Snapshot() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.entries))
	for id, e := range t.entries {
		status := Status{Database: id, Group: e.group, Direct: e.placement.Direct, Holds: e.placement.Holds, Share: e.placement.Share}
		for _, holder := range e.placement.Holders {
			status.Holders = append(status.Holders, holder.Name)
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Database, b.Database) })
	return all
}
