// Package ownership decides which groups this instance watches and serves: those
// of whose databases it is the first owner, and those for which a peer, with
// another view of the membership, sent it work. Ownership is advisory; nothing
// that must hold depends on it.
package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Topology gives the groups as the platform records them.
type Topology interface {
	Get(id state.GroupID) (state.Group, bool)
	All() []state.Group
}

// Membership tells which instances own a database, best first.
type Membership interface {
	Self() state.Instance
	Owners(database state.Database) []state.Instance
}

// Runner watches one group and keeps it served.
type Runner interface {
	execution.Replication
	// Barrier returns a floor that covers all that was acknowledged before.
	Barrier(ctx context.Context) (state.Position, error)
	// Update takes a new record of the group with the same databases.
	Update(group state.Group)
	// ServerConfigs returns what the owner needs of each backend server.
	ServerConfigs() []execution.ServerParts
	// Snapshot is the group's part of the state dump.
	Snapshot() any
	Close()
}

// Factory starts runners.
type Factory interface {
	Start(group state.Group) Runner
}

// Options are the manager's intervals.
type Options struct {
	// ReconcileInterval is the time between two looks at the membership.
	ReconcileInterval time.Duration
	// KeepUnowned is how long a group that is no longer owned and no longer
	// used goes on being watched.
	KeepUnowned time.Duration
}

// DefaultOptions returns the intervals of a production instance.
func DefaultOptions() Options {
	return Options{ReconcileInterval: time.Second, KeepUnowned: time.Minute}
}

// Manager starts and stops the runners of groups. Its mutex guards the table of
// runners and is taken before any lock of a runner or of the owner. It is not
// held while a runner is closed, which waits for requests in flight.
type Manager struct {
	topology   Topology
	membership Membership
	factory    Factory
	owner      *execution.Owner
	options    Options
	log        zerolog.Logger

	mu      sync.Mutex
	running map[state.GroupID]*entry
	closed  bool
}

type entry struct {
	group    state.Group
	runner   Runner
	lastUsed time.Time
	owned    bool
}

// NewManager returns a manager that serves no group yet.
func NewManager(topology Topology, membership Membership, factory Factory, owner *execution.Owner, options Options, log zerolog.Logger) *Manager {
	return &Manager{
		topology: topology, membership: membership, factory: factory, owner: owner,
		options: options, log: log, running: map[state.GroupID]*entry{},
	}
}

// Run reconciles until ctx ends, then stops all runners.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.options.ReconcileInterval)
	defer ticker.Stop()
	for {
		m.Reconcile()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			m.close()
			return
		}
	}
}

// Reconcile starts runners of groups that are owned now, updates those whose
// record changed, and stops those that are neither owned nor used.
func (m *Manager) Reconcile() {
	for _, stopped := range m.reconcileAll(m.topology.All()) {
		stopped.Close()
	}
}

// reconcileAll returns the runners that were taken out of service and are yet
// to be closed.
func (m *Manager) reconcileAll(groups []state.Group) (stopped []Runner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil
	}
	present := map[state.GroupID]bool{}
	for _, group := range groups {
		present[group.ID] = true
		if runner := m.reconcileGroup(group); runner != nil {
			stopped = append(stopped, runner)
		}
	}
	for id, e := range m.running {
		if !present[id] {
			stopped = append(stopped, m.stop(id, e))
		}
	}
	return stopped
}

// reconcileGroup brings one group up to date, and returns the runner that it
// stopped, if any. The caller holds m.mu.
func (m *Manager) reconcileGroup(group state.Group) (stopped Runner) {
	owned := m.owns(group)
	e, running := m.running[group.ID]
	switch {
	case !running && owned:
		e = m.start(group)
	case !running:
		return nil
	case !sameDatabases(e.group, group):
		stopped = m.stop(group.ID, e)
		e = m.start(group)
	default:
		e.group = group
		e.runner.Update(group)
	}
	e.owned = owned
	if owned {
		e.lastUsed = time.Now()
		return stopped
	}
	if time.Since(e.lastUsed) > m.options.KeepUnowned {
		return m.stop(group.ID, e)
	}
	return stopped
}

// owns reports whether this instance is the first owner of a database of the
// group.
func (m *Manager) owns(group state.Group) bool {
	self := m.membership.Self().ID
	for _, database := range group.Databases {
		owners := m.membership.Owners(database)
		if len(owners) > 0 && owners[0].ID == self {
			return true
		}
	}
	return false
}

// start starts a group's runner. The caller holds m.mu.
func (m *Manager) start(group state.Group) *entry {
	e := &entry{group: group, runner: m.factory.Start(group), lastUsed: time.Now()}
	m.running[group.ID] = e
	m.owner.SetGroup(group.ID, e.runner, e.runner.ServerConfigs())
	m.log.Info().Str("step", "start group").Str("group", string(group.ID)).Msg("watching group")
	return e
}

// stop takes a group's runner out of service. The caller holds m.mu, and closes
// the runner once it has released it.
func (m *Manager) stop(id state.GroupID, e *entry) Runner {
	delete(m.running, id)
	m.owner.RemoveGroup(id)
	m.log.Info().Str("step", "stop group").Str("group", string(id)).Msg("no longer watching group")
	return e.runner
}

func (m *Manager) close() {
	m.mu.Lock()
	m.closed = true
	var stopped []Runner
	for id, e := range m.running {
		stopped = append(stopped, m.stop(id, e))
	}
	m.mu.Unlock()
	for _, runner := range stopped {
		runner.Close()
	}
}

// sameDatabases reports whether two records name the same databases at the
// same addresses with the same capacity.
func sameDatabases(a, b state.Group) bool {
	return slices.EqualFunc(a.Databases, b.Databases, func(x, y state.Database) bool {
		x.Leaving, y.Leaving = false, false
		return x == y
	})
}

// ensure returns the runner of a group, starting it if need be.
func (m *Manager) ensure(id state.GroupID) (Runner, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, running := m.running[id]; running {
		e.lastUsed = time.Now()
		return e.runner, nil
	}
	group, found := m.topology.Get(id)
	if !found || m.closed {
		return nil, state.NotRun(state.ReasonUnreachable, "watch group", string(id), m.options.ReconcileInterval, nil)
	}
	return m.start(group).runner, nil
}

// Open implements execution.Executor.
func (m *Manager) Open(ctx context.Context, request execution.OpenRequest) (execution.Stream, error) {
	if _, err := m.ensure(request.Group); err != nil {
		return nil, err
	}
	return m.owner.Open(ctx, request)
}

// Barrier returns a floor that covers every write of the group that was
// acknowledged before the call.
func (m *Manager) Barrier(ctx context.Context, group state.GroupID) (state.Position, error) {
	runner, err := m.ensure(group)
	if err != nil {
		return state.Position{}, err
	}
	return runner.Barrier(ctx)
}

// Runner returns the runner of a group that is watched now.
func (m *Manager) Runner(group state.GroupID) (Runner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, running := m.running[group]
	if !running {
		return nil, false
	}
	return e.runner, true
}

// Each calls visit for each group that is watched now.
func (m *Manager) Each(visit func(group state.GroupID, runner Runner)) {
	m.mu.Lock()
	entries := make(map[state.GroupID]Runner, len(m.running))
	for id, e := range m.running {
		entries[id] = e.runner
	}
	m.mu.Unlock()
	for id, runner := range entries {
		visit(id, runner)
	}
}

// WatchedCount returns the number of groups that are watched now.
func (m *Manager) WatchedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}

// GroupSnapshot is a watched group's part of the state dump.
type GroupSnapshot struct {
	Group state.GroupID `json:"group"`
	Owned bool          `json:"owned"`
	State any           `json:"state"`
}

// Snapshot lists the watched groups, for the state dump.
func (m *Manager) Snapshot() []GroupSnapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshots := make([]GroupSnapshot, 0, len(m.running))
	for id, e := range m.running {
		snapshots = append(snapshots, GroupSnapshot{Group: id, Owned: e.owned, State: e.runner.Snapshot()})
	}
	slices.SortFunc(snapshots, func(a, b GroupSnapshot) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return snapshots
}
