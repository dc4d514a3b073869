package leadership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Directory is what is registered.
type Directory interface {
	Groups() []state.GroupID
	Servers(group state.GroupID) []directory.Entry
	Server(group state.GroupID, id state.DatabaseID) (directory.Entry, bool)
}

// Databases asks databases directly.
type Databases interface {
	Status(ctx context.Context, server state.Server) (state.ServerStatus, error)
	StepDown(ctx context.Context, server state.Server, term state.Term) (state.ServerStatus, error)
}

// Promoter makes a database its group's primary.
type Promoter interface {
	Promote(ctx context.Context, group state.GroupID, database state.DatabaseID, holder state.InstanceID, token uint64) error
}

// Health tells which databases answer.
type Health interface {
	Success(id state.DatabaseID)
	Failure(id state.DatabaseID)
	Doubt(id state.DatabaseID)
	Doubted(id state.DatabaseID) bool
	Suspected(id state.DatabaseID) bool
	SilentFor(id state.DatabaseID) time.Duration
}

// Config are the parts that a manager works with.
type Config struct {
	Self    state.InstanceID
	Run     int64
	Options Options
	Store   rowstore.Store
	// Link is told of the result of each renewal.
	Link *rowstore.Link
	// Followed returns further rows, as this instance knows them, whose change
	// a renewal is to notice; Outdated is told that one has changed.
	Followed  func() []rowstore.Condition
	Outdated  func()
	Directory Directory
	Databases Databases
	Promoter  Promoter
	Health    Health
	// Demand returns what each group's connections were lately needed for, in
	// tenths of a connection; nil where shares are equal.
	Demand func() map[state.GroupID]uint16
	// Messenger reaches other instances; Address is where they reach this
	// one.
	Messenger Messenger
	Address   string
	Clock     state.Clock
	Log       zerolog.Logger
}

// Manager holds what this instance knows of the primaries.
type Manager struct {
	Config
	runName string

	mu      sync.Mutex
	groups  map[state.GroupID]*group
	members members
	// probing holds the databases that are being asked by probeOnce.
	probing map[state.DatabaseID]bool
	// probedAt is when a doubted replica was last probed.
	probedAt map[state.DatabaseID]state.Instant
	lease    lease
	// generation is the version of the newest change of a primary that the
	// store has told; all changes before it have been seen too.
	generation uint64
	vouches    vouches
	duty       duty
	beats      uint64
	// renewalFailures counts the failures to renew the lease in a row.
	renewalFailures int
	// failingSince is when the first of them ended, supportedAt when half of
	// the instances last answered.
	failingSince, supportedAt state.Instant
	// joined is when this run first wrote its row, on the store's clock.
	joined int64
	// changed is closed and replaced at each change of a record or the lease.
	changed chan struct{}
	// beatNow asks for a renewal at once.
	beatNow chan struct{}
	// readNow asks for the instances' rows at once.
	readNow chan struct{}
	// ready is set once the primaries' table has been read.
	ready bool
}

// group is what is known of one group's primary.
type group struct {
	record Record
	// version is the row's; 0 while no row exists.
	version uint64
	seenAt  state.Instant
	grants  map[*Grant]struct{}
	// acknowledged is the newest epoch whose old primary is no longer used
	// here; revoking is the one being given up.
	acknowledged, revoking uint64
	suspected              bool
	suspectedAt            state.Instant
	// changingSince is when the change that is under way was first seen.
	changingSince state.Instant
	// running is set while this instance carries out a change.
	running bool
}

// New returns a manager. Nothing runs before Run.
func New(config Config) *Manager {
	return &Manager{
		Config: config, runName: nameOfRun(config.Self, config.Run),
		groups: make(map[state.GroupID]*group), changed: make(chan struct{}),
		beatNow: make(chan struct{}, 1), readNow: make(chan struct{}, 1), members: newMembers(),
		probing: make(map[state.DatabaseID]bool), probedAt: make(map[state.DatabaseID]state.Instant),
	}
}

// nameOfRun names a run of an instance in records.
func nameOfRun(instance state.InstanceID, run int64) string {
	return fmt.Sprintf("%s#%d", instance, run)
}

// Unavailable is the error of a group whose primary may not be used now.
type Unavailable struct {
	Group  state.GroupID
	Reason state.Reason
	// Age is how long this has been so.
	Age time.Duration
	// Epoch is that of the newest record seen.
	Epoch uint64
}

// Error gives group, reason and age.
func (e *Unavailable) Error() string {
	return fmt.Sprintf("primary of group %s: %s for %s", e.Group, e.Reason, e.Age.Round(time.Millisecond))
}

// Changed returns a channel that is closed at the next change of what Acquire
// depends on.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Primary returns the primary that the newest record names, whether or not it
// may be used now.
func (m *Manager) Primary(id state.GroupID) (state.DatabaseID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primaryOf(id, m.group(id))
}

// Ready reports whether this instance has had the lease, so that it may be
// asked for primaries.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease.based && m.members.now > 0
}

// Start returns the position at which the present primary's reign began.
func (m *Manager) Start(id state.GroupID) state.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group(id).record.Start
}

// Members returns how many instances may be using databases, at least 1. An
// instance that is cut off from the store counts for as long as its lease may
// last.
func (m *Manager) Members() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.live(m.Options.LongestLease)
}

// DemandOf returns how many instances may be using a group's databases, and how
// much of the demand for them is this instance's.
func (m *Manager) DemandOf(id state.GroupID) (instances, own, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	within := m.Options.LongestLease
	own, all = m.members.demand(m.Self, id, within)
	return m.members.live(within), own, all
}

// StoreOffsets bounds the difference between the store's clock and the local
// one.
func (m *Manager) StoreOffsets() (lower, upper time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	upper, known = m.lease.clock.atMost(0)
	return m.lease.clock.atLeast(0), upper, known
}

// Reaching returns the addresses of the other instances that can use a group's
// primary, as far as is known here.
func (m *Manager) Reaching(id state.GroupID) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.reaching(m.Self, id, m.group(id).record.Epoch, reachingWithin)
}

// Peers returns the addresses of the other instances.
func (m *Manager) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerAddresses()
}

// Acquire grants the use of a group's primary. The error is an *Unavailable.
func (m *Manager) Acquire(id state.GroupID) (*Grant, error) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(id)
	if !m.lease.valid(now) {
		return nil, &Unavailable{Group: id, Reason: state.ReasonPlatform, Age: m.lease.lapsedFor(now), Epoch: g.record.Epoch}
	}
	if g.record.Changing {
		return nil, &Unavailable{Group: id, Reason: state.ReasonNoPrimary, Age: now.Sub(g.seenAt), Epoch: g.record.Epoch}
	}
	primary, ok := m.primaryOf(id, g)
	if !ok {
		return nil, &Unavailable{Group: id, Reason: state.ReasonNoPrimary, Epoch: g.record.Epoch}
	}
	grant := &Grant{manager: m, Group: id, Epoch: g.record.Epoch, Primary: primary}
	g.grants[grant] = struct{}{}
	return grant, nil
}

// group must be called with the lock held.
func (m *Manager) group(id state.GroupID) *group {
	g, ok := m.groups[id]
	if !ok {
		g = &group{grants: make(map[*Grant]struct{})}
		m.groups[id] = g
	}
	return g
}

// primaryOf must be called with the lock held. Without a row no change was
// ever made, so the one database that reports itself as primary is it.
func (m *Manager) primaryOf(id state.GroupID, g *group) (state.DatabaseID, bool) {
	if g.version != 0 {
		return g.record.Primary, true
	}
	var found state.DatabaseID
	for _, server := range m.Directory.Servers(id) {
		if server.Role != state.RolePrimary {
			continue
		}
		if found != "" {
			return "", false
		}
		found = server.ID
	}
	return found, found != ""
}

// Apply takes over changes of TablePrimaries.
func (m *Manager) Apply(update rowstore.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range update.Rows {
		m.applyRow(row, update.Answered)
		m.generation = max(m.generation, row.Version)
	}
	m.lease.clock.observe(update.Asked, update.Answered, update.Now)
	m.lease.seen = max(m.lease.seen, update.Version)
	m.ready = true
	m.broadcast()
}

// applyRow must be called with the lock held.
func (m *Manager) applyRow(row rowstore.Row, now state.Instant) {
	id := state.GroupID(row.Key)
	g := m.group(id)
	if row.Removed || row.Version <= g.version {
		return
	}
	var record Record
	if err := decode(row.Key, row.Value, &record); err != nil {
		m.Log.Error().Err(err).Str("group", row.Key).Msg("primary's record can't be read, the primary is not used")
		record = Record{Epoch: g.record.Epoch + 1, Changing: true, Primary: g.record.Primary}
	}
	m.applyRecord(id, record, row.Version, now)
}

// applyRecord must be called with the lock held.
func (m *Manager) applyRecord(id state.GroupID, record Record, version uint64, now state.Instant) {
	g := m.group(id)
	if version <= g.version {
		return
	}
	if record.Changing && !g.record.Changing {
		g.changingSince = now
	}
	g.record, g.version, g.seenAt, g.suspected = record, version, now, false
	m.Log.Info().Str("group", string(id)).Uint64("epoch", record.Epoch).Bool("changing", record.Changing).Bool("planned", record.Planned).
		Str("primary", string(record.Primary)).Str("promoter", record.Promoter).Int("grants", len(g.grants)).Msg("primary's record changed")
	if record.Changing && record.Epoch > max(g.acknowledged, g.revoking) {
		g.revoking = record.Epoch
		go m.revoke(id, record.Epoch, record.Planned)
	}
}

// broadcast must be called with the lock held.
func (m *Manager) broadcast() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// revoke gives up the old primary's grants and then acknowledges the epoch.
func (m *Manager) revoke(id state.GroupID, epoch uint64, planned bool) {
	if planned {
		m.awaitRelease(id)
	}
	m.mu.Lock()
	g := m.group(id)
	closers := make([]func(), 0, len(g.grants))
	for grant := range g.grants {
		if closer := grant.revoke(); closer != nil {
			closers = append(closers, closer)
		}
		delete(g.grants, grant)
	}
	m.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
	m.mu.Lock()
	g.acknowledged = max(g.acknowledged, epoch)
	m.mu.Unlock()
	m.Log.Info().Str("group", string(id)).Uint64("epoch", epoch).Int("closed", len(closers)).Msg("old primary given up")
	m.askBeat()
}

// awaitRelease waits until no grant of a group is left, or Options.PlannedDrain.
func (m *Manager) awaitRelease(id state.GroupID) {
	deadline := m.Clock.Now().Add(m.Options.PlannedDrain)
	for m.Clock.Now() < deadline {
		m.mu.Lock()
		left := len(m.group(id).grants)
		m.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(acknowledgementInterval)
	}
}

func (m *Manager) askBeat() {
	ask(m.beatNow)
}

func ask(now chan<- struct{}) {
	select {
	case now <- struct{}{}:
	default:
	}
}

// Status is what the dump shows of a group.
type Status struct {
	Group    state.GroupID    `json:"group"`
	Epoch    uint64           `json:"epoch"`
	Changing bool             `json:"changing"`
	Primary  state.DatabaseID `json:"primary"`
	Grants   int              `json:"grants"`
}

// Snapshot returns the state of all groups and how long the lease still runs.
func (m *Manager) Snapshot() (groups []Status, leaseLeft time.Duration) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.Directory.Groups() {
		g := m.group(id)
		primary, _ := m.primaryOf(id, g)
		groups = append(groups, Status{Group: id, Epoch: g.record.Epoch, Changing: g.record.Changing, Primary: primary, Grants: len(g.grants)})
	}
	return groups, m.lease.left(now)
}
