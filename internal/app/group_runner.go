package app

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/admission"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/membership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ownership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/backend"
)

// runnerFactory creates the groupRunner of each group that this instance
// watches.
type runnerFactory struct {
	self       state.Instance
	dialer     *backend.Dialer
	claims     failover.Claims
	observers  failover.Observers
	membership *membership.Membership
	limits     *limitsInForce
	log        zerolog.Logger
}

// Start implements ownership.Factory.
func (f *runnerFactory) Start(group state.Group) ownership.Runner {
	ctx, cancel := context.WithCancel(context.Background())
	r := &groupRunner{factory: f, cancel: cancel, gates: map[state.DatabaseID]*admission.Gate{}}
	controls := map[state.DatabaseID]replication.Control{}
	for _, database := range group.Databases {
		control := backend.NewControl(f.dialer, database)
		controls[database.ID] = control
		r.controls = append(r.controls, control)
		r.addServer(group, database, control)
	}
	r.watcher = replication.New(group, controls, replication.Options{})
	r.failover = failover.New(group, r.watcher, controls, f.claims, f.observers, failover.Options{
		Self: f.self.ID, Incarnation: f.self.Incarnation, Rank: func() int { return f.rank(group) }, Logger: f.log,
	})
	r.running.Go(func() { _ = r.watcher.Run(ctx) })
	r.running.Go(func() { _ = r.failover.Run(ctx) })
	return r
}

// rank returns this instance's position among the first owners of the group's
// databases in order of their ids, or the number of these owners if it is none
// of them.
func (f *runnerFactory) rank(group state.Group) int {
	var owners []state.InstanceID
	for _, database := range group.Databases {
		candidates := f.membership.Owners(database)
		if len(candidates) > 0 {
			owners = append(owners, candidates[0].ID)
		}
	}
	slices.Sort(owners)
	owners = slices.Compact(owners)
	if rank := slices.Index(owners, f.self.ID); rank >= 0 {
		return rank
	}
	return len(owners)
}

// concurrentOpens is the maximum number of connections being opened to one
// backend server at the same time.
const concurrentOpens = 3

// groupRunner watches one group's replication, changes its primary after
// failures, and provides what the owner needs to serve its databases.
type groupRunner struct {
	factory       *runnerFactory
	watcher       *replication.Watcher
	failover      *failover.Manager
	controls      []*backend.Control
	gates         map[state.DatabaseID]*admission.Gate
	serverConfigs []execution.ServerConfig
	cancel        context.CancelFunc
	running       sync.WaitGroup
}

// addServer creates the admission gate and the server configuration of one
// backend server. An owner uses at most half of the connections that the server
// accepts, so that the next owner can open its own while the server still counts
// those of this one.
func (r *groupRunner) addServer(group state.Group, database state.Database, control *backend.Control) {
	gate := admission.NewGate(admission.Options{
		Server: database.ID, Connections: max(1, database.MaxConnections/2), Slots: max(1, database.Slots),
	})
	gate.SetLeaving(database.Leaving)
	r.factory.limits.addGate(group.ID, gate)
	r.gates[database.ID] = gate
	r.serverConfigs = append(r.serverConfigs, execution.ServerConfig{
		Database:  database,
		Gate:      gateAdapter{gate: gate},
		Pacer:     admission.NewPacer(database.ID, concurrentOpens),
		Probe:     control.IsExecuting,
		Terminate: control.Terminate,
	})
}

// ServerConfigs implements ownership.Runner.
func (r *groupRunner) ServerConfigs() []execution.ServerConfig {
	return r.serverConfigs
}

// Update implements ownership.Runner.
func (r *groupRunner) Update(group state.Group) {
	r.failover.SetGroup(group)
	r.updateRoundTrips()
	for _, database := range group.Databases {
		if gate, found := r.gates[database.ID]; found {
			gate.SetLeaving(database.Leaving)
		}
	}
}

// updateRoundTrips sets each gate's round-trip time to that of the last status
// request to which its backend server responded.
func (r *groupRunner) updateRoundTrips() {
	for _, database := range r.watcher.View().Databases {
		if gate, found := r.gates[database.Database.ID]; found && database.Responded {
			gate.SetRoundTrip(database.RespondedAt.Sub(database.SentAt))
		}
	}
}

// Barrier implements ownership.Runner.
func (r *groupRunner) Barrier(ctx context.Context) (state.Position, error) {
	return r.watcher.Barrier(ctx)
}

// Primary implements execution.Replication.
func (r *groupRunner) Primary() (state.DatabaseID, state.Term, bool) {
	return r.watcher.Primary()
}

// WaitAcknowledged implements execution.Replication.
func (r *groupRunner) WaitAcknowledged(ctx context.Context, position state.Position) error {
	return r.watcher.WaitAcknowledged(ctx, position)
}

// WaitForPosition implements execution.Replication.
func (r *groupRunner) WaitForPosition(ctx context.Context, database state.DatabaseID, minPosition state.Position) error {
	return r.watcher.WaitForPosition(ctx, database, minPosition)
}

// ProvenAge implements execution.Replication.
func (r *groupRunner) ProvenAge(database state.DatabaseID) (time.Duration, bool) {
	return r.watcher.ProvenAge(database)
}

// Holders implements execution.Replication.
func (r *groupRunner) Holders(position state.Position) []state.DatabaseID {
	return r.watcher.Holders(position)
}

// Observe returns this instance's observation of the group's primary.
func (r *groupRunner) Observe() failover.Observation {
	return r.failover.Observe()
}

// runnerSnapshot is a group's part of the state dump.
type runnerSnapshot struct {
	Replication replication.View        `json:"replication"`
	Changes     []failover.ChangeReport `json:"changes"`
	Gates       []admission.Snapshot    `json:"gates"`
}

// Snapshot implements ownership.Runner.
func (r *groupRunner) Snapshot() any {
	snapshot := runnerSnapshot{Replication: r.watcher.View(), Changes: r.failover.Reports()}
	for _, config := range r.serverConfigs {
		snapshot.Gates = append(snapshot.Gates, r.gates[config.Database.ID].Snapshot())
	}
	return snapshot
}

// Close implements ownership.Runner.
func (r *groupRunner) Close() {
	r.cancel()
	r.running.Wait()
	for _, control := range r.controls {
		control.Close()
	}
	for _, gate := range r.gates {
		r.factory.limits.removeGate(gate)
	}
}
