package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Run follows the platform and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, f.pollInterval, f.poll) })
	loops.Go(func() { every(ctx, f.gossipInterval, f.gossip) })
	loops.Go(func() { f.pushLoop(ctx) })
	loops.Wait()
}

// start asks the platform and some peers at once, and puts in force the newest
// configuration that came within StartTimeout. It asks both, because either
// may be behind the other.
func (f *Follower) start(ctx context.Context) {
	startContext, cancel := context.WithTimeout(ctx, f.options.StartTimeout)
	defer cancel()
	var calls sync.WaitGroup
	calls.Go(func() { f.poll(startContext) })
	for _, peer := range f.peers.Sample(startPeers) {
		calls.Go(func() { f.exchangeWith(startContext, peer) })
	}
	calls.Wait()

	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = true
	if f.staged != noDocument {
		f.putInForce(f.staged, SourceStart)
		f.staged = noDocument
	}
}

// pollInterval returns a poll interval that suits the number of instances.
func pollInterval(options FollowerOptions) time.Duration {
	scaled := time.Duration(options.Instances()) * pollIntervalPerInstance
	return jittered(max(options.PollInterval, min(scaled, maxPollInterval)))
}

func (f *Follower) pollInterval() time.Duration {
	return pollInterval(f.options)
}

func (f *Follower) gossipInterval() time.Duration {
	return jittered(f.options.GossipInterval)
}

func jittered(interval time.Duration) time.Duration {
	factor := 1 + intervalJitter*(2*rand.Float64()-1)
	return time.Duration(float64(interval) * factor)
}

// every calls action after each interval until ctx ends. The first call comes
// after a random part of an interval, so that instances that start together
// do not poll together.
func every(ctx context.Context, interval func() time.Duration, action func(context.Context)) {
	timer := time.NewTimer(rand.N(interval()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		action(ctx)
		timer.Reset(interval())
	}
}

// poll asks the platform for its head, and for the document where that is
// newer than what is held.
func (f *Follower) poll(ctx context.Context) {
	callContext, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	head, err := f.platform.Head(callContext)
	if err != nil {
		f.recordPollFailure(err)
		return
	}
	held := f.Digest()
	if !f.isNewer(head, held, string(SourcePlatform)) {
		return
	}
	configuration, err := f.platform.Current(callContext)
	if err != nil {
		f.recordPollFailure(err)
		return
	}
	f.Offer(ctx, configuration, SourcePlatform)
}

func (f *Follower) recordPollFailure(err error) {
	metrics.GetOrCreateCounter(`cyclamenpin_configuration_poll_failures_total`).Inc()
	f.logger.Debug().Err(err).Msg("the platform could not be asked for the configuration")
}

// isNewer compares a digest from elsewhere with the held one, and reports one
// of the same revision with another hash as corruption.
func (f *Follower) isNewer(offered, held Digest, source string) bool {
	if offered.Revision == held.Revision && offered != held {
		f.reportCorruption(offered.Revision, source)
	}
	if source == string(SourcePlatform) && offered.Revision < held.Revision {
		metrics.GetOrCreateCounter(`cyclamenpin_configuration_platform_behind_total`).Inc()
	}
	return offered.Revision > held.Revision
}

// gossip exchanges with a few random peers.
func (f *Follower) gossip(ctx context.Context) {
	f.exchangeWithAll(ctx, f.peers.Sample(gossipPeers))
}

// pushLoop tells a few random peers of each newer configuration at once.
func (f *Follower) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.push:
		}
		f.exchangeWithAll(ctx, f.peers.Sample(pushPeers))
	}
}
