package ratelimit

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// customers returns limits like those of one customer: a hot workspace, some large and
// many small ones.
func customers(quiet int) map[state.WorkspaceID]state.RateLimit {
	limits := map[state.WorkspaceID]state.RateLimit{"hot": {PerSecond: 192, Burst: 192}}
	for i := range quiet {
		rate := 1 + float64(i%8)
		if i < 3 {
			rate = 441 / float64(i+1)
		}
		limits[state.WorkspaceID(fmt.Sprintf("quiet-%d", i))] = state.RateLimit{PerSecond: rate, Burst: rate}
	}
	return limits
}

// A workspace at eight times its limit gets its limit, and 74 quiet ones beside it lose
// nothing, as long as the instances reach each other.
func TestHotWorkspaceGetsItsLimitAndOthersLoseNothing(t *testing.T) {
	for _, instances := range []int{4, 26, 144} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			limits := customers(74)
			c := newTestCluster(uint64(instances), instances, limits)
			c.run(14 * time.Second)
			for _, id := range slices.Sorted(maps.Keys(limits)) {
				if id != "hot" {
					c.load(id, 0.6*limits[id].PerSecond)
				}
			}
			c.load("hot", 8*limits["hot"].PerSecond)
			c.run(2 * time.Second)
			clear(c.asked)
			clear(c.admitted)
			from, messages, bytes := c.now, c.messages, c.bytes
			const measured = 8 * time.Second
			c.run(measured)
			asked, admitted := 0, 0
			for id := range limits {
				require.LessOrEqual(t, c.excess(id, limits[id], from), 0.0, "%s", id)
				if id != "hot" {
					asked, admitted = asked+c.asked[id], admitted+len(c.admitted[id])
				}
			}
			hot := float64(len(c.admitted["hot"])) / (limits["hot"].PerSecond * measured.Seconds())
			t.Logf("%d instances: hot %.3f of its limit, quiet %d of %d, %.0f messages and %.0f bytes a second", instances, hot, admitted, asked,
				float64(c.messages-messages)/measured.Seconds(), float64(c.bytes-bytes)/measured.Seconds())
			require.GreaterOrEqual(t, hot, 0.95)
			require.GreaterOrEqual(t, float64(admitted), 0.995*float64(asked))
		})
	}
}

// rateBack returns how long after from it takes until a workspace gets 90 % of its rate
// again, over half a second.
func (c *testCluster) rateBack(workspace state.WorkspaceID, limit state.RateLimit, from state.Instant) time.Duration {
	const span = 500 * time.Millisecond
	for wait := time.Duration(0); wait < 10*time.Second; wait += 50 * time.Millisecond {
		if float64(c.admittedBetween(workspace, from.Add(wait), from.Add(wait+span))) >= 0.9*limit.PerSecond*span.Seconds() {
			return wait
		}
	}
	return 10 * time.Second
}

// restartAll restarts all instances within 300 ms.
func (c *testCluster) restartAll() {
	for _, node := range c.names() {
		c.after(time.Duration(c.random.IntN(300))*time.Millisecond, func() { c.start(node) })
	}
}

// The home of a busy workspace is killed, cut off or stopped, or all instances restart.
func TestRateIsBackSoonAfterTheHomeIsLost(t *testing.T) {
	limits := customers(0)
	for name, within := range map[string]time.Duration{"kill": 1500 * time.Millisecond, "cut off": 1500 * time.Millisecond, "stop": 400 * time.Millisecond, "restart all": 3 * time.Second, "restart all twice beside a lost one": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := newTestCluster(7, 26, limits)
			c.run(14 * time.Second)
			c.load("hot", 3*limits["hot"].PerSecond)
			if name == "restart all twice beside a lost one" {
				c.kill("entry-9")
				c.restartAll()
			}
			c.run(6 * time.Second)
			home := c.nodes["entry-0"].limiter.links[shardOf("hot")].home
			from := c.now
			switch name {
			case "kill":
				c.kill(home)
			case "cut off":
				c.side[home], c.storeless[home] = 1, true
			case "stop":
				c.nodes[home].limiter.Leave()
				c.after(20*time.Millisecond, func() { c.kill(home) })
			default:
				c.restartAll()
			}
			c.run(12 * time.Second)
			back := c.rateBack("hot", limits["hot"], from)
			t.Logf("90 %% of the rate after %v", back)
			require.LessOrEqual(t, back, within)
			require.LessOrEqual(t, c.excess("hot", limits["hot"], 0), 0.0)
		})
	}
}

// A lowered limit is kept although an instance, the home, no longer reads the
// configuration.
func TestLoweredLimitIsKeptByAHomeThatDoesNotKnowIt(t *testing.T) {
	limits := customers(0)
	c := newTestCluster(3, 9, limits)
	c.run(14 * time.Second)
	c.load("hot", 3*limits["hot"].PerSecond)
	c.run(4 * time.Second)
	c.stale[c.nodes["entry-0"].limiter.links[shardOf("hot")].home] = true
	lowered := map[state.WorkspaceID]state.RateLimit{"hot": {PerSecond: 20, Burst: 20}}
	c.configure(2, lowered)
	c.run(3 * time.Second)
	from := c.now
	c.run(12 * time.Second)
	require.LessOrEqual(t, c.excess("hot", lowered["hot"], from), 0.0)
}

// A message that arrives twice returns its permits once.
func TestRepeatedMessageReturnsPermitsOnce(t *testing.T) {
	h := newHome(1, shardOf("hot"), testTolerance, 0)
	h.configure(1, map[state.WorkspaceID]state.Workspace{"hot": {ID: "hot", Limit: state.RateLimit{PerSecond: 1, Burst: 100}}}, 0)
	first := h.handle(&message{From: "entry-1", Run: 1, Sequence: 1}, 0)
	pledged := &message{From: "entry-1", Run: 1, Sequence: 2, Nonce: first.Nonce, Pledge: &pledge{Denominator: 1, Length: minPledge}}
	require.InDelta(t, 1, h.handle(pledged, 0).Weight, 0)
	back := &message{From: "entry-1", Run: 1, Sequence: 3, Nonce: first.Nonce, Items: []item{{Workspace: "hot", Back: 10}}}
	require.NotNil(t, h.handle(back, 0))
	require.Nil(t, h.handle(back, 0))
	require.InDelta(t, 10, h.buckets["hot"].tokens, 0)
}

// Prefetched permits that are not needed are returned: a workspace whose operations come
// in bursts below its limit loses nothing.
func TestBurstsBelowTheLimitLoseNothing(t *testing.T) {
	limits := map[state.WorkspaceID]state.RateLimit{"hot": {PerSecond: 200, Burst: 60}}
	c := newTestCluster(5, 26, limits)
	c.run(14 * time.Second)
	from := c.now
	for range 20 {
		stop := c.load("hot", 520)
		c.run(150 * time.Millisecond)
		stop()
		c.run(300 * time.Millisecond)
	}
	refused := c.asked["hot"] - c.admittedBetween("hot", from, c.now)
	t.Logf("%d of %d refused", refused, c.asked["hot"])
	require.LessOrEqual(t, float64(refused), 0.01*float64(c.asked["hot"]))
}

// The operators limit a workspace and the settings state no tolerance. Without any, a
// burst that is short beside the rate would admit nothing.
func TestLimitWithoutATolerance(t *testing.T) {
	limits := map[state.WorkspaceID]state.RateLimit{"w": {PerSecond: 1000, Burst: 50}}
	c := newTestCluster(1, 4, limits)
	c.tolerance = Tolerance{}
	c.run(14 * time.Second)
	c.load("w", 500)
	c.run(2 * time.Second)
	clear(c.asked)
	clear(c.admitted)
	c.run(4 * time.Second)
	require.GreaterOrEqual(t, float64(len(c.admitted["w"])), 0.95*float64(c.asked["w"]))
}

// All instances lose power and start again within a third of a second. Operations that
// come then wait for partialAnswerWait at most, and homes must have pledges before.
func TestRateIsBackSoonAfterAllRestart(t *testing.T) {
	limits := map[state.WorkspaceID]state.RateLimit{"w": {PerSecond: 200, Burst: 200}}
	c := newTestCluster(3, 26, limits)
	c.run(20 * time.Second)
	names := c.names()
	for _, name := range names {
		c.kill(name)
	}
	c.run(1600 * time.Millisecond)
	for _, name := range names {
		c.after(time.Duration(c.random.IntN(300))*time.Millisecond, func() { c.start(name) })
	}
	c.run(300 * time.Millisecond)
	clear(c.admitted)
	started := c.now
	c.load("w", 100)
	c.run(2 * time.Second)
	require.NotEmpty(t, c.admitted["w"])
	require.Less(t, slices.Min(c.admitted["w"]).Sub(started), partialAnswerWait)
}

// An instance of a large fleet, where pledges last long, restarts and reads the rows only
// after a pledge of a small fleet would have ended.
func TestRestartedInstanceWaitsForPledgesOfItsFleet(t *testing.T) {
	c := newTestCluster(1, 0, nil)
	c.start("a")
	l := c.nodes["a"].limiter
	l.earlierPledgesOver(l.startedAt.Add(withDrift(minPledge)))
	l.share.instances = 144
	require.False(t, l.earlierPledgesOver(l.startedAt.Add(withDrift(minPledge))))
	require.True(t, l.earlierPledgesOver(l.startedAt.Add(withDrift(pledgeLength(144)))))
}
