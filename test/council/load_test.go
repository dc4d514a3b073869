package council

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Pattern: a session reads right after its own write, replicas apply it a
// little later, and transactions hold all connections to the primary. The read
// waits for a replica instead of queueing at the primary until it is refused.
func TestReadAfterOwnWriteWaitsForAReplica(t *testing.T) {
	run(t, []string{"a"}, func(w *testCluster) {
		for n := 2; n <= 3; n++ {
			w.group.Database(n).SetApplyDelay(300 * time.Millisecond)
		}
		c := w.instances["a"].open("cab")
		defer c.session.Close()
		_, reply := c.write("k", "v")
		require.Equal(w.t, state.CodeNone, reply.Code)
		var holders sync.WaitGroup
		for range 24 {
			holders.Go(func() {
				holder := w.instances["a"].open("desk")
				defer holder.session.Close()
				_, _ = holder.do(state.StatementBegin, "BEGIN")
				_, _ = holder.read("other")
				time.Sleep(2 * time.Second)
			})
		}
		time.Sleep(100 * time.Millisecond)
		_, reply = c.read("k")
		require.Equal(w.t, state.CodeNone, reply.Code, reply.Detail)
		holders.Wait()
	})
}

// Pattern: an instance is cut off from the primary, but not from the replicas.
// Others tell it how far the primary is, so that its readers are served on.
func TestReadsAreServedWithPositionsOfOtherInstances(t *testing.T) {
	run(t, fourInstances, func(w *testCluster) {
		w.partition(between([]string{"a"}, []string{string(w.group.Database(1).ID)}))
		ctx, stop := context.WithCancel(w.ctx)
		defer stop()
		go w.keepWriting(ctx, "b")
		time.Sleep(3 * maxStaleness)
		c := w.instances["a"].open("portal")
		defer c.session.Close()
		for range 20 {
			_, reply := c.read("k")
			require.Equal(w.t, state.CodeNone, reply.Code, reply.Detail)
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// Pattern: the database is overloaded for a moment while transactions are
// under way. They wait for it, and nothing that they did is lost.
func TestTransactionOutlastsAnOverloadedDatabase(t *testing.T) {
	run(t, []string{"a"}, func(w *testCluster) {
		c := w.instances["a"].open("desk")
		defer c.session.Close()
		_, _ = c.do(state.StatementBegin, "BEGIN")
		_, reply := c.write("k", "v")
		require.Equal(w.t, state.CodeNone, reply.Code, reply.Detail)
		w.group.Database(1).RefuseNext(3)
		_, reply = c.write("k", "w")
		require.Equal(w.t, state.CodeNone, reply.Code, reply.Detail)
		w.group.Database(1).RefuseNext(2)
		_, reply = c.do(state.StatementCommit, "COMMIT")
		require.Equal(w.t, state.CodeNone, reply.Code, reply.Detail)
		require.NotEmpty(w.t, reply.Proof)
	})
}

// Pattern: the same for single statements: nothing ran, so they are sent again
// while there is time, and refused in time where there is none.
func TestStatementOutlastsAnOverloadedDatabase(t *testing.T) {
	run(t, []string{"a"}, func(w *testCluster) {
		c := w.instances["a"].open("desk")
		defer c.session.Close()
		w.group.Database(1).RefuseNext(3)
		_, reply := c.write("k", "v")
		require.Equal(w.t, state.CodeNone, reply.Code, reply.Detail)
		w.group.Database(1).RefuseNext(1000)
		started := time.Now()
		_, reply = c.write("k", "w")
		require.Equal(w.t, state.CodeBusy, reply.Code)
		require.LessOrEqual(w.t, time.Since(started), 400*time.Millisecond)
	})
}
