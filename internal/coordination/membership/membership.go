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

// ErrEmptyList says that the platform's list names nobody, not even this
// instance. It is not believed: every instance would take itself for the owner
// of every backend server.
var ErrEmptyList = errors.New("the list of instances is empty")

// forgetAfter is how long evidence about an instance that the list does not
// name is kept.
const forgetAfter = 10 * time.Minute

// Lister reads the platform's list of instances.
type Lister interface {
	List(ctx context.Context) ([]state.Instance, error)
}

// Config sets a Membership up. Zero durations mean the defaults above.
type Config struct {
	Self state.Instance
	// Seeds are peers known from settings. They count until the list has
	// been read once.
	Seeds  []state.Instance
	Lister Lister
	// ListInterval is the mean pause between reads of the list.
	ListInterval time.Duration
	// ListTimeout bounds one read of the list.
	ListTimeout time.Duration
	// MinSuspicion is how long an instance is suspected after one failure. It
	// doubles with each further failure, up to MaxSuspicion, and is drawn
	// from the upper half of that.
	MinSuspicion time.Duration
	MaxSuspicion time.Duration
	// Random draws jitter; nil means a generator with a random seed.
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

// Membership is one process's view of all instances. Safe for concurrent use.
// Its mutex guards all that is below it, and is not held during a List.
type Membership struct {
	config Config

	mu       sync.Mutex
	self     state.Instance
	random   *rand.Rand
	listed   []state.Instance // of the last list; the seeds before
	evidence map[state.InstanceID]*evidence
	listedAt time.Time // of the last list; zero before
	listErr  error     // of the last read
	// view is what Owners chooses from, without suspects whose time is not
	// up. It is rebuilt when something changed or when expires is past.
	view    *view
	expires time.Time
}

// New returns a membership that knows itself and the seeds. Run keeps it up to
// date.
func New(config Config) *Membership {
	config = config.withDefaults()
	return &Membership{
		config: config, self: config.Self, random: config.Random,
		listed:   withoutSelf(config.Seeds, config.Self.ID),
		evidence: make(map[state.InstanceID]*evidence),
	}
}

// Run reads the list until ctx ends. A read that fails leaves the view as it is.
func (m *Membership) Run(ctx context.Context) {
	for {
		_ = m.Refresh(ctx) // recorded for the dump; the next read may succeed
		select {
		case <-time.After(m.pause()):
		case <-ctx.Done():
			return
		}
	}
}

// pause is the time to the next read: the interval with a quarter of jitter
// both ways, so that the instances' reads spread out.
func (m *Membership) pause() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	spread := m.config.ListInterval / 2
	return m.config.ListInterval - spread/2 + time.Duration(m.random.Int64N(int64(spread)+1))
}

// Refresh reads the list once. Where it fails, the list before stays in use.
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
		m.config.Logger.Debug().Err(err).Msg("instance list not read")
		return err
	}
	m.listedAt = time.Now()
	m.merge(listed)
	return nil
}

// merge takes a list over. An instance keeps the highest incarnation that was
// ever seen of it: an entry with an earlier one is out of date. Called with mu
// held.
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
		m.about(instance.ID, instance.Incarnation)
	}
	m.forget()
	if !slices.Equal(before, m.listed) {
		m.view = nil
	}
}

// newer returns the instance of the later incarnation, the second when equal.
func newer(a, b state.Instance) state.Instance {
	if a.ID != "" && a.Incarnation > b.Incarnation {
		return a
	}
	return b
}

// SetLeaving marks this instance as leaving, from the start of its graceful
// stop.
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
// suspected, in random order. Its cost is in proportion to n.
func (m *Membership) SamplePeers(n int, random *rand.Rand) []state.Instance {
	return m.current().sample(n, random)
}

// Owners returns the first three instances that may own the database, most
// preferred first: by rendezvous hash among those of its data centre, then
// among the others. Leaving and suspected instances are left out; this
// instance is never suspected. The slice must not be changed. A second call
// for a database costs one look-up while the view stays the same.
func (m *Membership) Owners(database state.Database) []state.Instance {
	return m.current().owners(database)
}

// Owner returns the first of Owners. It reports false when every instance is
// leaving.
func (m *Membership) Owner(database state.Database) (state.Instance, bool) {
	return m.current().owner(database)
}

// current returns the view, rebuilt where evidence or time changed it.
func (m *Membership) current() *view {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.view == nil || (!m.expires.IsZero() && !now.Before(m.expires)) {
		m.rebuild(now)
	}
	return m.view
}

// rebuild makes the view and finds when the next suspicion ends. Called with
// mu held.
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
