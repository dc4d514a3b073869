package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Run keeps the configuration up to date from the platform and the peers until
// ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.start(ctx)
	var loops sync.WaitGroup
	loops.Go(func() { every(ctx, f.pollInterval, f.poll) })
	loops.Go(func() { every(ctx, f.gossipInterval, f.gossip) })
	loops.Go(func() { f.pushLoop(ctx) })
	loops.Wait()
}

// start polls the platform and exchanges with some peers concurrently, and puts
// in force the newest configuration received within StartTimeout. It uses both
// sources because either may be behind the other.
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

// pollInterval returns a jittered poll interval, which grows with the number of
// instances up to maxPollInterval.
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

// jittered varies an interval randomly by up to intervalJitter either way.
func jittered(interval time.Duration) time.Duration {
	factor := 1 + intervalJitter*(2*rand.Float64()-1)
	return time.Duration(float64(interval) * factor)
}

// every calls action after each interval until ctx ends. The first call comes
// after a random part of an interval, so that instances that start at the same
// time do not poll at the same time.
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

// poll reads the digest of the current configuration from the platform, and the
// configuration itself if its revision is higher than the held one.
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
	f.logger.Debug().Err(err).Msg("polling the platform for the configuration failed")
}

// isNewer reports whether an offered digest has a higher revision than the held
// one. It reports a digest of the same revision with another hash as corruption,
// and counts a platform revision lower than the held one.
func (f *Follower) isNewer(offered, held Digest, source string) bool {
	if offered.Revision == held.Revision && offered != held {
		f.reportCorruption(offered.Revision, source)
	}
	if source == string(SourcePlatform) && offered.Revision < held.Revision {
		metrics.GetOrCreateCounter(`cyclamenpin_configuration_platform_behind_total`).Inc()
	}
	return offered.Revision > held.Revision
}

// gossip exchanges configurations with a few random peers.
func (f *Follower) gossip(ctx context.Context) {
	f.exchangeWithAll(ctx, f.peers.Sample(gossipPeers))
}

// pushLoop exchanges with a few random peers as soon as a newer configuration is
// in force, until ctx ends.
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
