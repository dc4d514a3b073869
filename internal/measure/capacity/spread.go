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

// cluster is a number of followers in one process that exchange messages by
// function calls. Each has all others as peers.
type cluster struct {
	followers []*configuration.Follower
	exchanges atomic.Int64
	documents atomic.Int64
}

// member implements configuration.Peers for one follower of a cluster.
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
	response := m.cluster.followers[number].HandleExchange(ctx, message)
	m.cluster.exchanges.Add(1)
	for _, document := range []*state.Configuration{message.Document, response.Document} {
		if document != nil {
			m.cluster.documents.Add(1)
		}
	}
	return response, nil
}

// emptyPlatform never has a configuration, so that an edit spreads only between
// peers.
type emptyPlatform struct{}

// Head implements configuration.Platform.
func (emptyPlatform) Head(context.Context) (configuration.Digest, error) {
	return configuration.Digest{}, nil
}

// Current implements configuration.Platform.
func (emptyPlatform) Current(context.Context) (*state.Configuration, error) {
	return nil, nil
}

// measureSpread measures how long it takes until an edit is in force on all
// instances without the platform, how many copies of the document are sent, and
// the rate of exchanges when there is nothing to spread.
func measureSpread(ctx context.Context, report *Report) error {
	series := func(name, unit string) Series {
		return Series{Section: "spread", Name: name, Unit: unit, Per: "instances", Target: targetInstances}
	}
	inForce := series("edit in force everywhere, among peers only", "s")
	copies := series("copies of a document for each instance", "copies")
	idle := series("exchanges begun by all when idle", "1/s")
	for _, size := range []int{64, 300, targetInstances} {
		result, err := measureOneSpread(ctx, size)
		if err != nil {
			return err
		}
		inForce.Points = append(inForce.Points, Point{float64(size), result.seconds})
		copies.Points = append(copies.Points, Point{float64(size), result.copies})
		idle.Points = append(idle.Points, Point{float64(size), result.idleRate})
	}
	return addAll(report, inForce, copies, idle)
}

// spreadResult holds the seconds until an edit was in force on all instances, the
// copies of the document for each instance, and the idle exchanges per second.
type spreadResult struct {
	seconds, copies, idleRate float64
}

// spreadIdleTime is how long exchanges are counted before the edit.
const spreadIdleTime = 3 * time.Second

func measureOneSpread(ctx context.Context, size int) (spreadResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{followers: make([]*configuration.Follower, size)}
	for i := range c.followers {
		c.followers[i] = configuration.NewFollower(emptyPlatform{}, member{cluster: c, self: i}, nil, configuration.FollowerOptions{}, zerolog.Nop())
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
	if err := pause(ctx, spreadIdleTime); err != nil {
		return result, err
	}
	result.idleRate = float64(c.exchanges.Load()-before) / spreadIdleTime.Seconds()
	started := time.Now()
	c.followers[0].Offer(ctx, newConfiguration(1, "verifier"), configuration.SourceEdit)
	for !c.allInForce() {
		if err := pause(ctx, 5*time.Millisecond); err != nil {
			return result, err
		}
	}
	result.seconds = time.Since(started).Seconds()
	result.copies = float64(c.documents.Load()) / float64(size)
	return result, nil
}

// allInForce reports whether all followers have a configuration in force.
func (c *cluster) allInForce() bool {
	for _, follower := range c.followers {
		if follower.Current() == nil {
			return false
		}
	}
	return true
}

// pause waits for a duration. It returns an error if the context ends first.
func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
