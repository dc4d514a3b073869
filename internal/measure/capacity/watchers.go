package capacity

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/backend"
)

// noopCoordination implements failover.Claims and failover.Observers. It accepts
// every claim, stores nothing and returns no observations.
type noopCoordination struct{}

// Claim implements failover.Claims.
func (noopCoordination) Claim(context.Context, state.GroupID, state.Term, state.InstanceID) error {
	return nil
}

// Record implements failover.Claims.
func (noopCoordination) Record(context.Context, state.GroupID, state.Term, state.DatabaseID) error {
	return nil
}

// CollectObservations implements failover.Observers.
func (noopCoordination) CollectObservations(context.Context, state.GroupID) []failover.Observation {
	return nil
}

// countedControl counts the status requests sent to a database.
type countedControl struct {
	replication.Control
	requests *atomic.Int64
}

// Status implements replication.Control.
func (c countedControl) Status(ctx context.Context) (state.DatabaseStatus, error) {
	c.requests.Add(1)
	return c.Control.Status(ctx)
}

// staticControl returns a fixed status without a network request.
type staticControl struct {
	replication.Control
	status state.DatabaseStatus
}

// Status implements replication.Control.
func (c staticControl) Status(context.Context) (state.DatabaseStatus, error) {
	return c.status, nil
}

// measureWatchers measures the watcher and the failure detection of idle groups,
// first with controls inside the process, then with controls that connect to the
// stand-in over TCP.
func measureWatchers(ctx context.Context, report *Report) error {
	series := func(name, unit string) Series {
		return Series{Section: "watchers", Name: name, Unit: unit, Per: "groups", Target: targetWatchedGroups}
	}
	requests := series("status requests when idle", "1/s")
	processor := series("processor without a network", "us/s")
	bytes := series("bytes over TCP", "bytes/s")
	processorTCP := series("processor over TCP, stand-in included", "us/s")
	for _, size := range []int{5, 20, 60} {
		inProcess, err := watchInProcess(ctx, size)
		if err != nil {
			return err
		}
		requests.Points = append(requests.Points, Point{float64(size), inProcess.requests})
		processor.Points = append(processor.Points, Point{float64(size), inProcess.processor})
		overTCP, err := watchOverTCP(ctx, size)
		if err != nil {
			return err
		}
		bytes.Points = append(bytes.Points, Point{float64(size), overTCP.bytes})
		processorTCP.Points = append(processorTCP.Points, Point{float64(size), overTCP.processor})
	}
	return addAll(report, requests, processor, bytes, processorTCP)
}

// watchCost is the cost of watching groups for one second.
type watchCost struct {
	requests, bytes, processor float64
}

// watchInProcess measures count watchers of one group whose databases have a fixed
// status.
func watchInProcess(ctx context.Context, count int) (watchCost, error) {
	group := groups(1)[0]
	controls := map[state.DatabaseID]replication.Control{}
	for i, member := range group.Databases {
		status := state.DatabaseStatus{Database: member.ID, Term: 1, Role: state.RoleReplica, Log: state.Position{Term: 1, Offset: 1}}
		if i == 0 {
			status.Role = state.RolePrimary
		}
		controls[member.ID] = staticControl{status: status}
	}
	return watch(ctx, group, count, newTraffic(), func(member state.Database) replication.Control {
		return controls[member.ID]
	})
}

// watchOverTCP measures count watchers of one group, each with its own connections.
func watchOverTCP(ctx context.Context, count int) (watchCost, error) {
	group, err := startGroup(ctx, "watched")
	if err != nil {
		return watchCost{}, err
	}
	defer group.Close()
	counted := newTraffic()
	dialer := &backend.Dialer{User: "cyclamenpin", DialFunc: counted.DialContext}
	var controls []*backend.Control
	defer func() {
		for _, control := range controls {
			control.Close()
		}
	}()
	return watch(ctx, group.Describe(), count, counted, func(member state.Database) replication.Control {
		control := backend.NewControl(dialer, member)
		controls = append(controls, control)
		return control
	})
}

// watch runs count watchers of a group and measures their cost over idleTime.
func watch(ctx context.Context, group state.Group, count int, counted *traffic, control func(state.Database) replication.Control) (watchCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	var requests atomic.Int64
	for range count {
		controls := map[state.DatabaseID]replication.Control{}
		for _, member := range group.Databases {
			controls[member.ID] = countedControl{Control: control(member), requests: &requests}
		}
		watcher := replication.New(group, controls, replication.Options{})
		manager := failover.New(group, watcher, controls, noopCoordination{}, noopCoordination{}, failover.Options{Self: "instance", Logger: zerolog.Nop()})
		running.Go(func() { _ = watcher.Run(ctx) })
		running.Go(func() { _ = manager.Run(ctx) })
	}
	if err := pause(ctx, idleTime/2); err != nil {
		return watchCost{}, err
	}
	requestsBefore, bytesBefore, timeBefore := requests.Load(), counted.bytes(), processorTime()
	if err := pause(ctx, idleTime); err != nil {
		return watchCost{}, err
	}
	seconds := idleTime.Seconds()
	return watchCost{
		requests:  float64(requests.Load()-requestsBefore) / seconds,
		bytes:     (counted.bytes() - bytesBefore) / seconds,
		processor: microseconds(processorTime()-timeBefore) / seconds,
	}, nil
}

// Limits of a stand-in database, which no measurement reaches.
const (
	standinSlots       = 64
	standinConnections = 400
)

// startGroup starts a group of stand-in databases in one data centre.
func startGroup(ctx context.Context, id state.GroupID) (*database.Group, error) {
	var members []database.Options
	for i := range targetGroupSize {
		members = append(members, database.Options{
			ID: state.DatabaseID(fmt.Sprintf("%s-%d", id, i)), DataCentre: dataCentre(0),
			Slots: standinSlots, MaxConnections: standinConnections,
		})
	}
	return database.StartGroup(context.WithoutCancel(ctx), database.GroupOptions{ID: id, Databases: members})
}
