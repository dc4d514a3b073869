package council

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

const fleetSize = 80

// fleet returns the names of n instances in six data centres.
func fleet(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("e%03d-%c", i, 'a'+i%6)
	}
	return names
}

// fleetOptions describes databases whose connections are scarce for a fleet and
// take long to open.
func fleetOptions() standin.Options {
	options := groupOptions()
	options.MaxConnections, options.ConnectTime = 108, 12*time.Millisecond
	return options
}

func runFleet(t *testing.T, size int, body func(tc *testCluster)) {
	t.Helper()
	runWith(t, fleetOptions(), fleet(size), testLog, body)
}

// loadDuring returns the load on the group's first database during an interval.
func (tc *testCluster) loadDuring(interval time.Duration) standin.Load {
	before := tc.group.Database(1).Load()
	time.Sleep(interval)
	after := tc.group.Database(1).Load()
	return standin.Load{
		Opened: after.Opened - before.Opened, Rejected: after.Rejected - before.Rejected,
		StatusQueries: after.StatusQueries - before.StatusQueries, Refused: after.Refused - before.Refused,
	}
}

// sent returns the number of messages sent between instances by topic.
func (tc *testCluster) sent() map[string]int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return maps.Clone(tc.datagrams)
}

func (tc *testCluster) requireNoChange() {
	require.Equal(tc.t, tc.group.Database(1), tc.group.Leader())
	for _, i := range tc.instances {
		groups, _ := i.leadership.Snapshot()
		require.Zero(tc.t, groups[0].Epoch, "a change of primary was announced")
	}
}

// Many instances start at once before databases that take long to open a
// connection. If each of them probed the idle primary, the probes would fill its
// queue, and the primary would be replaced for not responding to them.
func TestProbesOfManyInstancesDoNotOverloadAnIdlePrimary(t *testing.T) {
	runFleet(t, fleetSize, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		load := tc.loadDuring(10 * time.Second)
		require.Zero(tc.t, load.Refused)
		require.Zero(tc.t, tc.group.Database(1).Load().Rejected)
		require.Less(tc.t, load.StatusQueries, 20*10, "status queries in ten seconds")
		require.Less(tc.t, load.Opened, 10, "connections opened for them")
		tc.requireNoChange()
	})
}

// What instances at rest ask of the databases and send to each other must not
// grow with their number.
func TestLoadAtRestDoesNotGrowWithTheInstances(t *testing.T) {
	perSize := func(size int) (load standin.Load, sent map[string]int) {
		runFleet(t, size, func(tc *testCluster) {
			time.Sleep(5 * time.Second)
			before := tc.sent()
			load = tc.loadDuring(10 * time.Second)
			sent = tc.sent()
			for topic := range sent {
				sent[topic] -= before[topic]
			}
		})
		return load, sent
	}
	small, smallSent := perSize(20)
	large, largeSent := perSize(fleetSize)
	require.LessOrEqual(t, large.StatusQueries, small.StatusQueries*11/10)
	require.Zero(t, largeSent["confirmations"], "leases lapse or primaries are suspected at rest")
	require.LessOrEqual(t, largeSent["positions"], smallSent["positions"]*11/10)
}

// The primary's machine stops responding while many instances use it. It is
// replaced as quickly as with few instances, and once.
func TestUnresponsivePrimaryOfManyInstancesIsReplacedOnce(t *testing.T) {
	runFleet(t, fleetSize, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		for _, name := range fleet(fleetSize) {
			go tc.keepWriting(tc.ctx, name)
		}
		time.Sleep(2 * time.Second)
		tc.group.Database(1).Crash(true)
		tc.eventually(4*time.Second, "a new primary", tc.instances[fleet(1)[0]].writable)
		time.Sleep(5 * time.Second)
		groups, _ := tc.instances[fleet(1)[0]].leadership.Snapshot()
		require.EqualValues(tc.t, 1, groups[0].Epoch)
		tc.requireValidPromotions()
	})
}

// The links of all instances are saturated for a while, as when all read a large
// configuration at once: no database responds to any of them. No other database
// would respond either, so no primary is changed.
func TestSilenceOfAllDatabasesChangesNoPrimary(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		var databases []string
		for n := 1; n <= 3; n++ {
			databases = append(databases, string(tc.group.Database(n).ID))
		}
		for _, name := range fourInstances {
			go tc.keepWriting(tc.ctx, name)
		}
		tc.partition(between(fourInstances, databases))
		time.Sleep(3 * time.Second)
		tc.partition(nil)
		tc.eventually(2*time.Second, "writes", tc.instances["a"].writable)
		tc.requireNoChange()
	})
}

// The primary is overloaded and refuses status queries: it runs, so it is not
// replaced.
func TestPrimaryThatRefusesStatusQueriesIsNotReplaced(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(2 * time.Second)
		tc.group.Database(1).RefuseNext(200)
		time.Sleep(10 * time.Second)
		tc.requireNoChange()
	})
}

// Each of many instances reads too seldom to know a position that is fresh enough.
// One of its neighbours knows one, so replicas serve most reads and the primary is
// left to the writes.
func TestReadsOfManyInstancesAreServedByReplicas(t *testing.T) {
	runFleet(t, 48, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		since := time.Now()
		for _, name := range fleet(48) {
			go tc.keepReading(name, 1300*time.Millisecond)
		}
		time.Sleep(20 * time.Second)
		byPrimary := len(readsAt(tc.group, tc.group.Database(1), since))
		byReplicas := len(readsAt(tc.group, tc.group.Database(2), since)) + len(readsAt(tc.group, tc.group.Database(3), since))
		require.Less(tc.t, byPrimary, byReplicas/4, "reads at the primary, of %d", byPrimary+byReplicas)
	})
}

// keepReading reads from a bounded route through an instance until the cluster
// stops.
func (tc *testCluster) keepReading(name string, interval time.Duration) {
	c := tc.instances[name].open("portal")
	defer c.session.Close()
	for tc.ctx.Err() == nil {
		_, _ = c.read("k")
		time.Sleep(interval)
	}
}

// A group's watchers are spread over the data centres, also when one of these has
// few instances, and a watcher is replaced when it is gone.
func TestWatcherThatIsGoneIsReplaced(t *testing.T) {
	runFleet(t, 24, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		before := tc.watchers()
		require.GreaterOrEqual(tc.t, len(before), 9)
		tc.instances[before[0]].kill()
		time.Sleep(30 * time.Second)
		after := tc.watchers()
		require.Len(tc.t, after, len(before))
		require.NotContains(tc.t, after, before[0])
	})
}

// watchers returns the running instances that probe the idle primary.
func (tc *testCluster) watchers() []string {
	var names []string
	for _, name := range fleet(24) {
		i := tc.instances[name]
		if i.ctx.Err() == nil && i.leadership.Watches("g") {
			names = append(names, name)
		}
	}
	return names
}

// Replicas serve the reads of a group and nobody writes, so the watchers' probes are
// the only observations of its primary. They must be frequent enough for the route
// with the tightest staleness bound.
func TestProbesKeepUpWithTheTightestStalenessBound(t *testing.T) {
	runFleet(t, 12, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		clock := virtualClock{tc.started}
		known := make(map[string]int)
		const samples = 200
		for range samples {
			time.Sleep(37 * time.Millisecond)
			for _, name := range fleet(12) {
				if _, ok := tc.instances[name].positions.MinPosition("g", clock.Now().Add(50*time.Millisecond-maxStaleness)); ok {
					known[name]++
				}
			}
		}
		for _, name := range fleet(12) {
			if tc.instances[name].leadership.Watches("g") {
				require.Equal(tc.t, samples, known[name], "%s knows a position that is fresh enough", name)
			}
		}
	})
}
