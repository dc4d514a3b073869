package capacity

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ownership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fixedTopology is a set of groups that does not change.
type fixedTopology []state.Group

// Get implements ownership.Topology.
func (t fixedTopology) Get(id state.GroupID) (state.Group, bool) {
	for _, group := range t {
		if group.ID == id {
			return group, true
		}
	}
	return state.Group{}, false
}

// All implements ownership.Topology.
func (t fixedTopology) All() []state.Group {
	return t
}

// idleRunner is a runner without a watcher. The embedded interface is nil:
// Reconcile calls only the methods defined here.
type idleRunner struct{ ownership.Runner }

// Update implements ownership.Runner.
func (idleRunner) Update(state.Group) {}

// ServerConfigs implements ownership.Runner.
func (idleRunner) ServerConfigs() []execution.ServerConfig { return nil }

// Close implements ownership.Runner.
func (idleRunner) Close() {}

// idleFactory starts idle runners.
type idleFactory struct{}

// Start implements ownership.Factory.
func (idleFactory) Start(state.Group) ownership.Runner { return idleRunner{} }

// measureOwnership measures one call of Reconcile, which an instance makes every
// second.
func measureOwnership(ctx context.Context, report *Report) error {
	byGroups := Series{Section: "ownership", Name: "Reconcile at 1,500 instances", Unit: "us", Per: "groups", Target: targetGroups}
	byInstances := Series{Section: "ownership", Name: "Reconcile of 600 groups", Unit: "us", Per: "instances", Target: targetInstances}
	for _, size := range []int{60, 200, targetGroups} {
		cost, err := reconcileCost(ctx, size, targetInstances)
		if err != nil {
			return err
		}
		byGroups.Points = append(byGroups.Points, Point{float64(size), cost})
	}
	for _, size := range []int{100, 500, targetInstances} {
		cost, err := reconcileCost(ctx, targetGroups, size)
		if err != nil {
			return err
		}
		byInstances.Points = append(byInstances.Points, Point{float64(size), cost})
	}
	return addAll(report, byGroups, byInstances)
}

// reconcileCost returns the processor time of one call of Reconcile, in
// microseconds.
func reconcileCost(ctx context.Context, groupCount, instanceCount int) (float64, error) {
	members, err := newRefreshedMembership(ctx, instances(instanceCount))
	if err != nil {
		return 0, err
	}
	manager := ownership.NewManager(fixedTopology(groups(groupCount)), members, idleFactory{},
		execution.NewOwner(nil, execution.DefaultOptions()),
		ownership.Options{ReconcileInterval: time.Second, UnownedRetention: time.Minute}, zerolog.Nop())
	return processorTimePerCall(manager.Reconcile), nil
}
