package council

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
)

// callsAtRest returns the calls to the store a second and instance, by kind and table.
func callsAtRest(t *testing.T, size int) (rates map[string]float64, total float64) {
	const interval = 48 * time.Second
	rates = make(map[string]float64)
	runFleet(t, size, func(tc *testCluster) {
		time.Sleep(30 * time.Second)
		before := tc.store.Calls()
		time.Sleep(interval)
		for kind, calls := range tc.store.Calls() {
			rates[kind] = float64(calls-before[kind]) / interval.Seconds() / float64(size)
			total += rates[kind]
		}
	})
	return rates, total
}

// Each call to the store has a price. What an instance at rest calls must not grow with
// the number of instances, and above FullRateMembers it falls.
func TestCallsToTheStoreAtRest(t *testing.T) {
	previous := 1.0 // the first deployments' own: a renewal each two seconds, the rest half of all
	for _, size := range []int{4, 24, 79, 144} {
		rates, total := callsAtRest(t, size)
		t.Logf("%d instances: %.3f calls a second and instance: %v", size, total, rates)
		require.LessOrEqual(t, total, previous+0.005, "calls a second and instance at %d instances", size)
		previous = total
		if size > 12 {
			const dataCentres = 6
			require.LessOrEqual(t, rates["watch servers"]*float64(size), 1.1*dataCentres/rowstore.SharedWait.Seconds(),
				"one instance of each data centre watches the registrations")
		}
	}
}

// Many instances start at the same time. The store commits one transaction after
// another, so that if all went on to renew together, a renewal or the operators' write
// would wait for all others, and renewals would time out.
func TestRenewalsOfInstancesThatStartedTogetherAreSpread(t *testing.T) {
	const size = 144
	runFleet(t, size, func(tc *testCluster) {
		time.Sleep(10 * time.Second)
		tc.store.SetCommitTime(4 * time.Millisecond)
		time.Sleep(20 * time.Second)
		require.Less(tc.t, tc.store.LongestWait(), 100*time.Millisecond, "a fifth of what a renewal waits for its response")
	})
}
