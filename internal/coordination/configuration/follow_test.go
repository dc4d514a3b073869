package configuration

import (
	"cmp"
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// inForceDeadline is the time within which an accepted edit must be in force on
// all instances.
const inForceDeadline = 18 * time.Second

// testCluster runs followers that share one platform in a synctest bubble.
type testCluster struct {
	tables    *fakeTables
	store     *Store
	network   *network
	followers []*Follower
}

func newTestCluster(ctx context.Context, size int) *testCluster {
	c := &testCluster{tables: newFakeTables(), network: newNetwork()}
	c.store = NewStore(c.tables)
	for i := range size {
		c.followers = append(c.followers, c.startInstance(ctx, i, size))
	}
	synctest.Wait()
	return c
}

func (c *testCluster) startInstance(ctx context.Context, i, size int) *Follower {
	peers := &fakePeers{own: instanceID(i), network: c.network, random: rand.New(rand.NewPCG(2, uint64(i)))}
	options := FollowerOptions{Instances: func() int { return size }}
	groups := NewGroups(c.tables, options, zerolog.Nop())
	follower := NewFollower(c.store, peers, groups, options, zerolog.Nop())
	c.network.join(instanceID(i), follower)
	go groups.Run(ctx)
	go follower.Run(ctx)
	return follower
}

func (c *testCluster) counts() (reads, exchanges int) {
	c.tables.mu.Lock()
	defer c.tables.mu.Unlock()
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	return c.tables.reads, c.network.exchanges
}

func (c *testCluster) countInForce(revision state.Revision) int {
	count := 0
	for _, follower := range c.followers {
		if configuration := follower.Current(); configuration != nil && configuration.Revision >= revision {
			count++
		}
	}
	return count
}

// waitUntilInForce waits until a revision or a later one is in force on all
// instances, and returns how long that took.
func (c *testCluster) waitUntilInForce(t *testing.T, revision state.Revision) time.Duration {
	started := time.Now()
	for c.countInForce(revision) < len(c.followers) {
		require.Less(t, time.Since(started), inForceDeadline, "in force on %d of %d", c.countInForce(revision), len(c.followers))
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(started)
}

func TestEditIsInForceEverywhereInTime(t *testing.T) {
	change := Change{PutPlans: []state.Plan{testPlan("a", "")}}
	for name, test := range map[string]struct {
		size int
		// platformDown makes the platform unavailable right after the edit.
		platformDown bool
		// within is the time limit, inForceDeadline if zero.
		within time.Duration
		// withoutPeers removes all peers from the network, so that instances
		// receive the edit only by polling.
		withoutPeers bool
	}{
		"4 instances":                     {size: 4},
		"4 instances by polling alone":    {size: 4, withoutPeers: true},
		"4 instances without platform":    {size: 4, platformDown: true, within: time.Second},
		"300 instances":                   {size: 300},
		"300 instances by polling alone":  {size: 300, withoutPeers: true},
		"300 instances without platform":  {size: 300, platformDown: true},
		"1500 instances by polling alone": {size: 1500, withoutPeers: true},
		"1500 instances without platform": {size: 1500, platformDown: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				c := newTestCluster(ctx, test.size)
				time.Sleep(time.Minute)
				if test.withoutPeers {
					c.network.mu.Lock()
					clear(c.network.followers)
					c.network.ids = nil
					c.network.mu.Unlock()
				}
				accepted, err := c.store.Edit(ctx, Edit{ID: "1", Change: change}, nil, nil)
				require.NoError(t, err)
				c.tables.mu.Lock()
				c.tables.down = test.platformDown
				c.tables.mu.Unlock()
				if test.platformDown {
					c.followers[0].Offer(ctx, accepted.Configuration, SourceEdit)
				}
				took := c.waitUntilInForce(t, accepted.Revision)
				require.LessOrEqual(t, took, cmp.Or(test.within, inForceDeadline))
				t.Logf("in force on all %d instances after %v", test.size, took)
			})
		})
	}
}

func TestControlTrafficOfAnIdleCluster(t *testing.T) {
	const period = time.Minute
	for _, size := range []int{4, 300, 1500} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer synctest.Wait()
			defer cancel()
			c := newTestCluster(ctx, size)
			time.Sleep(time.Minute)
			readsBefore, exchangesBefore := c.counts()
			time.Sleep(period)
			reads, exchanges := c.counts()
			readRate := float64(reads-readsBefore) / period.Seconds()
			exchangeRate := float64(exchanges-exchangesBefore) / period.Seconds() / float64(size)
			t.Logf("%d instances: %.1f platform reads/s in all, %.2f exchanges/s begun by each", size, readRate, exchangeRate)
			require.Less(t, readRate, 250.0)
			require.Less(t, exchangeRate, 0.5)
		})
	}
}

func TestNewInstanceWithoutPlatformStartsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		c := newTestCluster(ctx, 3)
		c.tables.Put(GroupKey("g"), encodeRecord(state.Group{ID: "g", Databases: make([]state.Database, 3)}))
		old, err := c.store.Edit(ctx, Edit{ID: "1", Change: Change{PutPlans: []state.Plan{testPlan("a", "")}}}, nil, nil)
		require.NoError(t, err)
		_, err = c.store.Edit(ctx, Edit{ID: "2", Base: 1, Change: Change{PutPlans: []state.Plan{testPlan("b", "")}}}, nil, nil)
		require.NoError(t, err)
		c.waitUntilInForce(t, 2)
		time.Sleep(30 * time.Second)
		c.tables.mu.Lock()
		c.tables.down = true

		// The platform's failure is known only once the lock is released, however long
		// this goroutine is held up.
		late := c.startInstance(ctx, 9, 4)
		changes, unsubscribe := late.Subscribe()
		defer unsubscribe()
		late.Offer(ctx, old.Configuration, SourcePeer)
		current := late.Current()
		c.tables.mu.Unlock()
		require.Nil(t, current, "nothing is in force before the platform and the peers were queried")
		first := <-changes
		require.EqualValues(t, 2, first.Revision)
		_, found := late.groups.Get("g")
		require.True(t, found, "groups come from peers too")
	})
}

func TestStartingInstanceDoesNotCountAsInForce(t *testing.T) {
	network := newNetwork()
	var followers [3]*Follower
	for i := range followers {
		peers := &fakePeers{own: instanceID(i), network: network, random: rand.New(rand.NewPCG(3, uint64(i)))}
		followers[i] = NewFollower(NewStore(newFakeTables()), peers, nil, FollowerOptions{}, zerolog.Nop())
		network.join(instanceID(i), followers[i])
	}
	network.setPartition(instanceID(0), instanceID(2), true)
	followers[0].start(t.Context())
	followers[0].Offer(t.Context(), &state.Configuration{Revision: 1}, SourceEdit)
	require.Equal(t, InForce{
		Revision: 1, Confirmed: 1, Instances: 3, Highest: 1,
		Behind: []state.InstanceID{instanceID(1)}, Unresponsive: []state.InstanceID{instanceID(2)},
	}, followers[0].CheckInForce(t.Context(), 1))
	followers[1].start(t.Context())
	require.Equal(t, 2, followers[0].CheckInForce(t.Context(), 1).Confirmed)
}

func TestSameRevisionWithOtherContentsIsCorruption(t *testing.T) {
	network := newNetwork()
	follower := NewFollower(NewStore(newFakeTables()), &fakePeers{network: network}, nil, FollowerOptions{}, zerolog.Nop())
	follower.start(t.Context())
	held := &state.Configuration{Revision: 3, EditID: "held"}
	require.True(t, follower.Offer(t.Context(), held, SourcePeer))
	before := corruptions().Get()
	require.False(t, follower.Offer(t.Context(), &state.Configuration{Revision: 3, EditID: "other"}, SourcePeer))
	other := &state.Configuration{Revision: 4}
	follower.HandleExchange(t.Context(), Exchange{Digest: Digest{Revision: 4, Hash: "wrong"}, Document: other})
	require.Same(t, held, follower.Current())
	require.EqualValues(t, 2, corruptions().Get()-before)
}
