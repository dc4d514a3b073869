package execution

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// silentBackend sends nothing; Receive returns an error once it is closed.
type silentBackend struct {
	closed chan struct{}
	once   sync.Once
}

func (b *silentBackend) Write(context.Context, []byte) error { return nil }

func (b *silentBackend) Receive(ctx context.Context) (Message, error) {
	select {
	case <-b.closed:
		return Message{}, errCut
	case <-ctx.Done():
		return Message{}, ctx.Err()
	}
}

func (b *silentBackend) Buffered() bool               { return false }
func (b *silentBackend) PID() uint32                  { return 7 }
func (b *silentBackend) Cancel(context.Context) error { return nil }
func (b *silentBackend) Close()                       { b.once.Do(func() { close(b.closed) }) }

func TestSilentConnectionIsDetectedInTime(t *testing.T) {
	for name, probe := range map[string]ActivityProbe{
		"statement no longer runs": func(context.Context, uint32) (bool, error) { return false, nil },
		"server refuses":           func(context.Context, uint32) (bool, error) { return false, errors.New("refused") },
		"server hangs": func(ctx context.Context, _ uint32) (bool, error) {
			<-ctx.Done()
			return false, ctx.Err()
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			backend := &silentBackend{closed: make(chan struct{})}
			started := time.Now()
			var terminated []uint32
			terminate := func(_ context.Context, pid uint32) error {
				terminated = append(terminated, pid)
				return nil
			}
			watch := startSilenceWatch(backend, probe, terminate, time.Second)
			watch.startWaiting()
			_, err := backend.Receive(context.Background())
			require.Error(t, err)
			require.True(t, watch.stop(), name)
			require.LessOrEqual(t, time.Since(started), 4*time.Second, name)
			synctest.Wait()
			require.Equal(t, []uint32{backend.PID()}, terminated, name)
		})
	}
}

func TestLongStatementIsNotTakenForSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &silentBackend{closed: make(chan struct{})}
		probes := 0
		watch := startSilenceWatch(backend, func(context.Context, uint32) (bool, error) {
			probes++
			return probes%2 == 0, nil // every second probe runs just as the statement ends
		}, nil, time.Second)
		watch.startWaiting()
		time.Sleep(time.Hour)
		require.False(t, watch.stop())
		require.Greater(t, probes, 1000)
	})
}

func TestSlowCallerIsNotTakenForSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := &silentBackend{closed: make(chan struct{})}
		probe := func(context.Context, uint32) (bool, error) { return false, nil }
		watch := startSilenceWatch(backend, probe, nil, time.Second)
		watch.startWaiting()
		watch.messageReceived()
		time.Sleep(time.Minute)
		require.False(t, watch.stop())
	})
}

func TestSilentIdleConnectionsAreReplacedBeforeUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		stream := f.open(t, AccessWrite)
		stream.Close()
		time.Sleep(2 * maxUncheckedIdle)
		for _, conn := range f.owner.groups["group"].servers[testDatabase].pool.idle {
			conn.backend.(*fakeBackend).cut = true
		}
		stream = f.open(t, AccessWrite)
		reply, _, err := runUnit(stream, query("write a"))
		require.NoError(t, err)
		require.Equal(t, "done(UPDATE 1) ready(I) ", reply)
	})
}
