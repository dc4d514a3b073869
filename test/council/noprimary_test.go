package council

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The primary of a group whose primary was never changed is lost together with all
// instances. After their restart no row and no registration says who led, and the group
// must get a primary all the same.
func TestPrimaryLostWithAllInstancesBeforeAnyChange(t *testing.T) {
	for name, down := range map[string]time.Duration{
		"all instances restart": 1600 * time.Millisecond, "the registration has expired": 2 * registrationExpiry,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, fourInstances, func(tc *testCluster) {
				time.Sleep(25 * time.Second)
				require.True(tc.t, tc.instances["a"].writable())
				tc.group.Database(1).Crash(true)
				time.Sleep(300 * time.Millisecond)
				tc.restartAll(down)
				tc.eventually(12*time.Second, "a primary", func() bool { return tc.newestRun("a").writable() })
				require.Empty(tc.t, tc.rolledBack())
				tc.requireValidPromotions()
			})
		})
	}
}

// restartAll kills all instances and starts them again after a time.
func (tc *testCluster) restartAll(down time.Duration) {
	for _, name := range fourInstances {
		tc.newestRun(name).kill()
	}
	time.Sleep(down)
	for _, name := range fourInstances {
		tc.start(name)
	}
}

// Databases start one after the other, the primary last. None of those that are there
// may be promoted in its place.
func TestPrimaryThatRegistersLastIsNotReplaced(t *testing.T) {
	first := string(groupOptions().Group) + "-1"
	runPrepared(t, groupOptions(), fourInstances, testLog, func(tc *testCluster) {
		tc.partition(between([]string{first}, []string{"store"}))
	}, func(tc *testCluster) {
		time.Sleep(1500 * time.Millisecond)
		require.Len(tc.t, tc.instances["a"].directory.Servers("g"), 2)
		tc.partition(nil)
		tc.eventually(3*time.Second, "writes", func() bool { return tc.instances["a"].writable() })
		time.Sleep(10 * time.Second)
		tc.requireNoChange()
	})
}

// The only primary of a group steps down although no change was announced, and
// registers as replica. For the platform it is still the primary: its promotion is
// accepted and changes nothing, so that another one must be tried.
func TestPrimaryThatStepsDownBeforeAnyChangeIsReplaced(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		tc.instances["a"].stepDown(tc.group.Leader())
		tc.eventually(12*time.Second, "a primary", func() bool { return tc.instances["b"].writable() })
		tc.requireValidPromotions()
	})
}
