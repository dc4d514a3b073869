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

// waitingBackend answers nothing before answers is closed. Like a connection,
// its Receive ends when it is closed.
type waitingBackend struct {
	*fakeBackend
	answers chan struct{}
	closed  chan struct{}
	once    sync.Once
}

func (b *waitingBackend) Receive(ctx context.Context) (Message, error) {
	select {
	case <-b.answers:
		return b.fakeBackend.Receive(ctx)
	case <-b.closed:
		return Message{}, errCut
	}
}

func (b *waitingBackend) Close() { b.once.Do(func() { close(b.closed) }) }

type waitingDialer struct {
	database *fakeDatabase
	dialled  *waitingBackend
}

func (d *waitingDialer) Dial(ctx context.Context, database state.Database) (Backend, error) {
	inner, err := d.database.Dial(ctx, database)
	if err != nil {
		return nil, err
	}
	d.dialled = &waitingBackend{
		fakeBackend: inner.(*fakeBackend), answers: make(chan struct{}), closed: make(chan struct{}),
	}
	return d.dialled, nil
}

// The peer link closes a stream from another goroutine when its entry goes away
// in the middle of a unit.
func TestCloseEndsAReceiveThatWaitsAndGivesAllBack(t *testing.T) {
	for _, answered := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			dialer := &waitingDialer{database: f.database}
			f.owner = NewOwner(dialer, DefaultOptions())
			f.owner.SetGroup("group", f.replication, []ServerConfig{{
				Database: state.Database{ID: testDatabase, MaxConnections: 4, Slots: 3}, Gate: f.gate, Pacer: openPacer{},
			}})
			stream := f.open(t, AccessWrite)
			require.NoError(t, stream.Send(context.Background(), query("write a")))
			received := make(chan error, 1)
			go func() {
				_, err := stream.Receive(context.Background())
				received <- err
			}()
			synctest.Wait()
			if answered { // the answer races with the close
				close(dialer.dialled.answers)
			}
			stream.Close()
			if err := <-received; !answered {
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
