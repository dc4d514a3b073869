package pooling

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func acquireFor(t *testing.T, p *Pool, workspace state.WorkspaceID) *Conn {
	t.Helper()
	conn, err := p.Acquire(t.Context(), Request{Workspace: workspace, Priority: 1}, time.Now().Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, workspace, conn.Workspace)
	return conn
}

// A busy workspace keeps all connections in use. The requests of a small one must not
// wait until it pauses, and connections must not change hands with each request.
func TestBusyWorkspaceDoesNotKeepOthersOut(t *testing.T) {
	for _, share := range []int{1, 2, 5} {
		t.Run(fmt.Sprintf("%d connections", share), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dialer := &fakeDialer{}
				p := testPool(dialer, share)
				var callers sync.WaitGroup
				var served atomic.Int64
				until := time.Now().Add(10 * time.Second)
				for range 3 * share {
					callers.Go(func() {
						for time.Now().Before(until) {
							conn, err := p.Acquire(t.Context(), Request{Workspace: "large", Priority: 1}, time.Now().Add(2*time.Second))
							if err != nil {
								time.Sleep(20 * time.Millisecond)
								continue
							}
							_, _ = p.Run(conn, Statement{}, time.Now().Add(time.Second))
							p.Release(conn, true)
							served.Add(1)
						}
					})
				}
				time.Sleep(time.Second)
				for range 20 {
					started := time.Now()
					conn := acquireFor(t, p, "small")
					require.Less(t, time.Since(started), maxOvertake+100*time.Millisecond)
					_, _ = p.Run(conn, Statement{}, time.Now().Add(time.Second))
					p.Release(conn, true)
					time.Sleep(300 * time.Millisecond)
				}
				callers.Wait()
				require.Greater(t, served.Load(), int64(share*300), "of about 500 that each connection can serve")
				require.Less(t, dialer.count(), 60, "connections opened for 20 requests of the small workspace")
			})
		})
	}
}

// Requests that time out leave nothing behind: names of workspaces would pile up.
func TestQueueForgetsWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &fakeDialer{}
		p := testPool(dialer, 1)
		held := acquireFor(t, p, "w")
		for n := range 20 {
			_, err := p.Acquire(t.Context(), Request{Workspace: state.WorkspaceID(fmt.Sprint("w", n))}, time.Now().Add(30*time.Millisecond))
			require.Error(t, err)
		}
		p.Release(held, true)
		time.Sleep(time.Second)
		w := p.queue.push(Request{Workspace: "x"})
		require.True(t, p.queue.remove(w))
		require.False(t, p.queue.remove(w))
		require.Empty(t, p.queue.byWorkspace)
	})
}

// A workspace has an idle connection. The queue of another one is no reason to refuse
// its request, although that queue is longer than the request can wait.
func TestQueueOfAnotherWorkspaceRefusesNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(&fakeDialer{}, 2)
		small, held := acquireFor(t, p, "small"), acquireFor(t, p, "large")
		for range 40 {
			go func() {
				_, _ = p.Acquire(t.Context(), Request{Workspace: "large", Priority: 1}, time.Now().Add(2*time.Second))
			}()
		}
		synctest.Wait()
		require.True(t, p.Saturated("small"))
		p.dialAfter = time.Now().Add(time.Hour) // keeps the idle connection from making room
		p.Release(small, true)
		require.False(t, p.Saturated("small"))
		require.True(t, p.Saturated("large"))
		require.Less(t, p.Cost("small"), p.Cost("large"))
		_, err := p.Acquire(t.Context(), Request{Workspace: "large", Priority: 1}, time.Now().Add(20*time.Millisecond))
		var refused *NoConnectionError
		require.ErrorAs(t, err, &refused)
		conn, err := p.Acquire(t.Context(), Request{Workspace: "small", Priority: 1}, time.Now().Add(20*time.Millisecond))
		require.NoError(t, err)
		p.Release(conn, true)
		p.Release(held, true)
		p.close()
	})
}

// The database has reached its limit although this instance's share has room left. An
// idle connection of another workspace must make room, or the request would wait for
// its deadline beside idle connections.
func TestIdleConnectionMakesRoomAtAFullDatabase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &fakeDialer{}
		p := testPool(dialer, 5)
		p.Release(acquireFor(t, p, "other"), true)
		dialer.fail(errors.Join(state.ErrClosedAtStartup, errors.New("EOF")))
		time.AfterFunc(40*time.Millisecond, func() { dialer.fail(nil) })
		started := time.Now()
		conn := acquireFor(t, p, "w")
		require.Less(t, time.Since(started), 300*time.Millisecond)
		require.Equal(t, 1, p.stats().Open)
		p.Release(conn, true)
	})
}

// The connection that was idle for longest makes room, but not one that a waiting
// request can use.
func TestConnectionThatMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := testPool(&fakeDialer{}, 3)
		conns := map[state.WorkspaceID]*Conn{}
		for _, workspace := range []state.WorkspaceID{"a", "b", "c"} {
			conns[workspace] = acquireFor(t, p, workspace)
		}
		for _, workspace := range []state.WorkspaceID{"b", "a", "c"} {
			p.Release(conns[workspace], true)
		}
		p.Release(acquireFor(t, p, "d"), true)
		require.False(t, p.hasIdle("b"), "the longest idle one made room")
		p.queue.push(Request{Workspace: "a"})
		require.True(t, p.closeOldestIdle())
		require.True(t, p.hasIdle("a"))
		require.False(t, p.hasIdle("c"))
		p.close()
	})
}

// Random callers of many workspaces, connections that are lost and openings that fail.
// Each gets connections of its own workspace only, at most the share is open, and
// nothing is left over.
func TestPoolOfManyWorkspaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.IntRange(1, 6).Draw(rt, "share")
		workspaces := rapid.IntRange(1, 12).Draw(rt, "workspaces")
		callers := rapid.IntRange(1, 20).Draw(rt, "callers")
		seed := rapid.Uint64().Draw(rt, "seed")
		var wrong, tooMany atomic.Int64
		var left int
		synctest.Test(t, func(t *testing.T) {
			dialer := &fakeDialer{}
			p := testPool(dialer, share)
			var running sync.WaitGroup
			for n := range callers {
				running.Go(func() {
					random := rand.New(rand.NewPCG(seed, uint64(n)))
					for range 20 {
						workspace := state.WorkspaceID(fmt.Sprint("w", random.IntN(workspaces)))
						wait := time.Duration(random.IntN(300)) * time.Millisecond
						conn, err := p.Acquire(t.Context(), Request{Workspace: workspace, Priority: random.IntN(3)}, time.Now().Add(wait))
						if p.stats().Open > share {
							tooMany.Add(1)
						}
						if err != nil {
							continue
						}
						if conn.Workspace != workspace {
							wrong.Add(1)
						}
						_, _ = p.Run(conn, Statement{}, time.Now().Add(time.Second))
						p.Release(conn, random.IntN(5) > 0)
						if random.IntN(10) == 0 {
							dialer.fail(errors.New("refused"))
							time.AfterFunc(30*time.Millisecond, func() { dialer.fail(nil) })
						}
					}
				})
			}
			running.Wait()
			time.Sleep(2 * time.Second)
			stats := p.stats()
			left = stats.Waiting + stats.Running + stats.Open - stats.Idle + p.opening + p.starting + len(p.queue.byWorkspace)
		})
		require.Zero(rt, wrong.Load())
		require.Zero(rt, left)
		require.Zero(rt, tooMany.Load())
	})
}
