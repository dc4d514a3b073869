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
	Warning(id state.DatabaseID)
	Degraded(id state.DatabaseID) bool
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
	Link *rowstore.Availability
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
	// failingSince is when the first of them ended.
	failingSince state.Instant
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

func ask(now chan<- struct{}) {
	select {
	case now <- struct{}{}:
	default:
	}
}
