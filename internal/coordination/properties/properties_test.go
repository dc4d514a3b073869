package properties

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("RAPID_SEED") == "" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	if os.Getenv("RAPID_CHECKS") == "" {
		_ = flag.Set("rapid.checks", "20")
	}
	goleak.VerifyTestMain(m)
}

const (
	instanceCount = 4
	clientCount   = 6
	// recoveryTimeout is the time after the end of the faults within which every
	// client must be served.
	recoveryTimeout = 15 * time.Second
)

// simulate runs the instances and clients while script injects faults. It then
// ends the faults and checks the recovery and the final state.
func simulate(t *testing.T, seed uint64, script func(tc *testCluster)) *testCluster {
	var tc *testCluster
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		tc = newTestCluster(ctx, seed)
		for index := range instanceCount {
			in := tc.startInstance(index, 1)
			tc.withLock(func() { tc.instances = append(tc.instances, in) })
		}
		time.Sleep(time.Second)
		clients := tc.startClients(seed)
		var workers sync.WaitGroup
		done := make(chan struct{})
		for _, c := range clients {
			workers.Go(func() { c.runWorkload(done) })
		}
		script(tc)
		tc.heal()
		tc.restartDead()
		close(done)
		healedAt := time.Now()
		workers.Wait()
		var recoveries sync.WaitGroup
		for _, c := range clients {
			recoveries.Go(func() { c.requireRecovery(healedAt.Add(recoveryTimeout)) })
		}
		recoveries.Wait()
		time.Sleep(2 * time.Second) // until the databases follow the last primary
		tc.checkFinal()
		for _, c := range clients {
			c.session.Close()
		}
		cancel()
		tc.running.Wait()
	})
	return tc
}

func (tc *testCluster) startClients(seed uint64) []*client {
	var clients []*client
	for number := range clientCount {
		c := &client{
			cluster: tc, name: "c" + strconv.Itoa(number), random: rand.New(rand.NewPCG(seed, uint64(number))),
			scope: state.ScopeConnection,
		}
		if number == 0 {
			c.scope = state.ScopePlan
		}
		c.reconnect(false)
		clients = append(clients, c)
	}
	return clients
}

func (tc *testCluster) restartDead() {
	for index := range instanceCount {
		tc.mu.Lock()
		old := tc.instances[index]
		dead := old.dead
		tc.mu.Unlock()
		if dead {
			in := tc.startInstance(index, old.self.Incarnation+1)
			tc.withLock(func() { tc.instances[index] = in })
		}
	}
}

// fault is one step of a schedule.
type fault struct {
	kind     string
	instance int
	database string
	other    string
	wait     time.Duration
}

var faultKinds = []string{
	"kill primary", "kill database", "restart databases", "freeze primary", "freeze database", "thaw",
	"kill instance", "restart instances", "pause instance", "cut instance from database", "cut databases",
	"cut instances", "isolate primary with instance", "isolate instance", "cut platform", "heal cuts",
	"lag", "lose answers", "disagree", "switchover",
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			instance: rapid.IntRange(0, instanceCount-1).Draw(t, "instance"),
			database: rapid.SampledFrom(databaseNames).Draw(t, "database"),
			other:    rapid.SampledFrom([]string{"a", "b", "c", "0", "1", "2", "3"}).Draw(t, "other"),
			wait:     time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * 100 * time.Millisecond,
		}
	}), 1, 7).Draw(t, "faults")
}

// partitionBoth blocks messages between two nodes in both directions.
func (tc *testCluster) partitionBoth(a, b string) {
	tc.partitioned[[2]string{a, b}] = true
	tc.partitioned[[2]string{b, a}] = true
}

func (tc *testCluster) allNodes() []string {
	return []string{"a", "b", "c", "0", "1", "2", "3", "platform"}
}

// isolate partitions the given nodes from all others.
func (tc *testCluster) isolate(nodes ...string) {
	inside := map[string]bool{}
	for _, node := range nodes {
		inside[node] = true
	}
	for _, node := range tc.allNodes() {
		for _, member := range nodes {
			if !inside[node] {
				tc.partitionBoth(node, member)
			}
		}
	}
}

// apply injects one fault.
func (tc *testCluster) apply(f fault) {
	name := strconv.Itoa(f.instance)
	switch f.kind {
	case "kill instance":
		if live := tc.liveInstances(); len(live) > 1 {
			live[f.instance%len(live)].kill()
		}
		return
	case "restart instances":
		tc.restartDead()
		return
	case "switchover":
		tc.switchover(f)
		return
	case "disagree":
		for _, in := range tc.liveInstances() {
			in.mu.Lock()
			in.ownerShift = (in.index*f.instance + int(f.wait/time.Millisecond)) % instanceCount
			in.mu.Unlock()
		}
		return
	}
	tc.withLock(func() { tc.applyLocked(f, name) })
}

func (tc *testCluster) applyLocked(f fault, name string) {
	switch f.kind {
	case "kill primary":
		tc.databases[tc.primaryName()].stop()
	case "kill database":
		tc.databases[f.database].stop()
	case "restart databases":
		for _, d := range tc.databases {
			d.down = false
		}
	case "freeze primary":
		tc.frozen[tc.primaryName()] = true
	case "freeze database":
		tc.frozen[f.database] = true
	case "thaw":
		clear(tc.frozen)
	case "pause instance":
		tc.frozen[name] = true
	case "cut instance from database":
		tc.partitioned[[2]string{name, f.database}] = true
	case "cut databases":
		tc.partitioned[[2]string{f.database, f.other}] = true
	case "cut instances":
		tc.partitioned[[2]string{name, f.other}] = true
	case "isolate primary with instance":
		tc.isolatePrimary(name)
	case "isolate instance":
		tc.isolate(name)
	case "cut platform":
		tc.isolate("platform")
	case "heal cuts":
		clear(tc.partitioned)
	case "lag":
		tc.databases[f.database].ticksPerBatch = 20 + int(f.wait/(10*time.Millisecond))
	case "lose answers":
		tc.loseOneIn = 30
	}
}

// isolatePrimary partitions the primary from all nodes except one instance, and
// that instance from the other databases. The instance still reaches its peers
// and the platform.
func (tc *testCluster) isolatePrimary(name string) {
	primary := tc.primaryName()
	for _, node := range tc.allNodes() {
		if node != name && node != primary {
			tc.partitionBoth(node, primary)
		}
	}
	for _, database := range databaseNames {
		if database != primary {
			tc.partitionBoth(name, database)
		}
	}
}

func (tc *testCluster) switchover(f fault) {
	live := tc.liveInstances()
	in := live[f.instance%len(live)]
	tc.running.Go(func() {
		watched, found := in.manager.Runner(groupID)
		if !found {
			return
		}
		ctx, cancel := context.WithTimeout(in.ctx, 5*time.Second)
		defer cancel()
		_, _ = watched.(*runner).failover.Switchover(ctx, state.DatabaseID(f.database))
	})
}

func TestGuaranteesHoldUnderFaults(t *testing.T) {
	var schedules, reads, boundedReads, writes, changes int
	failures := map[state.Reason]int{}
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64Range(0, 1<<20).Draw(rt, "seed")
		faults := drawFaults(rt)
		tc := simulate(t, seed, func(tc *testCluster) {
			time.Sleep(500 * time.Millisecond)
			for _, f := range faults {
				tc.apply(f)
				time.Sleep(f.wait)
			}
		})
		schedules++
		reads += tc.history.reads
		boundedReads += tc.history.boundedReads
		writes += len(tc.history.acks)
		changes += tc.primaryChanges
		for reason, count := range tc.history.failures {
			failures[reason] += count
		}
		if len(tc.history.violations) > 0 {
			rt.Fatalf("%v\n%s", fmt.Sprint(tc.history.violations), tc.describe())
		}
	})
	t.Logf("%d schedules, %d reads (%d with an age), %d writes, %d changes of primary, refused %v", schedules, reads, boundedReads, writes, changes, failures)
}

func TestAllRequestsSucceedWithoutFaults(t *testing.T) {
	tc := simulate(t, 1, func(*testCluster) { time.Sleep(5 * time.Second) })
	require.Empty(t, tc.history.violations)
	require.Empty(t, tc.history.failures)
	require.Greater(t, tc.history.reads, 100)
}

// An owner that is partitioned together with a superseded primary, and that
// other instances still reach, may reject reads but must not serve data from
// before the change of primary. The superseded primary's log contains more
// entries than its successor's, none of which were acknowledged.
func TestOwnerPartitionedWithSupersededPrimaryServesNoStaleReads(t *testing.T) {
	for index := range instanceCount {
		tc := simulate(t, uint64(index), func(tc *testCluster) {
			time.Sleep(500 * time.Millisecond)
			tc.withLock(func() {
				primary := tc.databases[tc.primaryName()]
				tc.isolatePrimary(strconv.Itoa(index))
				for value := range 2000 {
					primary.log = append(primary.log, entry{term: primary.term, values: []int{-value - 1}})
				}
			})
			time.Sleep(15 * time.Second)
			tc.withLock(func() { // leaves the superseded primary as the only replica
				for _, name := range databaseNames {
					if d := tc.databases[name]; d.role == state.RoleReplica {
						d.stop()
					}
				}
			})
			time.Sleep(5 * time.Second)
		})
		require.Empty(t, tc.history.violations, "instance %d", index)
		require.Positive(t, tc.primaryChanges)
	}
}

// While the primary and the platform are unreachable, a replica still serves
// reads with a maximum age for as long as the age of its data is proven, and
// reads of a session whose minimum position it covers. Other reads fail as not
// run, and no read returns wrong data.
func TestReplicasServeReadsWithoutPrimaryAndPlatform(t *testing.T) {
	var changes int
	tc := simulate(t, 1, func(tc *testCluster) {
		time.Sleep(time.Second)
		c := &client{cluster: tc, name: "reader", random: rand.New(rand.NewPCG(1, 1)), scope: state.ScopeConnection}
		c.reconnect(false)
		require.NoError(t, c.write(false))
		time.Sleep(time.Second)
		tc.withLock(func() {
			tc.isolate("a")
			tc.isolate("platform")
			tc.partitionBoth("b", "c")
			for _, name := range []string{"0", "1", "2", "3"} {
				tc.partitionBoth(name, "c")
			}
		})
		partitionedAt := time.Now()
		for time.Since(partitionedAt) < 30*time.Second {
			require.NoError(t, c.read(0), "the minimum position is covered")
			require.NoError(t, c.read(time.Minute), "the age is proven")
			newcomer := &client{cluster: tc, name: "newcomer", random: c.random, scope: state.ScopeConnection}
			newcomer.reconnect(false)
			start := time.Now()
			require.True(t, isNotRun(newcomer.read(0)), "no replica is known to have all acknowledged writes")
			require.LessOrEqual(t, time.Since(start), 2*time.Second)
			newcomer.session.Close()
			time.Sleep(time.Second)
		}
		c.session.Close()
		// The count is taken before the faults end, because an instance may then
		// complete a change of primary that was blocked until then.
		tc.withLock(func() { changes = tc.primaryChanges })
	})
	require.Empty(t, tc.history.violations)
	require.Zero(t, changes, "of primary while a majority is out of reach")
}

// An owner that is suspended between checking the age of the data and replying
// must not serve data older than the read accepts.
func TestPausedOwnerServesNoReadBeyondMaxAge(t *testing.T) {
	tc := simulate(t, 1, func(tc *testCluster) {
		for round := range 40 {
			name := strconv.Itoa(round % instanceCount)
			tc.withLock(func() {
				tc.partitioned[[2]string{"a", "b"}] = true
				tc.partitioned[[2]string{"a", "c"}] = round%2 == 0
				tc.frozen[name] = true
			})
			time.Sleep(1200 * time.Millisecond)
			tc.withLock(func() {
				clear(tc.frozen)
				clear(tc.partitioned)
			})
			time.Sleep(300 * time.Millisecond)
		}
	})
	require.Empty(t, tc.history.violations)
	require.Positive(t, tc.history.boundedReads)
}
