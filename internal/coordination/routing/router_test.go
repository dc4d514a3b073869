package routing

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeNetwork simulates the peers "a" to "c" and a group whose databases of the
// same names they own.
type fakeNetwork struct {
	mu        sync.Mutex
	barrier   func(ctx context.Context, peer state.InstanceID) (state.Position, error)
	open      func(request execution.OpenRequest) error
	requested []state.InstanceID
	opened    []state.DatabaseID
	failed    []state.InstanceID
}

func (n *fakeNetwork) Get(id state.GroupID) (state.Group, bool) {
	group := state.Group{ID: id, Primary: "a"}
	for _, name := range []state.DatabaseID{"a", "b", "c"} {
		group.Databases = append(group.Databases, state.Database{ID: name})
	}
	return group, true
}

func (n *fakeNetwork) Self() state.Instance { return state.Instance{ID: "self"} }

func (n *fakeNetwork) Owners(database state.Database) []state.Instance {
	return []state.Instance{{ID: state.InstanceID(database.ID)}}
}

func (n *fakeNetwork) ReportFailure(id state.InstanceID, _ state.Incarnation, _ error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failed = append(n.failed, id)
}

func (n *fakeNetwork) ReportSuccess(state.InstanceID, state.Incarnation) {}

func (n *fakeNetwork) Barrier(ctx context.Context, peer state.Instance, _ state.GroupID) (state.Position, error) {
	n.mu.Lock()
	n.requested = append(n.requested, peer.ID)
	n.mu.Unlock()
	return n.barrier(ctx, peer.ID)
}

type idleStream struct{ execution.Stream }

func (idleStream) Close() {}

func (n *fakeNetwork) Open(_ context.Context, _ state.Instance, request execution.OpenRequest) (execution.Stream, error) {
	n.opened = append(n.opened, request.Database)
	if err := n.open(request); err != nil {
		return nil, err
	}
	return idleStream{}, nil
}

func newRouter(n *fakeNetwork) *Router { return New(n, n, n, nil, DefaultOptions()) }

func TestSilentOwnerDoesNotDelayBarrier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := state.Position{Term: 1, Offset: 7}
		n := &fakeNetwork{barrier: func(ctx context.Context, peer state.InstanceID) (state.Position, error) {
			if peer != "c" {
				<-ctx.Done()
				return state.Position{}, state.NotRun(state.ReasonUnreachable, StepPeerOpen, string(peer), 0, ctx.Err())
			}
			return want, nil
		}}
		started := time.Now()
		position, err := newRouter(n).Barrier(t.Context(), "g")
		require.NoError(t, err)
		require.Equal(t, want, position)
		require.LessOrEqual(t, time.Since(started), 2*barrierHedgeDelay)
		require.Equal(t, []state.InstanceID{"a", "b", "c"}, n.requested)
		synctest.Wait()
		require.Empty(t, n.failed, "an owner that was no longer needed was reported as failed")
	})
}

func TestBarrierInFlightIsNotJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testStart := time.Now()
		var taken atomic.Int64
		n := &fakeNetwork{barrier: func(context.Context, state.InstanceID) (state.Position, error) {
			position := state.Position{Term: 1, Offset: uint64(time.Since(testStart))}
			taken.Add(1)
			time.Sleep(50 * time.Millisecond)
			return position, nil
		}}
		router := newRouter(n)
		var waiting sync.WaitGroup
		for number := range 20 {
			waiting.Go(func() {
				time.Sleep(time.Duration(number) * 7 * time.Millisecond)
				requestedAt := time.Since(testStart)
				position, err := router.Barrier(t.Context(), "g")
				require.NoError(t, err)
				require.GreaterOrEqual(t, position.Offset, uint64(requestedAt), "a barrier from before the call was used")
				require.LessOrEqual(t, time.Since(testStart)-requestedAt, 100*time.Millisecond)
			})
		}
		waiting.Wait()
		require.LessOrEqual(t, taken.Load(), int64(5), "barriers were not shared")
	})
}

func TestWriteFollowsHintAndWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{open: func(request execution.OpenRequest) error {
			if request.Database == "c" {
				return nil
			}
			failure := state.NotRun(state.ReasonNoPrimary, "test", "", 0, nil)
			failure.Primary = "c"
			return failure
		}}
		router := newRouter(n)
		stream, err := router.Open(t.Context(), Request{Group: "g"})
		require.NoError(t, err)
		stream.Close()
		require.Equal(t, []state.DatabaseID{"a", "c"}, n.opened)
		require.True(t, router.IsPrimary("g", "c"))

		n.open = func(execution.OpenRequest) error { return state.NotRun(state.ReasonNoPrimary, "test", "", 0, nil) }
		started := time.Now()
		_, err = router.Open(t.Context(), Request{Group: "g"})
		require.Error(t, err)
		require.InDelta(t, DefaultOptions().PrimaryWait, time.Since(started), float64(100*time.Millisecond))
	})
}

func TestWriteOpenWithUnknownOutcomeIsNotRetried(t *testing.T) {
	n := &fakeNetwork{open: func(execution.OpenRequest) error {
		return state.Unknown(state.ReasonSilent, "test", "", nil)
	}}
	_, err := newRouter(n).Open(t.Context(), Request{Group: "g"})
	require.Error(t, err)
	require.Len(t, n.opened, 1)
}

func TestReadPrefersReplicasAndAvoidsFailedDatabases(t *testing.T) {
	n := &fakeNetwork{open: func(request execution.OpenRequest) error {
		if request.Database == "b" {
			return state.NotRun(state.ReasonUnreachable, "test", "", 0, nil)
		}
		return nil
	}}
	router := newRouter(n)
	for range 10 {
		stream, err := router.Open(t.Context(), Request{Group: "g", Access: execution.AccessRead, Avoid: "c"})
		require.NoError(t, err)
		require.Equal(t, state.DatabaseID("a"), stream.Database, "c is avoided and b fails")
		stream.Close()
		stream, err = router.Open(t.Context(), Request{Group: "g", Access: execution.AccessRead})
		require.NoError(t, err)
		require.Equal(t, state.DatabaseID("c"), stream.Database, "a replica goes before the primary")
		stream.Close()
	}
}
