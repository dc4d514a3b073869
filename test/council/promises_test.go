package council

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// An instance is partitioned from the store and from the other instances together
// with the primary, in the middle of a transaction. Once its lease has ended, the
// others promote another database, so the transaction must not go on.
func TestTransactionEndsWithTheLease(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second) // until all count as established
		first := string(tc.group.Database(1).ID)
		c := tc.instances["a"].open("desk")
		defer c.session.Close()
		_, _ = c.do(state.StatementBegin, "BEGIN")
		_, reply := c.write("k", "v")
		require.Equal(tc.t, state.CodeNone, reply.Code)
		rest := []string{"b", "c", "d", "store", string(tc.group.Database(2).ID), string(tc.group.Database(3).ID)}
		tc.partition(between([]string{"a", first}, rest))
		for range 24 {
			time.Sleep(500 * time.Millisecond)
			_, _ = c.read("k")
		}
		require.NotEqual(tc.t, first, string(tc.group.Leader().ID), "the others have promoted another database")
		_, reply = c.do(state.StatementCommit, "COMMIT")
		require.NotEqual(tc.t, state.CodeNone, reply.Code)
		tc.requireNoSupersededCommit()
	})
}

// The primary's answer to one instance is in transit while the primary
// acknowledges a commit to another. The answer's position does not cover that
// commit, so it proves freshness only up to the time of the question.
func TestPositionIsCountedFromTheTimeOfTheQuestion(t *testing.T) {
	run(t, nil, func(tc *testCluster) {
		tc.delays = map[string]time.Duration{"far": 60 * time.Millisecond}
		tc.start("far")
		tc.start("close")
		time.Sleep(3 * time.Second)
		closer, far := tc.instances["close"].open("desk"), tc.instances["far"].open("desk")
		defer closer.session.Close()
		defer far.session.Close()
		_, reply := closer.write("k", "old")
		require.Equal(tc.t, state.CodeNone, reply.Code)
		portal := tc.instances["far"].open("portal")
		defer portal.session.Close()
		_, _ = far.read("k") // opens the connection
		time.Sleep(time.Second)
		for n := 1; n <= 3; n++ {
			tc.group.Database(n).SetApplyDelay(10 * time.Second)
		}
		asked := time.Now()
		go func() {
			time.Sleep(62 * time.Millisecond)
			_, _ = closer.write("k", "new")
		}()
		_, reply = far.read("k")
		require.Equal(tc.t, "old", reply.Rows[0])
		time.Sleep(time.Until(asked.Add(1040 * time.Millisecond)))
		tc.loadPrimary("far", 100*time.Millisecond)
		time.Sleep(time.Until(asked.Add(1073 * time.Millisecond)))
		id, reply := portal.read("k")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
		require.Equal(tc.t, "new", reply.Rows[0], "read %s lacks a commit older than the staleness bound", id)
	})
}

// loadPrimary starts to read from the primary in several sessions of an instance
// for a while, so that its other reads prefer replicas.
func (tc *testCluster) loadPrimary(name string, duration time.Duration) {
	until := time.Now().Add(duration)
	for range 6 {
		go func() {
			c := tc.instances[name].open("desk")
			defer c.session.Close()
			for time.Now().Before(until) {
				_, _ = c.read("other")
			}
		}()
	}
}

// A replica is leaving. It serves no reads once the instances know.
func TestLeavingReplicaServesNoReads(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		leaving := tc.group.Database(2)
		leaving.Leave()
		time.Sleep(2 * time.Second)
		known := time.Now()
		c := tc.instances["a"].open("portal")
		defer c.session.Close()
		for range 60 {
			_, reply := c.read("k")
			require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
			time.Sleep(20 * time.Millisecond)
		}
		require.Empty(tc.t, readsAt(tc.group, leaving, known))
		require.NotEmpty(tc.t, readsAt(tc.group, tc.group.Database(3), known), "the other replica serves them")
	})
}

// readsAt returns the reads that a database ran after a point in time.
func readsAt(group *standin.Group, database *standin.Database, after time.Time) (found []standin.Read) {
	for _, read := range group.Reads() {
		if read.Database == database.ID && read.At.After(after) {
			found = append(found, read)
		}
	}
	return found
}

// The primary is leaving, and no replica can take over. It is used for a few
// seconds while a change could still come, and then no longer, because it may stop
// at any moment.
func TestPrimaryThatIsLeavingForLongIsNotUsed(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.group.Database(2).Crash(true)
		tc.group.Database(3).Crash(true)
		time.Sleep(2 * registrationExpiry)
		tc.group.Database(1).Leave()
		time.Sleep(7 * time.Second)
		before := len(tc.group.Commits())
		for _, name := range fourInstances {
			require.False(tc.t, tc.instances[name].writable(), name)
		}
		require.Len(tc.t, tc.group.Commits(), before)
	})
}
