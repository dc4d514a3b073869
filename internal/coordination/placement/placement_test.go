package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

type fakeClock struct{ now state.Instant }

func (c *fakeClock) Now() state.Instant { return c.now }

// regionOf returns the region of data centres such as "a1" and "a2".
func regionOf(dc state.DataCentre) string { return string(dc[:1]) }

func instances(count int) []Instance {
	var all []Instance
	for n := range count {
		dc := state.DataCentre(fmt.Sprintf("%c%d", 'a'+n%3, n%2))
		all = append(all, Instance{Name: state.InstanceID(fmt.Sprint("i", n)), Address: fmt.Sprint("10.0.0.", n), DataCentre: dc})
	}
	return all
}

// fakeFleet makes one table for each instance, all with the same view.
type fakeFleet struct {
	clock      *fakeClock
	accepted   int
	workspaces int
	demand     float64
	reads      time.Duration
	instances  []Instance
	tables     map[state.InstanceID]*Table
}

func newFakeFleet(accepted, count int) *fakeFleet {
	f := &fakeFleet{clock: &fakeClock{now: state.Instant(time.Hour)}, accepted: accepted, tables: make(map[state.InstanceID]*Table)}
	f.grow(count)
	return f
}

func (f *fakeFleet) grow(count int) {
	f.instances = instances(count)
	for _, instance := range f.instances {
		if f.tables[instance.Name] == nil {
			f.tables[instance.Name] = New(Config{
				Self: instance.Name, Region: regionOf, Clock: f.clock, Log: zerolog.Nop(), ReadInterval: func() time.Duration { return f.reads }, Instances: func() []Instance { return f.instances },
				Accepted: func(state.GroupID) int { return f.accepted }, Workspaces: func() int { return f.workspaces },
				Demand: func(state.GroupID) float64 { return f.demand },
			})
		}
	}
}

// shares returns the sum of the shares of all instances that are or were holders.
func (f *fakeFleet) shares(server state.Server) (sum, accepting int) {
	for _, table := range f.tables {
		if placed := table.Of(server); placed.Accepts {
			sum += placed.Share
			accepting++
		}
	}
	return sum, accepting
}

func (f *fakeFleet) pass(d time.Duration) {
	f.clock.now = f.clock.now.Add(d)
	for _, table := range f.tables {
		table.Update()
	}
}

func server(id string) state.Server {
	return state.Server{Group: "g", Database: state.Database{ID: state.DatabaseID(id), DataCentre: "b1"}}
}

// The shares of the holders fit into what a database accepts, for any sizes, while
// instances are added and after that.
func TestSharesFitWhileTheHoldersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := rapid.IntRange(12, 40).Draw(t, "accepted")
		before := rapid.IntRange(accepted, 2*accepted).Draw(t, "before")
		after := before + rapid.IntRange(1, before).Draw(t, "added")
		f := newFakeFleet(accepted, before)
		db := server(fmt.Sprint("db", rapid.IntRange(0, 1000).Draw(t, "database")))
		f.demand = rapid.Float64Range(0, 60).Draw(t, "demand")
		f.shares(db)
		f.pass(2 * settleTime)
		sum, holders := f.shares(db)
		require.LessOrEqual(t, sum, accepted)
		require.Positive(t, holders)
		f.grow(after)
		for range 8 {
			f.pass(3 * time.Second)
			sum, _ = f.shares(db)
			require.LessOrEqual(t, sum, accepted)
		}
	})
}

// In a large fleet the rows are read rarely. Former holders go on, and new ones start
// with a part, until all instances know of the change.
func TestChangeOfHoldersWaitsForAllToKnow(t *testing.T) {
	f := newFakeFleet(73, 144)
	f.reads = 20 * time.Second
	f.pass(time.Second)
	accepting := func() (all int) {
		for n := range 8 {
			_, count := f.shares(server(fmt.Sprint("db", n)))
			all += count
		}
		return all
	}
	before := accepting()
	f.grow(252)
	f.pass(time.Second)
	during := accepting()
	require.Greater(t, during, before)
	f.pass(25 * time.Second)
	require.Equal(t, during, accepting())
	f.pass(10 * time.Second)
	require.Equal(t, before, accepting())
}

// Instances are added. They hold nothing until the present holders know of them. When
// all start together, they hold at once.
func TestJoiningInstancesHoldNothing(t *testing.T) {
	f := newFakeFleet(73, 252)
	for n := range f.instances {
		f.instances[n].Joining = n >= 144
	}
	f.pass(time.Second)
	for n := range 24 {
		for _, holder := range f.tables["i200"].Of(server(fmt.Sprint("db", n))).Holders {
			require.False(t, holder.Joining)
		}
	}
	for n := range f.instances {
		f.instances[n].Joining = true
	}
	f.pass(time.Second)
	require.Len(t, f.tables["i200"].Of(server("db")).Holders, usualHolders)
}

// Holders are in the database's data centre while that has enough instances, and the
// databases spread over it.
func TestHoldersAreNearTheDatabase(t *testing.T) {
	f := newFakeFleet(73, 144)
	held := make(map[state.InstanceID]int)
	for n := range 24 {
		for _, holder := range f.tables["i0"].Of(server(fmt.Sprint("db", n))).Holders {
			require.Equal(t, state.DataCentre("b1"), holder.DataCentre)
			held[holder.Name]++
		}
	}
	require.Greater(t, len(held), 20, "24 instances are there")
}

// The store is restored from a copy that lists few of the instances. They are still
// there and have connections, so the others do not open their own.
func TestRestoredStoreDoesNotSpreadConnections(t *testing.T) {
	f := newFakeFleet(73, 144)
	all := f.instances
	holders := f.tables["i0"].Of(server("db")).Holders
	f.instances = all[:10]
	for range 7 {
		f.pass(3 * time.Second)
		require.Equal(t, holders, f.tables["i0"].Of(server("db")).Holders)
	}
	f.pass(3 * time.Second)
	require.True(t, f.tables["i0"].Of(server("db")).Direct, "they are gone")
}

// An instance more or less than there are connections does not change the way of
// all statements again and again.
func TestDirectConnectionsHaveHysteresis(t *testing.T) {
	f := newFakeFleet(73, 66)
	table := f.tables["i0"]
	require.True(t, table.Of(server("db")).Direct)
	for _, step := range []struct {
		instances int
		direct    bool
	}{{67, false}, {66, false}, {60, false}, {54, true}, {60, true}, {66, true}} {
		f.grow(step.instances)
		f.pass(time.Second)
		require.Equal(t, step.direct, table.Of(server("db")).Direct, "%d instances", step.instances)
	}
}

// Deployments with room for each instance are as before: no holders.
func TestSmallDeploymentsConnectDirectly(t *testing.T) {
	for accepted, count := range map[int]int{22: 4, 41: 24, 75: 26, 108: 79} {
		f := newFakeFleet(accepted, count)
		require.True(t, f.tables["i0"].Of(server("db")).Direct)
	}
}

// The connections of a workspace are at one holder, whichever instance asks.
func TestWorkspaceHasOneHolder(t *testing.T) {
	f := newFakeFleet(75, 26)
	f.workspaces = 74
	used := make(map[state.InstanceID]int)
	for n := range 74 {
		workspace := state.WorkspaceID(fmt.Sprint("w", n))
		placed := f.tables["i3"].Of(server("db"))
		require.True(t, placed.ByWorkspace)
		first := OrderFor("i3", workspace, "db", placed.Holders)[0]
		require.Equal(t, first, OrderFor("i9", workspace, "db", placed.Holders)[0])
		used[first.Name]++
	}
	require.Len(t, used, workspaceHolders)
}

// The number of holders grows with the demand at once and shrinks only when the
// demand is clearly lower.
func TestHoldersFollowTheDemand(t *testing.T) {
	f := newFakeFleet(73, 144)
	table := f.tables["i0"]
	for _, step := range []struct {
		demand  float64
		holders int
	}{{0, 4}, {30, 8}, {22, 8}, {30, 8}, {8, 4}, {1000, 16}} {
		f.demand = step.demand
		f.pass(recomputeInterval)
		require.Len(t, table.Of(server("db")).Holders, step.holders, "demand %v", step.demand)
	}
}
