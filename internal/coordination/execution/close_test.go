package execution

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// blockingBackend sends no reply before replies is closed. As on a real
// connection, Receive returns an error once the backend is closed.
type blockingBackend struct {
	*fakeBackend
	replies chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (b *blockingBackend) Receive(ctx context.Context) (Message, error) {
	select {
	case <-b.replies:
		return b.fakeBackend.Receive(ctx)
	case <-b.closed:
		return Message{}, errCut
	}
}

func (b *blockingBackend) Close() { b.once.Do(func() { close(b.closed) }) }

type blockingDialer struct {
	database *fakeDatabase
	dialled  *blockingBackend
}

func (d *blockingDialer) Dial(ctx context.Context, database state.Database) (Backend, error) {
	inner, err := d.database.Dial(ctx, database)
	if err != nil {
		return nil, err
	}
	d.dialled = &blockingBackend{
		fakeBackend: inner.(*fakeBackend), replies: make(chan struct{}), closed: make(chan struct{}),
	}
	return d.dialled, nil
}

// The peer link closes a stream from another goroutine when the entry instance
// disconnects during a unit.
func TestCloseEndsPendingReceiveAndReleasesEverything(t *testing.T) {
	for _, replied := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			dialer := &blockingDialer{database: f.database}
			f.owner = NewOwner(dialer, DefaultOptions())
			f.owner.SetGroup("group", f.replication, []ServerConfig{{
				Database: state.Database{ID: testDatabase, MaxConnections: 4, Slots: 3}, Gate: f.gate, Pacer: unlimitedPacer{},
			}})
			stream := f.open(t, AccessWrite)
			require.NoError(t, stream.Send(context.Background(), query("write a")))
			received := make(chan error, 1)
			go func() {
				_, err := stream.Receive(context.Background())
				received <- err
			}()
			synctest.Wait()
			if replied { // the reply races with the close
				close(dialer.dialled.replies)
			}
			stream.Close()
			if err := <-received; !replied {
				requireOutcome(t, err, state.OutcomeUnknown)
			}
			stream.Close()
			synctest.Wait()
			require.Zero(t, f.gate.connections)
			require.Zero(t, f.gate.slots)
			require.Error(t, stream.Send(context.Background(), query("write b")), "a closed stream runs nothing")
			require.NotContains(t, f.database.executed, "write b")
		})
	}
}

// slowGate grants slots after a delay, even when the caller no longer waits.
type slowGate struct{ *unlimitedGate }

func (g slowGate) AcquireSlot(ctx context.Context, plan state.PlanID, inTransaction bool, timeout time.Duration) (Slot, error) {
	time.Sleep(time.Second)
	return g.unlimitedGate.AcquireSlot(ctx, plan, inTransaction, timeout)
}

// When a peer link ends, its streams are closed from another goroutine.
func TestStreamClosedDuringSendRunsNothingAndIsNotReused(t *testing.T) {
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

func TestStreamClosedDuringReceiveEndsTheWait(t *testing.T) {
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
