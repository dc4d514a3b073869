package properties

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/admission"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ownership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/routing"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// suspicionDuration is how long an instance that failed is ordered behind all
// others.
const suspicionDuration = time.Second

// instance is one process of the proxy with its real components.
type instance struct {
	cluster *testCluster
	name    string
	index   int
	self    state.Instance
	ctx     context.Context
	cancel  context.CancelFunc
	dead    bool // guarded by the cluster's lock
	owner   *execution.Owner
	manager *ownership.Manager
	router  *routing.Router
	budget  *admission.RetryBudget

	mu       sync.Mutex
	suspects map[state.InstanceID]time.Time
	// ownerShift rotates this instance's order of owners, as if its view of the
	// membership differed from that of other instances.
	ownerShift int
}

func (tc *testCluster) startInstance(index int, incarnation state.Incarnation) *instance {
	in := &instance{
		cluster: tc, name: strconv.Itoa(index), index: index, suspects: map[state.InstanceID]time.Time{},
		budget: admission.NewRetryBudget(0.2, 10, 10),
	}
	in.self = state.Instance{ID: state.InstanceID(in.name), Incarnation: incarnation, DataCentre: dataCentre(index)}
	in.ctx, in.cancel = context.WithCancel(tc.ctx)
	in.owner = execution.NewOwner(in, execution.DefaultOptions())
	in.manager = ownership.NewManager(topology{tc.group}, in, in, in.owner, ownership.DefaultOptions(), zerolog.Nop())
	in.router = routing.New(topology{tc.group}, in, peers{in}, in.manager, routing.DefaultOptions())
	tc.running.Go(func() {
		in.manager.Run(in.ctx)
		in.owner.Close()
	})
	return in
}

func dataCentre(index int) state.DataCentre {
	return state.DataCentre(databaseNames[index%len(databaseNames)])
}

func (in *instance) isDead() bool {
	return in.cluster.checkWithLock(func() bool { return in.dead })
}

// kill ends the process. It performs no further input or output.
func (in *instance) kill() {
	in.cluster.withLock(func() {
		in.dead = true
		for _, d := range in.cluster.databases {
			for conn := range d.conns {
				signal(conn.inputReady)
			}
		}
	})
	in.cancel()
}

// topology provides a single group.
type topology struct{ group state.Group }

func (t topology) Get(id state.GroupID) (state.Group, bool) { return t.group, id == t.group.ID }
func (t topology) All() []state.Group                       { return []state.Group{t.group} }

// Self implements ownership.Membership and routing.Membership.
func (in *instance) Self() state.Instance { return in.self }

// Owners returns the instances in order of preference for a database: those in
// the same data centre first and suspects last.
func (in *instance) Owners(database state.Database) []state.Instance {
	var all []state.Instance
	in.cluster.withLock(func() {
		for _, other := range in.cluster.instances {
			all = append(all, other.self)
		}
	})
	in.mu.Lock()
	defer in.mu.Unlock()
	rank := func(other state.Instance) int {
		index, _ := strconv.Atoi(string(other.ID))
		rank := (index + in.ownerShift + int(database.ID[0])) % len(all)
		if other.DataCentre != database.DataCentre {
			rank += 10
		}
		if time.Since(in.suspects[other.ID]) < suspicionDuration {
			rank += 100
		}
		return rank
	}
	slices.SortFunc(all, func(a, b state.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return all
}

// ReportFailure implements routing.Membership.
func (in *instance) ReportFailure(id state.InstanceID, _ state.Incarnation, _ error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.suspects[id] = time.Now()
}

// ReportSuccess implements routing.Membership.
func (in *instance) ReportSuccess(id state.InstanceID, _ state.Incarnation) {
	in.mu.Lock()
	defer in.mu.Unlock()
	delete(in.suspects, id)
}

// runner implements ownership.Runner with the real watcher and failover manager.
type runner struct {
	*replication.Watcher
	failover      *failover.Manager
	serverConfigs []execution.ServerConfig
	gates         map[state.DatabaseID]*admission.Gate
	cancel        context.CancelFunc
	running       sync.WaitGroup
}

// Start implements ownership.Factory.
func (in *instance) Start(group state.Group) ownership.Runner {
	ctx, cancel := context.WithCancel(in.ctx)
	r := &runner{cancel: cancel, gates: map[state.DatabaseID]*admission.Gate{}}
	controls := map[state.DatabaseID]replication.Control{}
	for _, database := range group.Databases {
		controls[database.ID] = control{cluster: in.cluster, from: in, database: in.cluster.databases[string(database.ID)]}
		gate := admission.NewGate(admission.Options{Server: database.ID, Connections: database.MaxConnections / 2, Slots: database.Slots})
		gate.SetLimits(map[state.PlanID]admission.PlanLimit{planID: {MaxConnections: 10, Weight: 1}})
		r.gates[database.ID] = gate
		r.serverConfigs = append(r.serverConfigs, execution.ServerConfig{
			Database: database, Gate: gateAdapter{gate}, Pacer: admission.NewPacer(database.ID, 3),
			Probe: in.activityProbe(string(database.ID)),
		})
	}
	r.Watcher = replication.New(group, controls, replication.Options{})
	r.failover = failover.New(group, r.Watcher, controls, claims{in.cluster, in}, in, failover.Options{
		Self: in.self.ID, Incarnation: in.self.Incarnation, Seed: uint64(in.index + 1),
		Rank: func() int { return in.index }, Logger: zerolog.Nop(),
	})
	r.running.Go(func() { _ = r.Run(ctx) })
	r.running.Go(func() { _ = r.failover.Run(ctx) })
	return r
}

// CollectObservations implements failover.Observers.
func (in *instance) CollectObservations(ctx context.Context, group state.GroupID) []failover.Observation {
	var mu sync.Mutex
	var observations []failover.Observation
	var calls sync.WaitGroup
	for _, other := range in.cluster.liveInstances() {
		if other.index == in.index {
			continue
		}
		calls.Go(func() {
			_ = peers{in}.call(ctx, other.self, func(target *instance) error {
				watched, found := target.manager.Runner(group)
				if !found {
					return errRejected
				}
				observation := watched.(*runner).failover.Observe()
				mu.Lock()
				defer mu.Unlock()
				observations = append(observations, observation)
				return nil
			})
		})
	}
	calls.Wait()
	mu.Lock()
	defer mu.Unlock()
	return slices.Clone(observations)
}

func (r *runner) Update(group state.Group) { r.failover.SetGroup(group) }

func (r *runner) ServerConfigs() []execution.ServerConfig { return r.serverConfigs }

func (r *runner) Snapshot() any { return nil }

func (r *runner) Close() {
	r.cancel()
	r.running.Wait()
}

// liveInstances returns the instances that are not dead, including frozen ones.
func (tc *testCluster) liveInstances() []*instance {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var live []*instance
	for _, in := range tc.instances {
		if !in.dead {
			live = append(live, in)
		}
	}
	return live
}

// gateAdapter adapts an admission.Gate to execution.Gate.
type gateAdapter struct{ gate *admission.Gate }

func (a gateAdapter) AcquireConnection(ctx context.Context, plan state.PlanID, timeout time.Duration) (execution.Lease, error) {
	lease, err := a.gate.AcquireConnection(ctx, plan, timeout)
	if err != nil {
		return nil, err
	}
	return lease, nil
}

func (a gateAdapter) AcquireSlot(ctx context.Context, plan state.PlanID, inTransaction bool, timeout time.Duration) (execution.Slot, error) {
	slot, err := a.gate.AcquireSlot(ctx, plan, inTransaction, timeout)
	if err != nil {
		return nil, err
	}
	return slotAdapter{slot}, nil
}

type slotAdapter struct{ slot *admission.Slot }

func (a slotAdapter) Release(completed bool) {
	if completed {
		a.slot.Release(admission.SlotCompleted)
		return
	}
	a.slot.Release(admission.SlotAborted)
}
