package configuration

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Source identifies where a configuration came from. It labels logs and metrics.
type Source string

// The sources of configurations.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
	// SourceEdit is an edit that was submitted through this instance.
	SourceEdit Source = "edit"
	// SourceStart is the newest configuration offered from any source while the
	// instance started.
	SourceStart Source = "start"
)

// Defaults of FollowerOptions, and limits that are not configurable.
const (
	DefaultPollInterval   = 5 * time.Second
	DefaultGossipInterval = 5 * time.Second
	DefaultStartTimeout   = 2 * time.Second
	DefaultCallTimeout    = 2 * time.Second
	// pollIntervalPerInstance is the minimum poll interval for each instance
	// of the deployment. It limits all instances together to 100 polls a
	// second, up to the number of instances at which maxPollInterval applies.
	pollIntervalPerInstance = 10 * time.Millisecond
	// maxPollInterval is short enough that polling alone meets the limit of
	// 18 s in which an accepted edit must be in force on all instances.
	maxPollInterval = 15 * time.Second
	// intervalJitter is the fraction by which an interval varies either way.
	intervalJitter = 0.1
	// gossipPeers is the number of peers to exchange with each GossipInterval.
	gossipPeers = 2
	// pushPeers is the number of peers that a newer configuration is sent to
	// as soon as it is in force.
	pushPeers = 3
	// startPeers is the number of peers that a starting instance exchanges with.
	startPeers = 5
)

// FollowerOptions are the settings of a Follower. A zero field takes its
// default.
type FollowerOptions struct {
	PollInterval   time.Duration
	GossipInterval time.Duration
	// StartTimeout is how long a starting instance waits for the platform and
	// its peers before it puts in force the newest configuration received.
	StartTimeout time.Duration
	// CallTimeout limits each poll of the platform and each exchange with a
	// peer.
	CallTimeout time.Duration
	// Instances returns the number of instances, which determines the poll
	// interval. If nil, one instance is assumed.
	Instances func() int
}

func (o FollowerOptions) withDefaults() FollowerOptions {
	o.PollInterval = cmp.Or(o.PollInterval, DefaultPollInterval)
	o.GossipInterval = cmp.Or(o.GossipInterval, DefaultGossipInterval)
	o.StartTimeout = cmp.Or(o.StartTimeout, DefaultStartTimeout)
	o.CallTimeout = cmp.Or(o.CallTimeout, DefaultCallTimeout)
	if o.Instances == nil {
		o.Instances = func() int { return 1 }
	}
	return o
}

// Platform is the source that the follower polls for the current configuration.
// Store implements it.
type Platform interface {
	Head(ctx context.Context) (Digest, error)
	Current(ctx context.Context) (*state.Configuration, error)
}

// Follower holds the configuration in force in this process. Its revision never
// decreases. All methods are safe for concurrent use.
type Follower struct {
	platform Platform
	peers    Peers
	groups   *Groups // nil if groups are not followed
	options  FollowerOptions
	logger   zerolog.Logger

	// inForce is noDocument until the first configuration is in force.
	inForce atomic.Pointer[document]
	// push signals pushLoop that a newer configuration is in force.
	push chan struct{}

	// mu protects the fields below and serialises changes of inForce.
	mu sync.Mutex
	// started is set after Run has queried the platform and the peers. Until
	// then the newest offer is kept in staged and is not in force.
	started     bool
	staged      *document
	subscribers map[chan *state.Configuration]struct{}
}

// NewFollower returns a follower. No configuration is in force before Run.
// groups may be nil; otherwise its records are exchanged with peers along with
// the configuration.
func NewFollower(platform Platform, peers Peers, groups *Groups, options FollowerOptions, logger zerolog.Logger) *Follower {
	follower := &Follower{
		platform:    platform,
		peers:       peers,
		groups:      groups,
		options:     options.withDefaults(),
		logger:      logger,
		push:        make(chan struct{}, 1),
		staged:      noDocument,
		subscribers: make(map[chan *state.Configuration]struct{}),
	}
	follower.inForce.Store(noDocument)
	return follower
}

// Current returns the configuration in force, or nil if none has been in force
// since the process started. The caller must not change it.
func (f *Follower) Current() *state.Configuration {
	return f.inForce.Load().configuration
}

// Offer puts a configuration in force if its revision is higher than the one in
// force, and reports whether it did. A configuration of the same revision with
// other contents is rejected, and counted and logged as corruption. Until Run
// has queried the platform and the peers, the newest offer is only staged.
func (f *Follower) Offer(_ context.Context, configuration *state.Configuration, source Source) bool {
	if configuration == nil {
		return false
	}
	offered := newDocument(configuration)
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.heldLocked()
	if offered.digest.Revision <= held.digest.Revision {
		f.recordRejectedOffer(held, offered, source)
		return false
	}
	if !f.started {
		f.staged = offered
		return false
	}
	f.putInForce(offered, source)
	return true
}

// held returns the configuration in force, or the newest offer if Run has not
// finished starting.
func (f *Follower) held() *document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldLocked()
}

// heldLocked is like held. The caller holds mu.
func (f *Follower) heldLocked() *document {
	if !f.started {
		return f.staged
	}
	return f.inForce.Load()
}

// Digest returns the digest of the configuration in force, or of the newest
// offer if Run has not finished starting.
func (f *Follower) Digest() Digest {
	return f.held().digest
}

// putInForce puts a configuration in force, and notifies the subscribers and
// pushLoop. The caller holds mu.
func (f *Follower) putInForce(next *document, source Source) {
	f.inForce.Store(next)
	configuration := next.configuration
	metrics.GetOrCreateCounter(`cyclamenpin_configuration_taken_total{source="` + string(source) + `"}`).Inc()
	f.logger.Info().Uint64("revision", uint64(configuration.Revision)).Str("source", string(source)).
		Int("plans", len(configuration.Plans)).Msg("configuration in force")
	for subscriber := range f.subscribers {
		replaceValue(subscriber, configuration)
	}
	select {
	case f.push <- struct{}{}:
	default:
	}
}

// recordRejectedOffer counts an offer of an older revision, and reports an offer
// of the held revision with other contents as corruption.
func (f *Follower) recordRejectedOffer(held, offered *document, source Source) {
	if offered.digest.Revision != held.digest.Revision {
		metrics.GetOrCreateCounter(`cyclamenpin_configuration_older_offers_total{source="` + string(source) + `"}`).Inc()
		return
	}
	if held.digest != offered.digest {
		f.reportCorruption(offered.digest.Revision, string(source))
	}
}

func (f *Follower) reportCorruption(revision state.Revision, source string) {
	corruptions().Inc()
	f.logger.Error().Uint64("revision", uint64(revision)).Str("source", source).
		Msg("configuration rejected: its contents differ from the known hash of its revision")
}

func corruptions() *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_configuration_corruptions_total`)
}

// Subscribe returns a channel that holds the newest configuration in force until
// the subscriber receives it, and a function that ends the subscription. The
// subscriber may miss older configurations.
func (f *Follower) Subscribe() (<-chan *state.Configuration, func()) {
	subscriber := make(chan *state.Configuration, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers[subscriber] = struct{}{}
	if configuration := f.Current(); configuration != nil {
		subscriber <- configuration
	}
	return subscriber, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.subscribers, subscriber)
	}
}

// replaceValue sends a configuration to a subscriber's channel and discards an
// older one that was not received. The caller must be the only sender.
func replaceValue(subscriber chan *state.Configuration, configuration *state.Configuration) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- configuration
}
