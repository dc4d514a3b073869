package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// cluster is followers in one process that exchange by calls. Each knows all
// others.
type cluster struct {
	followers []*configuration.Follower
	exchanges atomic.Int64
	documents atomic.Int64
}

// member is one follower's view of the cluster. It implements
// configuration.Peers.
type member struct {
	cluster *cluster
	self    int
}

func followerID(number int) state.InstanceID {
	return state.InstanceID(fmt.Sprintf("%04d", number))
}

// Sample implements configuration.Peers.
func (m member) Sample(n int) []state.InstanceID {
	var sample []state.InstanceID
	for _, number := range rand.Perm(len(m.cluster.followers)) {
		if number != m.self && len(sample) < n {
			sample = append(sample, followerID(number))
		}
	}
	return sample
}

// All implements configuration.Peers.
func (m member) All() []state.InstanceID {
	return m.Sample(len(m.cluster.followers))
}

// Exchange implements configuration.Peers.
func (m member) Exchange(ctx context.Context, peer state.InstanceID, message configuration.Exchange) (configuration.Exchange, error) {
	var number int
	if _, err := fmt.Sscanf(string(peer), "%d", &number); err != nil {
		return configuration.Exchange{}, err
	}
	answer := m.cluster.followers[number].HandleExchange(ctx, message)
	m.cluster.exchanges.Add(1)
	for _, carried := range []*state.Configuration{message.Document, answer.Document} {
		if carried != nil {
			m.cluster.documents.Add(1)
		}
	}
	return answer, nil
}

// silentPlatform has nothing newer, so that an edit spreads among peers only.
type silentPlatform struct{}

// Head implements configuration.Platform.
func (silentPlatform) Head(context.Context) (configuration.Digest, error) {
	return configuration.Digest{}, nil
}

// Current implements configuration.Platform.
func (silentPlatform) Current(context.Context) (*state.Configuration, error) {
	return nil, nil
}

// measureSpread measures how long an edit takes to be in force everywhere
// without the platform, and how many copies of it are sent.
func measureSpread(ctx context.Context, report *Report) error {
	series := func(name, unit string) Series {
		return Series{Section: "spread", Name: name, Unit: unit, Per: "instances", Target: targetInstances}
	}
	inForce := series("edit in force everywhere, among peers only", "s")
	copies := series("copies of a document for each instance", "copies")
	idle := series("exchanges begun by all when idle", "1/s")
	for _, size := range []int{64, 300, targetInstances} {
		result, err := spreadOnce(ctx, size)
		if err != nil {
			return err
		}
		inForce.Points = append(inForce.Points, Point{float64(size), result.seconds})
		copies.Points = append(copies.Points, Point{float64(size), result.copies})
		idle.Points = append(idle.Points, Point{float64(size), result.idleRate})
	}
	return addAll(report, inForce, copies, idle)
}

type spreadResult struct {
	seconds, copies, idleRate float64
}

// spreadIdle is how long the idle exchanges are counted.
const spreadIdle = 3 * time.Second

func spreadOnce(ctx context.Context, size int) (spreadResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{followers: make([]*configuration.Follower, size)}
	for i := range c.followers {
		c.followers[i] = configuration.NewFollower(silentPlatform{}, member{cluster: c, self: i}, nil, configuration.FollowerOptions{}, zerolog.Nop())
	}
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for _, follower := range c.followers {
		running.Go(func() { follower.Run(ctx) })
	}
	if err := pause(ctx, time.Second); err != nil {
		return spreadResult{}, err
	}
	var result spreadResult
	before := c.exchanges.Load()
	if err := pause(ctx, spreadIdle); err != nil {
		return result, err
	}
	result.idleRate = float64(c.exchanges.Load()-before) / spreadIdle.Seconds()
	started := time.Now()
	c.followers[0].Offer(ctx, lists(1, "verifier"), configuration.SourceEdit)
	for !c.allInForce() {
		if err := pause(ctx, 5*time.Millisecond); err != nil {
			return result, err
		}
	}
	result.seconds = time.Since(started).Seconds()
	result.copies = float64(c.documents.Load()) / float64(size)
	return result, nil
}

func (c *cluster) allInForce() bool {
	for _, follower := range c.followers {
		if follower.Current() == nil {
			return false
		}
	}
	return true
}

// pause waits, or fails when the run's time is up.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
