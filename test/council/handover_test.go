package council

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// An instance loses its lease in the middle of a transaction, and the primary is
// changed before it gets another lease. It alone still reaches the old primary, which
// does not know that it was replaced.
func TestTransactionOfAnInstanceThatMissedAChangeEnds(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(10 * time.Second)
		old := string(tc.group.Database(1).ID)
		others := []string{"b", "c", "d", "store", string(tc.group.Database(2).ID), string(tc.group.Database(3).ID)}
		c := tc.instances["a"].open("desk")
		_, reply := c.do(state.StatementBegin, "BEGIN")
		require.Equal(t, state.CodeNone, reply.Code)
		_, reply = c.write("k", "x")
		require.Equal(t, state.CodeNone, reply.Code)

		tc.partition(between([]string{"a", old}, others))
		tc.eventually(15*time.Second, "a new primary", tc.instances["b"].writable)
		tc.partition(between([]string{old}, others))
		tc.eventually(5*time.Second, "a lease", func() bool {
			_, left := tc.instances["a"].leadership.Snapshot()
			return left > 0
		})
		_, reply = c.do(state.StatementCommit, "COMMIT")
		require.NotEqual(t, state.CodeNone, reply.Code, "the old primary acknowledged a commit")
	})
}
