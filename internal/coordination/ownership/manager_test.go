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

// testCluster is a fake of the topology, the membership and the factory. It
// counts the runners that were started and are still open.
type testCluster struct {
	groups         []state.Group
	firstOwner     state.InstanceID
	startedRunners atomic.Int64
	openRunners    atomic.Int64
	closeDuration  time.Duration
}

func (c *testCluster) All() []state.Group { return c.groups }

func (c *testCluster) Get(id state.GroupID) (state.Group, bool) {
	for _, group := range c.groups {
		if group.ID == id {
			return group, true
		}
	}
	return state.Group{}, false
}

func (c *testCluster) Self() state.Instance { return state.Instance{ID: "self"} }

func (c *testCluster) Owners(state.Database) []state.Instance {
	return []state.Instance{{ID: c.firstOwner}}
}

func (c *testCluster) Start(state.Group) Runner {
	c.startedRunners.Add(1)
	c.openRunners.Add(1)
	return &fakeRunner{cluster: c}
}

type fakeRunner struct {
	execution.Replication
	cluster *testCluster
}

func (r *fakeRunner) Barrier(context.Context) (state.Position, error) {
	return state.Position{Term: 1}, nil
}
func (r *fakeRunner) Update(state.Group)                      {}
func (r *fakeRunner) ServerConfigs() []execution.ServerConfig { return nil }
func (r *fakeRunner) Snapshot() any                           { return nil }
func (r *fakeRunner) Close() {
	time.Sleep(r.cluster.closeDuration)
	r.cluster.openRunners.Add(-1)
}

func newTestCluster() *testCluster {
	return &testCluster{firstOwner: "self", groups: []state.Group{
		{ID: "g", Databases: []state.Database{{ID: "a", Address: "one"}}},
		{ID: "h", Databases: []state.Database{{ID: "b", Address: "two"}}},
	}}
}

func newManager(c *testCluster) *Manager {
	owner := execution.NewOwner(nil, execution.DefaultOptions())
	return NewManager(c, c, c, owner, DefaultOptions(), zerolog.Nop())
}

func TestClosingRunnerBlocksNoOtherGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		c.closeDuration = 10 * time.Second
		m := newManager(c)
		m.Reconcile()
		c.groups = c.groups[1:]
		go m.Reconcile()
		synctest.Wait()
		started := time.Now()
		_, err := m.Barrier(t.Context(), "h")
		require.NoError(t, err)
		require.Zero(t, time.Since(started))
		time.Sleep(c.closeDuration)
		synctest.Wait()
		require.EqualValues(t, 1, c.openRunners.Load())

		go m.close()
		synctest.Wait()
		_, err = m.Barrier(t.Context(), "h")
		require.Error(t, err)
		time.Sleep(c.closeDuration)
		synctest.Wait()
		require.Zero(t, c.openRunners.Load())
	})
}

func TestUnownedGroupIsWatchedWhileUsedByPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster()
		c.firstOwner = "other"
		m := newManager(c)
		ctx, cancel := context.WithCancel(t.Context())
		go m.Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		require.Zero(t, c.startedRunners.Load())
		for range 5 {
			_, err := m.Barrier(ctx, "g")
			require.NoError(t, err)
			time.Sleep(DefaultOptions().UnownedRetention - 2*time.Second)
		}
		require.EqualValues(t, 1, c.startedRunners.Load())
		time.Sleep(DefaultOptions().UnownedRetention + time.Second)
		synctest.Wait()
		require.Zero(t, c.openRunners.Load())
		_, err := m.Barrier(ctx, "unknown")
		require.Error(t, err)
		cancel()
		synctest.Wait()
		_, err = m.Barrier(t.Context(), "g")
		require.Error(t, err, "a manager that has ended starts nothing")
	})
}

func TestRunnerIsReplacedWhenItsDatabasesChange(t *testing.T) {
	c := newTestCluster()
	m := newManager(c)
	m.Reconcile()
	c.groups[0].Databases = []state.Database{{ID: "a", Address: "one", Leaving: true}}
	m.Reconcile()
	require.EqualValues(t, 2, c.startedRunners.Load(), "leaving alone needs no new runner")
	c.groups[0].Databases = []state.Database{{ID: "a", Address: "three"}}
	m.Reconcile()
	require.EqualValues(t, 3, c.startedRunners.Load())
	require.EqualValues(t, 2, c.openRunners.Load())
}
