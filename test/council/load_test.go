package council

import (
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
	run(t, []string{"a"}, func(w *world) {
		for n := 2; n <= 3; n++ {
			w.group.Database(n).SetApplyAfter(300 * time.Millisecond)
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
