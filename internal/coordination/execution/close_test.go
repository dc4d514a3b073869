package execution

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

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
			f.owner.SetGroup("group", f.replication, []ServerParts{{
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
