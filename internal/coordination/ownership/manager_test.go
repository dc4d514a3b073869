package ownership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// installation is one instance's view, which may change.
type installation struct {
	groups  []state.Group
	first   state.InstanceID
	started atomic.Int64
	open    atomic.Int64
	closing time.Duration
}

func (i *installation) All() []state.Group { return i.groups }

func (i *installation) Get(id state.GroupID) (state.Group, bool) {
	for _, group := range i.groups {
		if group.ID == id {
			return group, true
		}
	}
	return state.Group{}, false
}

func (i *installation) Self() state.Instance { return state.Instance{ID: "self"} }

func (i *installation) Owners(state.Database) []state.Instance {
	return []state.Instance{{ID: i.first}}
}

func (i *installation) Start(state.Group) Runner {
	i.started.Add(1)
	i.open.Add(1)
	return &fakeRunner{installation: i}
}

type fakeRunner struct {
	execution.Replication
	installation *installation
}

func (r *fakeRunner) Barrier(context.Context) (state.Position, error) {
	return state.Position{Term: 1}, nil
}
func (r *fakeRunner) Update(state.Group)                     {}
func (r *fakeRunner) ServerConfigs() []execution.ServerParts { return nil }
func (r *fakeRunner) Snapshot() any                          { return nil }
func (r *fakeRunner) Close() {
	time.Sleep(r.installation.closing)
	r.installation.open.Add(-1)
}

func newInstallation() *installation {
	return &installation{first: "self", groups: []state.Group{
		{ID: "g", Databases: []state.Database{{ID: "a", Address: "one"}}},
		{ID: "h", Databases: []state.Database{{ID: "b", Address: "two"}}},
	}}
}

func newManager(i *installation) *Manager {
	owner := execution.NewOwner(nil, execution.DefaultOptions())
	return NewManager(i, i, i, owner, DefaultOptions(), zerolog.Nop())
}

func TestClosingARunnerHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation()
		i.closing = 10 * time.Second
		m := newManager(i)
		m.Reconcile()
		i.groups = i.groups[1:]
		go m.Reconcile()
		synctest.Wait()
		started := time.Now()
		_, err := m.Barrier(t.Context(), "h")
		require.NoError(t, err)
		require.Zero(t, time.Since(started))
		time.Sleep(i.closing)
		synctest.Wait()
		require.EqualValues(t, 1, i.open.Load())

		go m.close()
		synctest.Wait()
		_, err = m.Barrier(t.Context(), "h")
		require.Error(t, err)
		time.Sleep(i.closing)
		synctest.Wait()
		require.Zero(t, i.open.Load())
	})
}

func TestUnownedGroupIsWatchedWhilePeersSendItWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation()
		i.first = "other"
		m := newManager(i)
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, i.started.Load())
		for range 5 {
			_, err := m.Barrier(ctx, "g")
			require.NoError(t, err)
			time.Sleep(DefaultOptions().KeepUnowned - 2*time.Second)
		}
		require.EqualValues(t, 1, i.started.Load())
		time.Sleep(DefaultOptions().KeepUnowned + time.Second)
		synctest.Wait()
		require.Zero(t, i.open.Load())
		_, err := m.Barrier(ctx, "unknown")
		require.Error(t, err)
		cancel()
		synctest.Wait()
		_, err = m.Barrier(t.Context(), "g")
		require.Error(t, err, "a manager that has ended starts nothing")
	})
}

func TestRunnerIsReplacedWhenItsDatabasesChange(t *testing.T) {
	i := newInstallation()
	m := newManager(i)
	m.Reconcile()
	i.groups[0].Databases = []state.Database{{ID: "a", Address: "one", Leaving: true}}
	m.Reconcile()
	require.EqualValues(t, 2, i.started.Load(), "leaving alone needs no new runner")
	i.groups[0].Databases = []state.Database{{ID: "a", Address: "three"}}
	m.Reconcile()
	require.EqualValues(t, 3, i.started.Load())
	require.EqualValues(t, 2, i.open.Load())
}
