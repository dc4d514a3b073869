package council

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// failRowReads makes reads of the instances' rows by the named instances fail, while
// their writes and other reads succeed; without names none fails any more.
func (tc *testCluster) failRowReads(names ...string) {
	tc.store.SetListFaults(func(caller, table string) standin.Fault {
		if table == leadership.TableInstances && slices.Contains(names, caller) {
			return standin.FaultRefused
		}
		return standin.FaultNone
	})
}

// leave stops an instance gracefully: its row is removed.
func (i *instance) leave() {
	i.leadership.Leave(i.ctx)
	i.kill()
}

// isolateWithPrimary cuts instance d and the primary off from everything else.
func (tc *testCluster) isolateWithPrimary() {
	primary := tc.group.Leader()
	rest := append([]string{"store"}, without(tc.names(), []string{"d"})...)
	for n := 1; n <= tc.options.Databases; n++ {
		if database := tc.group.Database(n); database != primary {
			rest = append(rest, string(database.ID))
		}
	}
	tc.partition(between([]string{"d", string(primary.ID)}, rest))
}

// names returns the names of all instances that were started.
func (tc *testCluster) names() []string {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var names []string
	for name := range tc.instances {
		names = append(names, name)
	}
	return names
}

// Guards against a change decided on rows that were read before its announcement: an
// instance that started in between is missing in them and goes on at the old primary.
func TestChangeWaitsForAnInstanceThatStartedSinceTheRowsWereRead(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		others := []string{"a", "b", "c"}
		tc.newestRun("d").leave()
		time.Sleep(5 * time.Second)
		tc.failRowReads(others...)
		tc.start("d")
		tc.eventually(2*time.Second, "a write through d", tc.newestRun("d").writable)
		old := tc.group.Leader()
		tc.isolateWithPrimary()
		for _, name := range fourInstances {
			go tc.keepWriting(tc.ctx, name)
		}
		time.Sleep(3 * time.Second)
		tc.failRowReads()
		tc.eventually(12*time.Second, "a new primary", func() bool { return tc.newestRun("a").writable() })
		time.Sleep(2 * time.Second)
		require.NotEqual(tc.t, old, tc.group.Leader())
		tc.requireValidPromotions()
	})
}

// Guards against a lease that an instance confirms by rows which it has not read for long:
// half of the instances in them may be far less than half of all.
func TestOutdatedRowsConfirmNoLease(t *testing.T) {
	run(t, []string{"c", "d"}, func(tc *testCluster) {
		time.Sleep(10 * time.Second)
		tc.failRowReads("d")
		for _, name := range []string{"a", "b", "e"} {
			tc.start(name)
		}
		time.Sleep(30 * time.Second)
		old := tc.group.Leader()
		tc.isolateWithPrimary()
		for _, name := range tc.names() {
			go tc.keepWriting(tc.ctx, name)
		}
		tc.eventually(12*time.Second, "a new primary", func() bool { return tc.newestRun("a").writable() })
		time.Sleep(12 * time.Second)
		require.NotEqual(tc.t, old, tc.group.Leader())
		tc.requireValidPromotions()
	})
}

// Guards against a lease that is confirmed by an instance whose own has ended: no promoter
// counts that one among those which may still confirm, so it takes the rest for a minority.
func TestInstanceWithoutALeaseConfirmsNone(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		old := tc.group.Leader()
		primary := string(old.ID)
		lostFirst := between([]string{"c"}, []string{"store"})
		tc.partition(lostFirst)
		time.Sleep(15 * time.Second)
		near := []string{"c", "d", primary}
		far := []string{"a", "b", "store"}
		for n := 1; n <= tc.options.Databases; n++ {
			if database := tc.group.Database(n); database != old {
				far = append(far, string(database.ID))
			}
		}
		tc.partition(between(near, far))
		for _, name := range []string{"a", "b", "d"} {
			go tc.keepWriting(tc.ctx, name)
		}
		tc.eventually(30*time.Second, "a new primary", func() bool { return tc.newestRun("a").writable() })
		time.Sleep(15 * time.Second)
		require.NotEqual(tc.t, old, tc.group.Leader())
		tc.requireValidPromotions()
	})
}

// writeEarlierRow writes the row of a run of an instance as builds write it that remove
// their rows without a condition.
func (tc *testCluster) writeEarlierRow(name string) {
	value, err := msgpack.Marshal(map[string]any{"run": int64(1), "address": name, "dc": "dc", "lease": 4 * time.Second, "count": uint64(1)})
	require.NoError(tc.t, err)
	tc.store.Put(leadership.TableInstances, name, value)
}

// Guards against an instance that promoters don't know of after an upgrade: the removal of
// the row of its run before, of an earlier build, is carried out late and removes its own.
// The old primary can't be told of the change, and the instance's watches are silent.
func TestRowThatAnEarlierBuildRemovesLateIsWrittenAgainInTime(t *testing.T) {
	// The time from a renewal to the loss of the primary.
	for phase := range 5 {
		run(t, fourInstances, func(tc *testCluster) { tc.removeRowLateBesideAChange(time.Duration(phase) * 400 * time.Millisecond) })
	}
}

func (tc *testCluster) removeRowLateBesideAChange(after time.Duration) {
	time.Sleep(25 * time.Second)
	tc.newestRun("d").leave()
	tc.writeEarlierRow("d")
	time.Sleep(time.Second)
	tc.start("d")
	tc.eventually(2*time.Second, "a write through d", tc.newestRun("d").writable)
	old := tc.group.Leader()
	others := []string{"a", "b", "c"}
	for _, name := range fourInstances {
		go tc.keepWriting(tc.ctx, name)
	}
	tc.store.SetTableFaults(func(caller, call, table string) standin.Fault {
		if call == "transact" && table == leadership.TablePrimaries && caller != "d" {
			time.AfterFunc(0, func() { tc.store.Delete(leadership.TableInstances, "d") })
		}
		if strings.HasPrefix(call, "watch") && caller == "d" {
			return standin.FaultRequestLost
		}
		return standin.FaultNone
	})
	time.Sleep(after)
	tc.partition(between(append([]string{"d"}, string(old.ID)), append(others, tc.replicas()...)))
	tc.eventually(12*time.Second, "a new primary", func() bool { return tc.newestRun("a").writable() })
	time.Sleep(5 * time.Second)
	require.NotEqual(tc.t, old, tc.group.Leader())
	tc.requireValidPromotions()
}

// replicas returns the names of the databases but the leader.
func (tc *testCluster) replicas() []string {
	var names []string
	for n := 1; n <= tc.options.Databases; n++ {
		if database := tc.group.Database(n); database != tc.group.Leader() {
			names = append(names, string(database.ID))
		}
	}
	return names
}
