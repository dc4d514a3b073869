package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Defaults of Config.
const (
	DefaultListInterval = 5 * time.Second
	DefaultListTimeout  = 2 * time.Second
	DefaultMinSuspicion = 250 * time.Millisecond
	DefaultMaxSuspicion = 30 * time.Second
)

// ErrEmptyList says that the platform's list has no entry, not even this
// instance. Such a list is rejected: with it, every instance would act as the
// owner of every backend server.
var ErrEmptyList = errors.New("the list of instances is empty")

// evidenceRetention is how long evidence on an instance is kept after the
// instance was last listed or reported.
const evidenceRetention = 10 * time.Minute

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]state.Instance, error)
}

// Config configures a Membership. Zero durations mean the defaults above.
type Config struct {
	Self state.Instance
	// Seeds are peers known from settings. They are used until the list has
	// been read for the first time.
	Seeds  []state.Instance
	Lister Lister
	// ListInterval is the mean pause between reads of the list.
	ListInterval time.Duration
	// ListTimeout bounds one read of the list.
	ListTimeout time.Duration
	// MinSuspicion is the longest time for which an instance is suspected
	// after one failure. It doubles with each consecutive failure, up to
	// MaxSuspicion. The actual time is random, between half of that and all
	// of it.
	MinSuspicion time.Duration
	MaxSuspicion time.Duration
	// Random is the source of jitter; nil means a generator with a random
	// seed.
	Random *rand.Rand
	Logger zerolog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.ListInterval, DefaultListInterval)
	setDefault(&c.ListTimeout, DefaultListTimeout)
	setDefault(&c.MinSuspicion, DefaultMinSuspicion)
	setDefault(&c.MaxSuspicion, DefaultMaxSuspicion)
	if c.Random == nil {
		c.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Membership is one process's view of all instances. It is safe for concurrent
// use. Its mutex protects the fields below it, and is not held during a List.
type Membership struct {
	config Config

	mu       sync.Mutex
	self     state.Instance
	random   *rand.Rand
	listed   []state.Instance // the last list; before the first, the seeds
	evidence map[state.InstanceID]*evidence
	listedAt time.Time // when the last list was read; zero before the first
	listErr  error     // result of the last read
	// view holds the instances that Owners selects from: neither leaving nor
	// currently suspected. It is nil after a change, and is rebuilt then or
	// after the time expires, when the next suspicion ends.
	view    *view
	expires time.Time
}

// New returns a Membership of this instance and the seeds. Run keeps it up to
// date.
func New(config Config) *Membership {
	config = config.withDefaults()
	return &Membership{
		config: config, self: config.Self, random: config.Random,
		listed:   withoutSelf(config.Seeds, config.Self.ID),
		evidence: make(map[state.InstanceID]*evidence),
	}
}

// Run reads the list periodically until ctx ends. A read that fails leaves the
// view unchanged.
func (m *Membership) Run(ctx context.Context) {
	for {
		_ = m.Refresh(ctx) // the error is recorded for the dump
		select {
		case <-time.After(m.pause()):
		case <-ctx.Done():
			return
		}
	}
}

// pause returns the time until the next read: ListInterval with a jitter of up
// to a quarter either way, so that the reads of all instances spread out.
func (m *Membership) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	spread := m.config.ListInterval / 2
	return m.config.ListInterval - spread/2 + time.Duration(m.random.Int64N(int64(spread)+1))
}

// Refresh reads the list once. If that fails, the previous list stays in use.
func (m *Membership) Refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.ListTimeout)
	defer cancel()
	listed, err := m.config.Lister.List(ctx)
	if err == nil && len(listed) == 0 {
		err = ErrEmptyList
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listErr = err
	if err != nil {
		m.config.Logger.Debug().Err(err).Msg("failed to read the list of instances")
		return err
	}
	m.listedAt = time.Now()
	m.merge(listed)
	return nil
}

// merge replaces the current list by a new one. An entry with an earlier
// incarnation than the current list has is out of date, and the current entry
// is kept in its place. Called with mu held.
func (m *Membership) merge(listed []state.Instance) {
	known := make(map[state.InstanceID]state.Instance, len(m.listed))
	for _, instance := range m.listed {
		known[instance.ID] = instance
	}
	merged := make(map[state.InstanceID]state.Instance, len(listed))
	for _, instance := range withoutSelf(listed, m.self.ID) {
		instance = newer(known[instance.ID], instance)
		merged[instance.ID] = newer(merged[instance.ID], instance)
	}
	before := m.listed
	m.listed = sortedInstances(merged)
	for _, instance := range m.listed {
		m.evidenceFor(instance.ID, instance.Incarnation)
	}
	m.dropExpiredEvidence()
	if !slices.Equal(before, m.listed) {
		m.view = nil
	}
}

// newer returns the instance with the later incarnation, or b when they are
// equal.
func newer(a, b state.Instance) state.Instance {
	if a.ID != "" && a.Incarnation > b.Incarnation {
		return a
	}
	return b
}

// SetLeaving marks this instance as leaving. It is called at the start of a
// graceful stop.
func (m *Membership) SetLeaving() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.self.Leaving = true
	m.view = nil
}

// Self returns this instance.
func (m *Membership) Self() state.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Peers returns all other instances that are listed and not leaving, suspected
// or not, sorted by id.
func (m *Membership) Peers() []state.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	var peers []state.Instance
	for _, instance := range m.listed {
		if !m.isLeaving(instance) {
			peers = append(peers, instance)
		}
	}
	return peers
}

// SamplePeers returns up to n distinct peers that are neither leaving nor
// suspected, in random order. Its cost is proportional to n.
func (m *Membership) SamplePeers(n int, random *rand.Rand) []state.Instance {
	return m.current().sample(n, random)
}

// Owners returns the three most preferred owners of the database, the most
// preferred first. Instances in the database's data centre come before all
// others, and within each set the rendezvous hash decides. Leaving and
// suspected instances are excluded; this instance is never suspected. The
// slice must not be modified. Further calls for a database cost one look-up
// until the view changes.
func (m *Membership) Owners(database state.Database) []state.Instance {
	return m.current().owners(database)
}

// Owner returns the first of Owners. It reports false when every instance is
// leaving.
func (m *Membership) Owner(database state.Database) (state.Instance, bool) {
	return m.current().owner(database)
}

// current returns the view. It rebuilds the view first if a change discarded it
// or a suspicion has ended.
func (m *Membership) current() *view {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.view == nil || (!m.expires.IsZero() && !now.Before(m.expires)) {
		m.rebuild(now)
	}
	return m.view
}

// rebuild creates the view and determines when the next suspicion ends. Called
// with mu held.
func (m *Membership) rebuild(now time.Time) {
	var candidates []state.Instance
	if !m.self.Leaving {
		candidates = append(candidates, m.self)
	}
	m.expires = time.Time{}
	for _, instance := range m.listed {
		if m.isLeaving(instance) {
			continue
		}
		until := m.suspectedUntil(instance)
		if !until.After(now) {
			candidates = append(candidates, instance)
			continue
		}
		if m.expires.IsZero() || until.Before(m.expires) {
			m.expires = until
		}
	}
	m.view = newView(m.self.ID, candidates)
}
