package pooling

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fakeForwarder answers with its error after a moment.
type fakeForwarder struct{ err error }

func (f *fakeForwarder) Open(state.Server, Request, time.Time) ServerConn {
	return &forwardedConn{forwarder: f}
}

type forwardedConn struct {
	fakeConn
	forwarder *fakeForwarder
}

func (c *forwardedConn) Run(Statement, time.Time, func()) (state.Reply, error) {
	time.Sleep(10 * time.Millisecond)
	return state.Reply{}, c.forwarder.err
}

// The holders of a database that is down refuse at once. It must not seem faster than
// the others, and is tried again after some seconds. One whose holders are full counts
// as saturated for a moment.
func TestRefusalsThroughHoldersKeepReadsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := &fakeForwarder{err: &UnsentError{Cause: errors.New("connect failed")}}
		p := testPool(&fakeDialer{}, 1)
		p.forwarder, p.forwards = forwarder, true
		run := func() {
			conn, err := p.Acquire(t.Context(), Request{}, time.Now().Add(time.Second))
			require.NoError(t, err)
			_, _ = p.Run(conn, Statement{}, time.Now().Add(time.Second))
			p.Release(conn, false)
		}
		before := p.latency
		run()
		require.Greater(t, p.latency, 2*before)
		for range 40 {
			p.updateShare(Placement{Share: 1, Forward: true})
		}
		require.Less(t, p.latency, 2*before)
		forwarder.err = &UnsentError{Cause: &NoConnectionError{RetryAfter: time.Second}}
		run()
		require.True(t, p.forwards && time.Now().Before(p.refusedUntil))
		require.Less(t, p.latency, 2*before)
	})
}
