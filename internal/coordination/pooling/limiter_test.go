package pooling

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// slottedDatabase runs as many statements at a time as it has slots, queues some
// and refuses the others.
type slottedDatabase struct {
	slots   chan struct{}
	queue   int64
	present atomic.Int64
	refused atomic.Int64
	served  atomic.Int64
}

func newSlottedDatabase(slots int, queue int64) *slottedDatabase {
	return &slottedDatabase{slots: make(chan struct{}, slots), queue: queue}
}

func (d *slottedDatabase) Dial(context.Context, state.Server, state.WorkspaceID) (ServerConn, error) {
	return &slottedConn{database: d}, nil
}

func (d *slottedDatabase) DialTunnel(context.Context, state.Server, state.WorkspaceID) (ServerConn, error) {
	return nil, state.ErrNoTunnel
}

type slottedConn struct {
	fakeConn
	database *slottedDatabase
}

func (c *slottedConn) Run(Statement, time.Time, func()) (state.Reply, error) {
	d := c.database
	defer d.present.Add(-1)
	if d.present.Add(1) > d.queue+int64(cap(d.slots)) {
		d.refused.Add(1)
		time.Sleep(time.Millisecond)
		return state.Reply{Code: state.CodeBusy}, nil
	}
	d.slots <- struct{}{}
	time.Sleep(20 * time.Millisecond)
	<-d.slots
	d.served.Add(1)
	return state.Reply{Proof: "p"}, nil
}

// applyLoad runs 200 callers that send statements one after the other for the
// given duration.
func applyLoad(t *testing.T, p *Pool, duration time.Duration) {
	t.Helper()
	until := time.Now().Add(duration)
	var callers sync.WaitGroup
	for range 200 {
		callers.Go(func() {
			for time.Now().Before(until) {
				conn, err := p.Acquire(t.Context(), Request{Priority: 1}, time.Now().Add(400*time.Millisecond))
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				reply, err := p.Run(conn, Statement{}, time.Now().Add(time.Second))
				p.Release(conn, err == nil)
				if reply.Code == state.CodeBusy {
					time.Sleep(15 * time.Millisecond) // as the relay does
				}
			}
		})
	}
	callers.Wait()
}

// Guards against a database that refuses many statements under overload, because
// more are sent than it queues. The limiter must adapt to its capacity: few
// statements are refused and its slots stay in use.
func TestLimiterFindsTheDatabasesCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		database := newSlottedDatabase(3, 24)
		p := newPool(state.Server{}, database, noHealth{}, 60, zerolog.Nop())
		applyLoad(t, p, 5*time.Second)
		database.refused.Store(0)
		database.served.Store(0)
		applyLoad(t, p, 5*time.Second)
		refused, served := database.refused.Load(), database.served.Load()
		require.Less(t, refused, served/10, "refused of %d answered", served)
		require.Greater(t, served, int64(700), "three slots, 20 ms a statement, 5 s: 750 at the most")
		p.close()
	})
}

// Guards against a limit that stays in force after the overload has ended.
func TestLimitEndsWithTheOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		database := newSlottedDatabase(3, 24)
		p := newPool(state.Server{}, database, noHealth{}, 60, zerolog.Nop())
		applyLoad(t, p, time.Second)
		require.NotZero(t, p.stats().Limit)
		database.queue = 1000
		applyLoad(t, p, 30*time.Second)
		require.Zero(t, p.stats().Limit)
		p.close()
	})
}

// A connection that is acquired and released without a statement must not be
// counted as in flight any longer.
func TestUnusedConnectionIsNotCountedAsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(state.Server{}, newSlottedDatabase(1, 1), noHealth{}, 2, zerolog.Nop())
		p.limiter.limit, p.limiter.peak = 1, 1
		for range 3 {
			conn, err := p.Acquire(t.Context(), Request{Priority: 1}, time.Now().Add(time.Second))
			require.NoError(t, err)
			p.Release(conn, true)
		}
		require.Zero(t, p.inFlight())
		p.close()
	})
}
