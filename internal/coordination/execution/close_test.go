package execution

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// slowGate grants slots after a while, to callers that have gone as well.
type slowGate struct{ *openGate }

func (g slowGate) AcquireSlot(ctx context.Context, plan state.PlanID, inTransaction bool, timeout time.Duration) (Slot, error) {
	time.Sleep(time.Second)
	return g.openGate.AcquireSlot(ctx, plan, inTransaction, timeout)
}

// A peer's end of a stream is closed from another goroutine when its link ends.
func TestStreamClosedWhileItSendsRunsNothingAndIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		stream := f.open(t, AccessWrite).(*ownerStream)
		stream.server.Gate = slowGate{f.gate}
		result := make(chan error, 1)
		go func() {
			_, _, err := runUnit(stream, query("write a"))
			result <- err
		}()
		synctest.Wait()
		stream.Close()
		requireOutcome(t, <-result, state.OutcomeNotRun)
		require.Empty(t, f.database.executed)
		open, idle := f.owner.groups["group"].servers[testDatabase].pool.counts()
		require.Zero(t, open+idle)
		require.Zero(t, f.gate.slots)
		require.Zero(t, f.gate.connections)
	})
}

func TestStreamClosedWhileItReceivesEndsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		stream := f.open(t, AccessWrite).(*ownerStream)
		stream.conn.backend = &silentBackend{closed: make(chan struct{})}
		require.NoError(t, stream.Send(t.Context(), query("write a")))
		result := make(chan error, 1)
		go func() {
			_, err := stream.Receive(context.Background())
			result <- err
		}()
		synctest.Wait()
		stream.Close()
		requireOutcome(t, <-result, state.OutcomeUnknown)
		_, err := stream.Receive(t.Context())
		requireOutcome(t, err, state.OutcomeUnknown)
		require.Zero(t, f.gate.slots)
		require.Zero(t, f.gate.connections)
	})
}
