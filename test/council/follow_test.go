package council

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

const followed = "followed"

var errOutage = errors.New("the store is unavailable")

// testFollower is a follower that records its updates.
type testFollower struct {
	*rowstore.Follower
	store        *standin.Store
	availability *rowstore.Availability

	mu      sync.Mutex
	updates []rowstore.Update
	values  map[string]string
}

func follow(t *testing.T, body func(r *testFollower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := &testFollower{store: standin.NewStore(), availability: rowstore.NewAvailability(), values: make(map[string]string)}
		r.store.Put(followed, "a", []byte("1"))
		r.Follower = rowstore.NewFollower(rowstore.FollowerConfig{
			Store: r.store.Client("self"), Table: followed, Wait: rowstore.LongWait, WaitAfterOutage: rowstore.OutageWait, MinInterval: rowstore.BatchInterval,
			Availability: r.availability, Clock: virtualClock{time.Now()}, Log: zerolog.Nop(), Apply: r.apply,
		})
		go r.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "1", r.value("a"))
		body(r)
		cancel()
		time.Sleep(time.Minute)
	})
}

func (r *testFollower) apply(update rowstore.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updates = append(r.updates, update)
	for _, row := range update.Rows {
		r.values[row.Key] = string(row.Value)
	}
}

func (r *testFollower) value(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

// updateCount returns the number of updates so far.
func (r *testFollower) updateCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.updates)
}

func (r *testFollower) lastUpdate() rowstore.Update {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.updates[len(r.updates)-1]
}

// hangWatches makes the current watch and all later ones hang.
func (r *testFollower) hangWatches() {
	r.store.SetFaults(func(_, call string) standin.Fault {
		if call == "watch" {
			return standin.FaultRequestLost
		}
		return standin.FaultNone
	})
	r.Refresh()
	time.Sleep(time.Millisecond)
}

// The response to a watch is lost, and its connection delivers nothing more. A
// refresh replaces the watch.
func TestRefreshReplacesADeadWatch(t *testing.T) {
	follow(t, func(r *testFollower) {
		r.hangWatches()
		r.store.Put(followed, "a", []byte("2"))
		r.store.SetFaults(nil)
		time.Sleep(5 * time.Second)
		require.Equal(t, "1", r.value("a"), "the dead watch answers nothing")
		r.Refresh()
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, "2", r.value("a"))
	})
}

// The store does not respond for a while, and connections from before the outage
// stay dead after it. The follower replaces its watch once the store responds.
func TestStoreRecoveryReplacesADeadWatch(t *testing.T) {
	follow(t, func(r *testFollower) {
		r.hangWatches()
		r.availability.Record(errOutage)
		r.store.Put(followed, "a", []byte("2"))
		time.Sleep(3 * time.Second)
		r.store.SetFaults(nil)
		r.availability.Record(nil)
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, "2", r.value("a"))
	})
}

// Rows expire during an outage of the store, and a watch from before the outage
// reports it afterwards. The update is marked, as the rows may return.
func TestRowsThatVanishInAnOutageAreMarked(t *testing.T) {
	follow(t, func(r *testFollower) {
		r.availability.Record(errOutage)
		r.store.Delete(followed, "a")
		time.Sleep(50 * time.Millisecond)
		require.True(t, r.lastUpdate().AfterOutage)
		r.availability.Record(nil)
		time.Sleep(500 * time.Millisecond)
		before := r.updateCount()
		time.Sleep(4 * time.Second)
		require.GreaterOrEqual(t, r.updateCount()-before, 3, "answers come often while rows may return")
		time.Sleep(time.Minute)
		require.False(t, r.lastUpdate().AfterOutage)
	})
}

// The store discards its history while a watch waits for the next change. The
// follower lists the table again and continues to watch.
func TestLostHistoryIsListedAnew(t *testing.T) {
	follow(t, func(r *testFollower) {
		r.store.Put(followed, "b", []byte("1"))
		r.store.ForgetHistory()
		r.Refresh()
		time.Sleep(time.Second)
		require.Equal(t, "1", r.value("b"))
		r.store.Put(followed, "b", []byte("2"))
		time.Sleep(50 * time.Millisecond)
		require.Equal(t, "2", r.value("b"))
		require.False(t, r.lastUpdate().Complete, "the watch went on after the list")
	})
}

// During a long outage of the store, one regular caller detects its return. The
// followers add only few calls of their own.
func TestFollowersCallSeldomWhileTheStoreIsAway(t *testing.T) {
	follow(t, func(r *testFollower) {
		var mu sync.Mutex
		calls := 0
		r.store.SetFaults(func(_, _ string) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			calls++
			return standin.FaultRefused
		})
		r.availability.Record(errOutage)
		r.Refresh()
		time.Sleep(10 * time.Second)
		mu.Lock()
		require.LessOrEqual(t, calls, 12)
		mu.Unlock()
	})
}

// Many databases start one after the other. The first registration arrives at
// once, and the others in a few batches.
func TestChangesInQuickSuccessionAreBatched(t *testing.T) {
	follow(t, func(r *testFollower) {
		time.Sleep(time.Second)
		before := r.updateCount()
		r.store.Put(followed, "b0", []byte("1"))
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, "1", r.value("b0"))
		for n := range 50 {
			r.store.Put(followed, "b"+strconv.Itoa(n), []byte("2"))
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(rowstore.BatchInterval)
		require.Equal(t, "2", r.value("b49"))
		require.LessOrEqual(t, r.updateCount()-before, 7)
	})
}

// A new configuration takes longer to arrive than the time between two renewals.
// If each renewal asked the store whether the configuration has changed, each
// refusal would hold the configuration again and saturate the link further, until
// leases end.
func TestLargeConfigurationIsTransferredOnce(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		tc.store.SetTransferTime(tableRoutes, 1500*time.Millisecond)
		for version := uint64(2); version < 6; version++ {
			tc.configure(version, "desk", "portal", "cab")
			time.Sleep(4300 * time.Millisecond)
			for _, name := range fourInstances {
				require.EqualValues(tc.t, version, tc.instances[name].directory.Routes().Version, name)
				require.True(tc.t, tc.instances[name].writable(), name)
			}
		}
		for name, transfers := range tc.store.Transfers() {
			require.LessOrEqual(tc.t, transfers, 4+1, "transfers of 4 configurations to %s", name)
		}
	})
}

// While a new configuration arrives, it uses up the link, so that renewals fail. The
// first one that succeeds must not end the transfer as one of before an outage.
func TestTransferOfAConfigurationOutlastsFailedRenewals(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		tc.store.SetTransferTime(tableRoutes, 1800*time.Millisecond)
		tc.configure(2, "desk", "portal", "cab")
		until := time.Now().Add(1200 * time.Millisecond)
		tc.store.SetFaults(func(_, call string) standin.Fault {
			if call == "transact" && time.Now().Before(until) {
				return standin.FaultRefused
			}
			return standin.FaultNone
		})
		time.Sleep(2500 * time.Millisecond)
		for _, name := range fourInstances {
			require.EqualValues(tc.t, 2, tc.instances[name].directory.Routes().Version, name)
		}
	})
}
