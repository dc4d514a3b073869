// Package ownership decides which groups this instance watches and serves. These
// are the groups with a database of which the instance is the first owner, and
// those for which a peer with a different view of the membership has recently
// sent a request. Ownership is advisory: correctness does not depend on it.
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

// Topology returns the groups as recorded by the platform.
type Topology interface {
	Get(id state.GroupID) (state.Group, bool)
	All() []state.Group
}

// Membership reports which instances own a database, the preferred one first.
type Membership interface {
	Self() state.Instance
	Owners(database state.Database) []state.Instance
}

// Runner watches one group and provides what is needed to serve it.
type Runner interface {
	execution.Replication
	// Barrier returns a minimum position that covers every write that was
	// acknowledged before the call.
	Barrier(ctx context.Context) (state.Position, error)
	// Update applies the current record of the group, whose databases differ
	// from the previous record at most in Leaving.
	Update(group state.Group)
	// ServerConfigs returns what the owner needs to use each backend server.
	ServerConfigs() []execution.ServerConfig
	// Snapshot returns the group's part of the state dump.
	Snapshot() any
	Close()
}

// Factory starts the runners of groups.
type Factory interface {
	Start(group state.Group) Runner
}

// Options are the manager's time settings.
type Options struct {
	// ReconcileInterval is the time between two calls of Reconcile by Run.
	ReconcileInterval time.Duration
	// UnownedRetention is how long a group that this instance does not own is
	// still watched after its last use.
	UnownedRetention time.Duration
}

// DefaultOptions returns the options of a production instance.
func DefaultOptions() Options {
	return Options{ReconcileInterval: time.Second, UnownedRetention: time.Minute}
}

// Manager starts and stops the runners of groups. Its mutex protects the map of
// watched groups and is acquired before any lock of a runner or of the owner. It
// is not held while a runner is closed, because closing waits for requests in
// flight.
type Manager struct {
	topology   Topology
	membership Membership
	factory    Factory
	owner      *execution.Owner
	options    Options
	log        zerolog.Logger

	mu      sync.Mutex
	running map[state.GroupID]*watchedGroup
	closed  bool
}

type watchedGroup struct {
	group    state.Group
	runner   Runner
	lastUsed time.Time
	owned    bool
}

// NewManager returns a manager that does not watch any group yet.
func NewManager(topology Topology, membership Membership, factory Factory, owner *execution.Owner, options Options, log zerolog.Logger) *Manager {
	return &Manager{
		topology: topology, membership: membership, factory: factory, owner: owner,
		options: options, log: log, running: map[state.GroupID]*watchedGroup{},
	}
}

// Run reconciles periodically until ctx ends, then stops all runners.
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

// Reconcile starts the runners of newly owned groups, updates the running ones
// with the current record of their group, and stops those whose group no longer
// exists, or is neither owned nor was used recently. It replaces a runner if its
// group's databases have changed.
func (m *Manager) Reconcile() {
	for _, stopped := range m.reconcileAll(m.topology.All()) {
		stopped.Close()
	}
}

// reconcileAll reconciles all groups and returns the runners that it has
// stopped, which the caller must close.
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
	for id, watched := range m.running {
		if !present[id] {
			stopped = append(stopped, m.stop(id, watched))
		}
	}
	return stopped
}

// reconcileGroup reconciles one group and returns the runner that it has
// stopped, if any. The caller holds m.mu.
func (m *Manager) reconcileGroup(group state.Group) (stopped Runner) {
	owned := m.isFirstOwner(group)
	watched, running := m.running[group.ID]
	switch {
	case !running && owned:
		watched = m.start(group)
	case !running:
		return nil
	case !sameDatabases(watched.group, group):
		stopped = m.stop(group.ID, watched)
		watched = m.start(group)
	default:
		watched.group = group
		watched.runner.Update(group)
	}
	watched.owned = owned
	if owned {
		watched.lastUsed = time.Now()
		return stopped
	}
	if time.Since(watched.lastUsed) > m.options.UnownedRetention {
		return m.stop(group.ID, watched)
	}
	return stopped
}

// isFirstOwner reports whether this instance is the first owner of any of the
// group's databases.
func (m *Manager) isFirstOwner(group state.Group) bool {
	self := m.membership.Self().ID
	for _, database := range group.Databases {
		owners := m.membership.Owners(database)
		if len(owners) > 0 && owners[0].ID == self {
			return true
		}
	}
	return false
}

// start starts a group's runner and adds the group to the owner. The caller
// holds m.mu.
func (m *Manager) start(group state.Group) *watchedGroup {
	watched := &watchedGroup{group: group, runner: m.factory.Start(group), lastUsed: time.Now()}
	m.running[group.ID] = watched
	m.owner.SetGroup(group.ID, watched.runner, watched.runner.ServerConfigs())
	m.log.Info().Str("step", "start group").Str("group", string(group.ID)).Msg("watching group")
	return watched
}

// stop removes a group from the manager and the owner, and returns its runner.
// The caller holds m.mu, and closes the runner after unlocking it.
func (m *Manager) stop(id state.GroupID, watched *watchedGroup) Runner {
	delete(m.running, id)
	m.owner.RemoveGroup(id)
	m.log.Info().Str("step", "stop group").Str("group", string(id)).Msg("no longer watching group")
	return watched.runner
}

func (m *Manager) close() {
	m.mu.Lock()
	m.closed = true
	var stopped []Runner
	for id, watched := range m.running {
		stopped = append(stopped, m.stop(id, watched))
	}
	m.mu.Unlock()
	for _, runner := range stopped {
		runner.Close()
	}
}

// sameDatabases reports whether two records of a group list the same databases
// with equal fields, apart from Leaving.
func sameDatabases(a, b state.Group) bool {
	return slices.EqualFunc(a.Databases, b.Databases, func(x, y state.Database) bool {
		x.Leaving, y.Leaving = false, false
		return x == y
	})
}

// startIfNeeded returns the runner of a group and starts it if necessary.
func (m *Manager) startIfNeeded(id state.GroupID) (Runner, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if watched, running := m.running[id]; running {
		watched.lastUsed = time.Now()
		return watched.runner, nil
	}
	group, found := m.topology.Get(id)
	if !found || m.closed {
		return nil, state.NotRun(state.ReasonUnreachable, "watch group", string(id), m.options.ReconcileInterval, nil)
	}
	return m.start(group).runner, nil
}

// Open implements execution.Executor.
func (m *Manager) Open(ctx context.Context, request execution.OpenRequest) (execution.Stream, error) {
	if _, err := m.startIfNeeded(request.Group); err != nil {
		return nil, err
	}
	return m.owner.Open(ctx, request)
}

// Barrier returns a minimum position that covers every write of the group that
// was acknowledged before the call.
func (m *Manager) Barrier(ctx context.Context, group state.GroupID) (state.Position, error) {
	runner, err := m.startIfNeeded(group)
	if err != nil {
		return state.Position{}, err
	}
	return runner.Barrier(ctx)
}

// Runner returns the runner of a group, if the group is watched now.
func (m *Manager) Runner(group state.GroupID) (Runner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	watched, running := m.running[group]
	if !running {
		return nil, false
	}
	return watched.runner, true
}

// Each calls visit for each group that is watched at the time of the call,
// without holding the mutex.
func (m *Manager) Each(visit func(group state.GroupID, runner Runner)) {
	m.mu.Lock()
	runners := make(map[state.GroupID]Runner, len(m.running))
	for id, watched := range m.running {
		runners[id] = watched.runner
	}
	m.mu.Unlock()
	for id, runner := range runners {
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
	for id, watched := range m.running {
		snapshots = append(snapshots, GroupSnapshot{Group: id, Owned: watched.owned, State: watched.runner.Snapshot()})
	}
	slices.SortFunc(snapshots, func(a, b GroupSnapshot) int {
		if a.Group < b.Group {
			return -1
		}
		return 1
	})
	return snapshots
}
