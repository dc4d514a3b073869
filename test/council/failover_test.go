package council

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var fourInstances = []string{"a", "b", "c", "d"}

// The primary's machine stops responding. All instances detect it, and the replica
// that has received the most of the log is promoted. The gap is limited to the
// detection time plus the promotion's own time.
func TestUnresponsivePrimaryIsReplaced(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		for _, name := range fourInstances {
			require.True(tc.t, tc.instances[name].writable())
		}
		tc.group.Database(1).Crash(true)
		for _, name := range fourInstances {
			go tc.instances[name].writable()
		}
		gap := tc.eventually(4*time.Second, "a new primary", func() bool { return tc.instances["a"].writable() })
		require.NotEqual(tc.t, tc.group.Database(1).ID, tc.group.Leader().ID)
		tc.t.Logf("gap %s", gap)
		tc.requireValidPromotions()
	})
}

// A leaving primary is replaced in a planned change, without losing an
// acknowledged commit. Transactions in progress may end first.
func TestLeavingPrimaryHandsOverWithoutLoss(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		c := tc.instances["b"].open("cab")
		for range 20 {
			_, reply := c.write("k", "v")
			require.Equal(tc.t, state.CodeNone, reply.Code)
		}
		tc.retirePrimary()
		tc.eventually(4*time.Second, "the handover", func() bool {
			_, reply := c.write("k", "w")
			return reply.Code == state.CodeNone && tc.group.Leader() != tc.group.Database(1)
		})
		require.Empty(tc.t, tc.rolledBack())
		tc.requireValidPromotions()
	})
}

// losePrimaryWith stops an instance and the primary's machine at once, while clients
// write through the other instances.
func (tc *testCluster) losePrimaryWith(name string) {
	tc.newestRun(name).kill()
	tc.group.Database(1).Crash(true)
	for _, other := range without(fourInstances, []string{name}) {
		go tc.keepWriting(tc.ctx, other)
	}
}

// A primary and an instance are lost together. The instance can't acknowledge the
// change, so the change waits for the end of its lease and no longer.
func TestPrimaryLostTogetherWithAnInstance(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		tc.losePrimaryWith("d")
		gap := tc.eventually(10*time.Second, "a new primary", func() bool { return tc.instances["a"].writable() })
		tc.t.Logf("gap %s", gap)
		tc.requireValidPromotions()
	})
}

// The store is unavailable for long. Instances go on using a primary as long as
// half of them confirm to each other that they missed no change of primary.
func TestWritesGoOnWhileTheStoreIsAway(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.partition(between(fourInstances, []string{"store"}))
		for range 15 {
			time.Sleep(time.Second)
			for _, name := range fourInstances {
				require.True(tc.t, tc.instances[name].writable(), "%s after the store went away", name)
			}
		}
		tc.partition(nil)
		time.Sleep(3 * time.Second)
		require.True(tc.t, tc.instances["a"].writable())
	})
}

// One instance and the primary are partitioned from everything else. The instance
// must stop using the primary before the others' new primary takes effect.
func TestInstanceCutOffWithThePrimaryStopsInTime(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		isolated := []string{"d", string(tc.group.Database(1).ID)}
		rest := []string{"a", "b", "c", "store", string(tc.group.Database(2).ID), string(tc.group.Database(3).ID)}
		tc.partition(between(isolated, rest))
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			for {
				select {
				case <-stop:
					return
				default:
					tc.instances["d"].writable()
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
		tc.eventually(12*time.Second, "a new primary for the others", func() bool { return tc.instances["a"].writable() })
		time.Sleep(2 * time.Second)
		tc.requireNoSupersededCommit()
		tc.partition(nil)
		tc.eventually(8*time.Second, "the cut-off instance follows", func() bool { return tc.instances["d"].writable() })
		tc.requireValidPromotions()
	})
}

// The instances are split in two halves, with the primary on the side without the
// store. That side goes on, and the other side does not change the primary.
func TestEvenSplitChangesNoPrimary(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		left := []string{"a", "b", string(tc.group.Database(1).ID)}
		right := []string{"c", "d", "store", string(tc.group.Database(2).ID), string(tc.group.Database(3).ID)}
		tc.partition(between(left, right))
		for range 7 {
			time.Sleep(time.Second)
			require.True(tc.t, tc.instances["a"].writable())
			tc.instances["c"].writable()
		}
		tc.partition(nil)
		tc.eventually(3*time.Second, "the other side is served again", func() bool { return tc.instances["c"].writable() })
		require.Equal(tc.t, tc.group.Database(1).ID, tc.group.Leader().ID)
	})
}

// One of four instances can't reach the primary. The others go on using it, and
// the primary is not changed.
func TestFewThatCannotReachThePrimaryDoNotChangeIt(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.partition(between([]string{"d"}, []string{string(tc.group.Database(1).ID)}))
		for range 6 {
			time.Sleep(time.Second)
			tc.instances["d"].writable()
			require.True(tc.t, tc.instances["a"].writable())
		}
		require.Equal(tc.t, tc.group.Database(1).ID, tc.group.Leader().ID)
	})
}

// A database runs a read, but its reply is lost. The read is retried and succeeds
// within the statement's timeout.
func TestReadWhoseAnswerIsLostIsTriedAgain(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		for _, name := range []string{"desk", "cab"} {
			c := tc.instances["a"].open(name)
			_, reply := c.read("k")
			require.Equal(tc.t, state.CodeNone, reply.Code)
			for n := 1; n <= 3; n++ {
				tc.group.Database(n).DropReplies(1)
			}
			// The first reply is lost, whichever database the read goes to first.
			time.AfterFunc(100*time.Millisecond, tc.heal)
			started := time.Now()
			_, reply = c.read("k")
			require.Equal(tc.t, state.CodeNone, reply.Code, name)
			require.Less(tc.t, time.Since(started), 800*time.Millisecond)
			tc.heal()
		}
	})
}

// The promoter is killed in the middle of a change. Another instance takes over
// with a higher fencing token and finishes the change.
func TestPromoterKilledInTheMiddle(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		tc.retirePrimary()
		tc.eventually(3*time.Second, "the change is announced", func() bool {
			groups, _ := tc.instances["b"].leadership.Snapshot()
			return groups[0].Changing
		})
		promoter := tc.promoter()
		tc.instances[promoter].kill()
		others := slices.DeleteFunc(slices.Clone(fourInstances), func(name string) bool { return name == promoter })
		tc.eventually(20*time.Second, "another finishes the change", func() bool { return tc.instances[others[0]].writable() })
		tc.requireValidPromotions()
	})
}

// During a change, the responses to some writes to the store are lost, or the
// writes take effect seconds later. The announcement may be among them.
func TestStoreLosesAnswersDuringAChange(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"lost": standin.FaultResponseLost, "late": standin.FaultDelayed} {
		t.Run(name, func(t *testing.T) {
			run(t, fourInstances, func(tc *testCluster) {
				calls := 0
				tc.store.SetFaults(func(_, call string) standin.Fault {
					if calls++; call == "transact" && calls%3 == 0 {
						return fault
					}
					return standin.FaultNone
				})
				tc.retirePrimary()
				tc.eventually(25*time.Second, "the handover", func() bool {
					return tc.group.Leader() != tc.group.Database(1) && tc.instances["a"].writable()
				})
				tc.requireValidPromotions()
			})
		})
	}
}

// All instances are killed in the middle of a change and restarted. They finish
// the change.
func TestAllInstancesKilledInTheMiddleOfAChange(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.retirePrimary()
		tc.eventually(3*time.Second, "the change is announced", func() bool {
			groups, _ := tc.instances["b"].leadership.Snapshot()
			return groups[0].Changing
		})
		for _, name := range fourInstances {
			tc.instances[name].kill()
		}
		time.Sleep(time.Second)
		for _, name := range fourInstances {
			tc.start(name)
		}
		tc.eventually(20*time.Second, "the change is finished", func() bool { return tc.instances["c"].writable() })
		tc.requireValidPromotions()
	})
}

// A superseded primary that was not notified of its successor still reports that
// it is the primary when the next change looks for a candidate. It must not be
// taken for the result of an earlier attempt at that change. Found by
// TestRandomFaultsBreakNoPromise, seed 1085.
func TestSupersededPrimaryIsNotTakenForTheNewOne(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		first := string(tc.group.Database(1).ID)
		others := []string{"a", "b", "c", "d", "store", string(tc.group.Database(2).ID), string(tc.group.Database(3).ID)}
		tc.partition(between([]string{first}, others))
		tc.eventually(4*time.Second, "a second primary", func() bool { return tc.instances["a"].writable() })
		second := tc.group.Leader()
		tc.partition(between([]string{first}, []string{string(tc.group.Database(2).ID), string(tc.group.Database(3).ID)}))
		time.Sleep(3 * time.Second)
		second.Leave()
		tc.eventually(6*time.Second, "a third primary", func() bool {
			return tc.group.Leader() != second && tc.instances["a"].writable()
		})
		require.NotEqual(tc.t, first, string(tc.group.Leader().ID))
		tc.requireValidPromotions()
	})
}

// After a change, only the superseded primary can be reached. Its log lacks the
// whole term of its successor, so the change waits for the other databases.
func TestLogThatLacksAWholeTermIsNotPromoted(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		first := tc.group.Database(1)
		first.Crash(true)
		tc.eventually(4*time.Second, "a second primary", func() bool { return tc.instances["a"].writable() })
		second := tc.group.Leader()
		for range 10 {
			require.True(tc.t, tc.instances["b"].writable())
		}
		first.RestartDetached()
		for n := 2; n <= 3; n++ {
			tc.group.Database(n).Crash(true)
		}
		for range 7 {
			time.Sleep(time.Second)
			tc.instances["a"].writable()
		}
		require.Equal(tc.t, second.ID, tc.group.Leader().ID)
		for n := 2; n <= 3; n++ {
			tc.group.Database(n).Restart()
		}
		tc.eventually(15*time.Second, "a primary with that term", func() bool { return tc.instances["a"].writable() })
		require.NotEqual(tc.t, first.ID, tc.group.Leader().ID)
		tc.requireValidPromotions()
	})
}

// A primary and an instance are lost together soon after the instances started.
func TestPrimaryLostTogetherWithAnInstanceSoonAfterTheStart(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(12 * time.Second)
		tc.instances["d"].kill()
		tc.group.Database(1).Crash(true)
		tc.eventually(10*time.Second, "a new primary", func() bool { return tc.instances["a"].writable() })
		tc.requireValidPromotions()
	})
}

// Instances start while the store loses responses to writes. A lost response to
// the first renewal must not keep clients waiting for long.
func TestStartWhileTheStoreLosesAnswers(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		for _, name := range fourInstances {
			tc.instances[name].kill()
		}
		transactions := make(map[string]int)
		tc.store.SetFaults(func(caller, call string) standin.Fault {
			if call != "transact" {
				return standin.FaultNone
			}
			if transactions[caller]++; transactions[caller]%2 == 1 {
				return standin.FaultResponseLost
			}
			return standin.FaultNone
		})
		for _, name := range fourInstances {
			tc.start(name)
		}
		tc.eventually(time.Second, "the first write", func() bool { return tc.instances["a"].writable() })
	})
}

// The responses to an instance's watches are lost for a while, and those
// connections stay dead. The instance's renewals detect the new configuration long
// before the watch would time out.
func TestConfigurationArrivesThoughTheWatchIsDead(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.store.SetFaults(func(caller, call string) standin.Fault {
			if caller == "a" && call == "watch" {
				return standin.FaultRequestLost
			}
			return standin.FaultNone
		})
		tc.instances["a"].configuration.Refresh()
		time.Sleep(10 * time.Millisecond)
		tc.store.SetFaults(nil)
		tc.configure(2, "desk", "portal", "cab", "late")
		gap := tc.eventually(3*time.Second, "the configuration at the instance whose watch is dead", func() bool {
			return tc.instances["a"].directory.Routes().Version == 2
		})
		tc.t.Logf("gap %s", gap)
	})
}

// An instance can't reach any database for some seconds. After that it uses the
// replicas again for reads, although nothing else sent them statements meanwhile.
func TestReplicasAreUsedAgainAfterAPartition(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		replicas := []string{string(tc.group.Database(2).ID), string(tc.group.Database(3).ID)}
		ctx, stop := context.WithCancel(tc.ctx)
		defer stop()
		go tc.keepWriting(ctx, "b")
		c := tc.instances["a"].open("portal")
		defer c.session.Close()
		tc.partition(between([]string{"a"}, append(replicas, string(tc.group.Database(1).ID))))
		for range 30 {
			_, _ = c.read("k")
			time.Sleep(100 * time.Millisecond)
		}
		tc.partition(nil)
		time.Sleep(2 * time.Second)
		tc.partition(between([]string{"a"}, []string{string(tc.group.Database(1).ID)}))
		time.Sleep(2 * maxStaleness)
		_, reply := c.read("k")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
	})
}

// Half of the instances can't reach the primary, which is too few to replace it.
// They use it through tunnels over the other instances.
func TestPrimaryIsUsedThroughAnotherInstance(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		first := string(tc.group.Database(1).ID)
		tc.partition(between([]string{"a", "b"}, []string{first}))
		for _, name := range []string{"a", "b"} {
			gap := tc.eventually(3*time.Second, "a tunnel around the partition", tc.instances[name].writable)
			tc.t.Logf("gap at %s: %s", name, gap)
		}
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			for _, name := range fourInstances {
				require.True(tc.t, tc.instances[name].writable(), name)
			}
		}
		require.Equal(tc.t, first, string(tc.group.Leader().ID))
	})
}

// Half of the instances can't reach the primary, and then its machine stops
// responding to all. No instance waits for a tunnel, and another database is
// promoted soon.
func TestUnresponsivePrimaryIsReplacedDuringAPartition(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.partition(between([]string{"a", "b"}, []string{string(tc.group.Database(1).ID)}))
		time.Sleep(3 * time.Second)
		tc.group.Database(1).Crash(true)
		for _, name := range fourInstances {
			go tc.keepWriting(tc.ctx, name)
		}
		tc.eventually(4*time.Second, "a new primary", tc.instances["a"].writable)
		tc.requireValidPromotions()
	})
}

// One instance can reach only the databases. It alone reports that it is isolated,
// until the partition ends.
func TestInstanceCutOffFromStoreAndOthersIsIsolated(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(5 * time.Second) // until all instances have discovered each other
		tc.partition(between([]string{"a"}, []string{"b", "c", "d", "store"}))
		tc.eventually(4*time.Second, "the isolation of the instance that is cut off", tc.instances["a"].leadership.Isolated)
		for _, name := range []string{"b", "c", "d"} {
			require.False(tc.t, tc.instances[name].leadership.Isolated(), name)
		}
		tc.partition(nil)
		tc.eventually(2*time.Second, "the end of the isolation", func() bool { return !tc.instances["a"].leadership.Isolated() })
	})
}

// No instance can reach the store, but they can reach each other. None reports that
// it is isolated, so none disconnects its clients.
func TestNobodyIsIsolatedWhileTheStoreIsAway(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.partition(between(fourInstances, []string{"store"}))
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, name := range fourInstances {
				require.False(tc.t, tc.instances[name].leadership.Isolated(), name)
			}
		}
	})
}

// All instances are restarted while the store responds to no reads. They serve soon
// after it does again, instead of waiting for their first reads to time out.
func TestStartWhileTheStoreIsSilent(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		for _, name := range fourInstances {
			tc.instances[name].kill()
		}
		silentUntil := time.Now().Add(700 * time.Millisecond)
		tc.store.SetFaults(func(_, call string) standin.Fault {
			if call == "list" && time.Now().Before(silentUntil) {
				return standin.FaultRequestLost
			}
			return standin.FaultNone
		})
		for _, name := range fourInstances {
			tc.start(name)
		}
		tc.eventually(1200*time.Millisecond, "the first write", tc.instances["a"].writable)
	})
}

// All instances are restarted while each call to the store takes seconds, as on a
// machine without free memory. They serve after the few calls that a start needs,
// and go on. The response to each one's first renewal is lost besides.
func TestStartWhileTheStoreIsSlow(t *testing.T) {
	for _, latency := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		run(t, fourInstances, func(tc *testCluster) {
			time.Sleep(5 * time.Second)
			for _, name := range fourInstances {
				tc.instances[name].kill()
			}
			tc.store.SetLatency(latency)
			transactions := make(map[string]int)
			tc.store.SetFaults(func(caller, call string) standin.Fault {
				if call == "transact" {
					transactions[caller]++
				}
				if call == "transact" && transactions[caller] == 1 {
					return standin.FaultResponseLost
				}
				return standin.FaultNone
			})
			for _, name := range fourInstances {
				tc.start(name)
			}
			const callsOfAStart = 4
			for _, name := range fourInstances {
				tc.eventually(callsOfAStart*latency, "the first write", tc.instances[name].writable)
			}
			time.Sleep(30 * time.Second)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				require.True(tc.t, tc.instances["a"].writable(), "a store with calls of %v", latency)
			}
		})
	}
}

// A primary and an instance are lost together. Once the others have acknowledged for as
// long as a confirmation is valid, the lost instance cannot be confirmed any more, so
// the change ends with its lease: 4 s and the margin for requests that were under way.
func TestChangeEndsWithTheLeaseOfALostInstance(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		tc.losePrimaryWith("d")
		lease := leadership.DefaultOptions().Lease
		tc.eventually(lease+800*time.Millisecond+groupOptions().PromotionDelay, "a new primary", tc.instances["a"].writable)
		tc.requireValidPromotions()
	})
}

// An instance starts and gets its lease before the databases are registered. Requests
// that wait for a primary go on as soon as they are.
func TestRequestsAtTheStartWaitNoLongerThanForRegistrations(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		tc.instances["a"].kill()
		rows := make(map[string][]byte)
		for n := 1; n <= tc.options.Databases; n++ {
			server := tc.group.Database(n).Server()
			value, err := json.Marshal(server)
			require.NoError(t, err)
			rows[string(server.ID)] = value
			tc.store.Delete(tableServers, string(server.ID))
		}
		tc.start("a")
		time.AfterFunc(200*time.Millisecond, func() {
			for id, value := range rows {
				tc.store.Put(tableServers, id, value)
			}
		})
		tc.eventually(300*time.Millisecond, "the first write", tc.instances["a"].writable)
	})
}
