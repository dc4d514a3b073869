package council

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// A session reads right after its own write, replicas apply the write a little
// later, and transactions hold all connections to the primary. The read waits for
// a replica instead of queueing at the primary until it is refused.
func TestReadAfterOwnWriteWaitsForAReplica(t *testing.T) {
	run(t, []string{"a"}, func(tc *testCluster) {
		for n := 2; n <= 3; n++ {
			tc.group.Database(n).SetApplyDelay(300 * time.Millisecond)
		}
		c := tc.instances["a"].open("cab")
		defer c.session.Close()
		_, reply := c.write("k", "v")
		require.Equal(tc.t, state.CodeNone, reply.Code)
		var holders sync.WaitGroup
		for range 24 {
			holders.Go(func() {
				holder := tc.instances["a"].open("desk")
				defer holder.session.Close()
				_, _ = holder.do(state.StatementBegin, "BEGIN")
				_, _ = holder.read("other")
				time.Sleep(2 * time.Second)
			})
		}
		time.Sleep(100 * time.Millisecond)
		_, reply = c.read("k")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
		holders.Wait()
	})
}

// An instance can reach the replicas but not the primary. The other instances send
// it the primary's position, so that it continues to serve reads.
func TestReadsAreServedWithPositionsOfOtherInstances(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		tc.partition(between([]string{"a"}, []string{string(tc.group.Database(1).ID)}))
		ctx, stop := context.WithCancel(tc.ctx)
		defer stop()
		go tc.keepWriting(ctx, "b")
		time.Sleep(3 * maxStaleness)
		c := tc.instances["a"].open("portal")
		defer c.session.Close()
		for range 20 {
			_, reply := c.read("k")
			require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// The database refuses statements of a transaction for a moment because of
// overload. The statements are retried, and the transaction commits.
func TestTransactionOutlastsAnOverloadedDatabase(t *testing.T) {
	run(t, []string{"a"}, func(tc *testCluster) {
		c := tc.instances["a"].open("desk")
		defer c.session.Close()
		_, _ = c.do(state.StatementBegin, "BEGIN")
		_, reply := c.write("k", "v")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
		tc.group.Database(1).RefuseNext(3)
		_, reply = c.write("k", "w")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
		tc.group.Database(1).RefuseNext(2)
		_, reply = c.do(state.StatementCommit, "COMMIT")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
		require.NotEmpty(tc.t, reply.Proof)
	})
}

// The database refuses single statements because of overload. As nothing ran, they
// are retried while there is time, and otherwise refused before the deadline.
func TestStatementOutlastsAnOverloadedDatabase(t *testing.T) {
	run(t, []string{"a"}, func(tc *testCluster) {
		c := tc.instances["a"].open("desk")
		defer c.session.Close()
		tc.group.Database(1).RefuseNext(3)
		_, reply := c.write("k", "v")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
		tc.group.Database(1).RefuseNext(1000)
		started := time.Now()
		_, reply = c.write("k", "w")
		require.Equal(tc.t, state.CodeBusy, reply.Code)
		require.LessOrEqual(tc.t, time.Since(started), 400*time.Millisecond)
	})
}
