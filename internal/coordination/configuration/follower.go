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

// Source says where a configuration came from.
type Source string

// The sources of configurations.
const (
	SourcePlatform Source = "platform"
	SourcePeer     Source = "peer"
	// SourceEdit is an edit that this instance itself saw accepted.
	SourceEdit Source = "edit"
	// SourceStart is the newest offer of all while the instance started.
	SourceStart Source = "start"
)

// Defaults of FollowerOptions, and bounds that are not options.
const (
	DefaultPollInterval   = 5 * time.Second
	DefaultGossipInterval = 5 * time.Second
	DefaultStartTimeout   = 2 * time.Second
	DefaultCallTimeout    = 2 * time.Second
	// pollIntervalPerInstance stretches the poll interval as instances are added, so
	// that all of them together poll at most 100 times a second.
	pollIntervalPerInstance = 10 * time.Millisecond
	// maxPollInterval keeps polling alone within the 18 s in which an
	// accepted edit is to be in force everywhere.
	maxPollInterval = 15 * time.Second
	// intervalJitter is the share by which an interval varies either way.
	intervalJitter = 0.1
	// gossipPeers is how many peers are asked each GossipInterval.
	gossipPeers = 2
	// pushPeers is how many peers are told at once of a newer configuration.
	pushPeers = 3
	// startPeers is how many peers a starting instance asks.
	startPeers = 5
)

// FollowerOptions are the settings of a Follower. A zero field takes its
// default.
type FollowerOptions struct {
	PollInterval   time.Duration
	GossipInterval time.Duration
	// StartTimeout is how long a starting instance waits for the platform and
	// its peers before it puts in force the newest configuration it got.
	StartTimeout time.Duration
	// CallTimeout bounds each call to the platform or a peer.
	CallTimeout time.Duration
	// Instances returns the number of instances, which sets the pace of
	// polling. Nil stands for a few.
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

// Platform is where the follower polls for the current configuration. Store
// implements it.
type Platform interface {
	Head(ctx context.Context) (Digest, error)
	Current(ctx context.Context) (*state.Configuration, error)
}

// Follower holds the configuration in force on this process. Its revision
// never goes down. All methods are safe for concurrent use.
type Follower struct {
	platform Platform
	peers    Peers
	groups   *Groups // nil where groups are not followed
	options  FollowerOptions
	logger   zerolog.Logger

	// inForce is noDocument until the first configuration is in force.
	inForce atomic.Pointer[document]
	// push asks Run to tell peers of a newer configuration.
	push chan struct{}

	// mu protects the fields below and serialises changes of inForce.
	mu sync.Mutex
	// started is set once Run has asked the platform and the peers. Until
	// then the newest offer is held in staged and is not in force.
	started     bool
	staged      *document
	subscribers map[chan *state.Configuration]struct{}
}

// NewFollower returns a follower. Nothing is in force before Run. groups may
// be nil; else its records are passed on among peers along with the
// configuration.
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

// Current returns the configuration in force, or nil where none has been
// received since the process started. It must not be changed.
func (f *Follower) Current() *state.Configuration {
	return f.inForce.Load().configuration
}

// Offer puts a configuration in force if its revision is higher than that in
// force, and reports whether it did. One of the same revision with other
// contents is counted and logged as corruption, and not taken. Until Run has
// asked the platform and peers, the highest offer is held back.
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

// held returns the configuration in force, or while Run is still starting the
// newest offer.
func (f *Follower) held() *document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heldLocked()
}

// heldLocked is held for callers that hold mu.
func (f *Follower) heldLocked() *document {
	if !f.started {
		return f.staged
	}
	return f.inForce.Load()
}

// Digest returns that of the configuration held.
func (f *Follower) Digest() Digest {
	return f.held().digest
}

// putInForce puts a configuration in force. The caller holds mu.
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

// recordRejectedOffer reports a configuration of the held revision that is not the held
// one.
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
		Msg("configuration with the revision in force but other contents was not taken")
}

func corruptions() *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_configuration_corruptions_total`)
}

// Subscribe returns a channel that holds the newest configuration in force
// which the subscriber has not yet received, and a function that ends the
// subscription.
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

// replaceValue puts configuration in a subscriber's channel in place of an older
// one. The caller is the only sender.
func replaceValue(subscriber chan *state.Configuration, configuration *state.Configuration) {
	select {
	case <-subscriber:
	default:
	}
	subscriber <- configuration
}
