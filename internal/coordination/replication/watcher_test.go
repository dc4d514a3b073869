package replication

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fakeDatabase is a database whose responses the test sets. Tests that inject
// faults into a whole group are in the failover package.
type fakeDatabase struct {
	Control
	mu          sync.Mutex
	status      state.DatabaseStatus
	delay       time.Duration
	err         error
	inFlight    int
	maxInFlight int
	requests    int
}

func (s *fakeDatabase) set(term state.Term, role state.Role, log state.Position) {
	s.update(func(s *fakeDatabase) { s.status.Term, s.status.Role, s.status.Log = term, role, log })
}

func (s *fakeDatabase) update(apply func(*fakeDatabase)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply(s)
}

func (s *fakeDatabase) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *fakeDatabase) Status(ctx context.Context) (state.DatabaseStatus, error) {
	s.mu.Lock()
	s.requests++
	s.inFlight++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	delay := s.delay
	s.mu.Unlock()
	sleep(ctx, delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	return s.status, errors.Join(s.err, ctx.Err())
}

func (s *fakeDatabase) Probe(ctx context.Context) (state.DatabaseStatus, error) { return s.Status(ctx) }

// testWatcher runs test against a Watcher of databases a, b and c, of which a is
// the primary of term 1 and all logs end at 1/10.
func testWatcher(t *testing.T, test func(t *testing.T, w *Watcher, databases []*fakeDatabase)) {
	synctest.Test(t, func(t *testing.T) {
		group := state.Group{ID: "g"}
		controls := map[state.DatabaseID]Control{}
		var databases []*fakeDatabase
		for i, id := range []state.DatabaseID{"a", "b", "c"} {
			s := &fakeDatabase{status: state.DatabaseStatus{Database: id, Term: 1, Role: state.RoleReplica}, delay: time.Millisecond}
			s.status.Log = state.Position{Term: 1, Offset: 10}
			if i == 0 {
				s.status.Role = state.RolePrimary
			}
			group.Databases = append(group.Databases, state.Database{ID: id})
			controls[id] = s
			databases = append(databases, s)
		}
		ctx, cancel := context.WithCancel(t.Context())
		w := New(group, controls, Options{})
		defer cancel()
		done := make(chan error, 1)
		go func() { done <- w.Run(ctx) }()
		time.Sleep(10 * time.Millisecond)
		test(t, w, databases)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
}

func withinSecond(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestManyWaitersShareRequestsAndDoNotWaitForASlowDatabase(t *testing.T) {
	testWatcher(t, func(t *testing.T, w *Watcher, databases []*fakeDatabase) {
		databases[2].update(func(s *fakeDatabase) { s.delay = time.Second })
		before := databases[0].requestCount()
		start := time.Now()
		var callers sync.WaitGroup
		for range 1000 {
			callers.Go(func() {
				_, err := w.Barrier(withinSecond(t))
				require.NoError(t, err)
				require.NoError(t, w.WaitAcknowledged(withinSecond(t), state.Position{Term: 1, Offset: 10}))
			})
		}
		callers.Wait()
		require.Less(t, time.Since(start), 5*time.Millisecond)
		require.LessOrEqual(t, databases[0].requestCount()-before, 4)
		for _, database := range databases {
			database.update(func(s *fakeDatabase) { require.Equal(t, 1, s.maxInFlight) })
		}
	})
}

func TestIdleGroupCostsOneRequestPerDatabaseAndHeartbeat(t *testing.T) {
	testWatcher(t, func(t *testing.T, w *Watcher, _ []*fakeDatabase) {
		before := w.View().Counts.Requests
		time.Sleep(10 * time.Second)
		require.InDelta(t, 3*40, w.View().Counts.Requests-before, 3)
	})
}

func TestWaitAcknowledgedFailsEarlyOnlyWhenNoMajorityOfTheTermIsLeft(t *testing.T) {
	testWatcher(t, func(t *testing.T, w *Watcher, databases []*fakeDatabase) {
		position := state.Position{Term: 1, Offset: 20}
		databases[0].set(1, state.RolePrimary, position)
		databases[2].set(2, state.RoleFenced, state.Position{Term: 1, Offset: 10})
		err := w.WaitAcknowledged(withinSecond(t), position)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		databases[1].set(1, state.RoleReplica, position)
		require.NoError(t, w.WaitAcknowledged(withinSecond(t), position))

		lost := state.Position{Term: 1, Offset: 30}
		databases[1].set(2, state.RoleFenced, position)
		start := time.Now()
		err = w.WaitAcknowledged(withinSecond(t), lost)
		require.ErrorIs(t, err, ErrSuperseded)
		require.Less(t, time.Since(start), 10*time.Millisecond)
		failure, ok := state.AsFailure(err)
		require.True(t, ok)
		require.Equal(t, state.OutcomeUnknown, failure.Outcome)
		require.Empty(t, w.View().Primary)
	})
}

func TestDatabaseWithADivergedLogDoesNotServe(t *testing.T) {
	testWatcher(t, func(t *testing.T, w *Watcher, databases []*fakeDatabase) {
		position := state.Position{Term: 1, Offset: 10}
		for _, database := range databases {
			database.set(2, state.RoleReplica, position)
		}
		databases[1].set(2, state.RolePrimary, position)
		databases[2].set(2, state.RoleReplica, state.Position{Term: 1, Offset: 15})
		time.Sleep(2 * DefaultHeartbeatInterval)
		require.NoError(t, w.WaitForPosition(withinSecond(t), "a", position))
		require.ErrorIs(t, w.WaitForPosition(withinSecond(t), "c", position), ErrBehind)
		_, proven := w.ProvenAge("c")
		require.False(t, proven)

		written := state.Position{Term: 2, Offset: 11}
		databases[1].set(2, state.RolePrimary, written)
		require.Error(t, w.WaitAcknowledged(withinSecond(t), written), "the entry at offset 11 of c is another")
		databases[2].set(2, state.RoleReplica, state.Position{Term: 2, Offset: 11})
		require.NoError(t, w.WaitForPosition(withinSecond(t), "c", position))
	})
}

func TestAgeGrowsWithoutThePrimaryAndALowerTermIsRejected(t *testing.T) {
	testWatcher(t, func(t *testing.T, w *Watcher, databases []*fakeDatabase) {
		databases[0].update(func(s *fakeDatabase) { s.err = ErrRefused })
		time.Sleep(2 * time.Second)
		age, proven := w.ProvenAge("b")
		require.True(t, proven)
		require.InDelta(t, 2*time.Second, age, float64(300*time.Millisecond))
		view, _ := w.View().Database("a")
		require.Greater(t, view.Health.Refused, 1)

		for _, database := range databases[1:] {
			database.set(0, state.RoleReplica, state.Position{Offset: 50})
		}
		time.Sleep(time.Second)
		_, proven = w.ProvenAge("b")
		require.False(t, proven)
		require.ErrorIs(t, w.WaitAcknowledged(withinSecond(t), state.Position{Term: 1, Offset: 5}), context.DeadlineExceeded)
	})
}

// Times in a synctest bubble have no monotonic reading, so this test runs
// outside one.
func TestSamplesCarryAMonotonicReadingSoThatClockStepsDoNotCount(t *testing.T) {
	w := New(state.Group{Databases: []state.Database{{ID: "a"}}}, nil, Options{})
	sequence, sentAt := w.nextSequence()
	status := state.DatabaseStatus{Database: "a", Term: 1, Role: state.RolePrimary}
	require.NoError(t, w.applyStatus(w.members[0], sequence, sentAt, status))
	require.Contains(t, w.members[0].provenAt.String(), " m=")
}

func TestStoppedWatcherFailsItsWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(state.Group{ID: "g", Databases: []state.Database{{ID: "a"}, {ID: "b"}}}, nil, Options{})
		results := make(chan error, 3)
		go func() { results <- w.WaitAcknowledged(t.Context(), state.Position{Term: 1, Offset: 1}) }()
		go func() { results <- w.WaitForPosition(t.Context(), "a", state.Position{}) }()
		go func() { _, err := w.Barrier(t.Context()); results <- err }()
		synctest.Wait()
		w.stop()
		for range 3 {
			require.ErrorIs(t, <-results, ErrStopped)
		}
	})
}
