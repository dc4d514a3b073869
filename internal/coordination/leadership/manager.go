package leadership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Directory lists the registered groups and databases.
type Directory interface {
	Groups() []state.GroupID
	Servers(group state.GroupID) []directory.Entry
	Server(group state.GroupID, id state.DatabaseID) (directory.Entry, bool)
	// SyncReplicas returns how many replicas have received each acknowledged commit, as of
	// the given version of the configuration. known is false before the first one.
	SyncReplicas(group state.GroupID) (copies int, version uint64, known bool)
	// Missing returns the databases that may come back although they are not
	// registered.
	Missing(group state.GroupID) []directory.Missing
	// StalenessBound returns the tightest staleness bound of a group's routes.
	StalenessBound(group state.GroupID) (time.Duration, bool)
}

// Databases sends control queries to databases.
type Databases interface {
	// Probe requests a database's status to find out whether it replies. The error
	// is state.ErrNotProbed if no connection is available for the question.
	Probe(ctx context.Context, server state.Server) (state.ServerStatus, error)
	Status(ctx context.Context, server state.Server) (state.ServerStatus, error)
	StepDown(ctx context.Context, server state.Server, term state.Term) (state.ServerStatus, error)
}

// Promoter makes a database its group's primary. Its error is state.ErrNoAnswer if the
// call may still be carried out.
type Promoter interface {
	Promote(ctx context.Context, call state.PromotionCall) error
}

// Health tracks which databases respond.
type Health interface {
	RecordSuccess(id state.DatabaseID)
	RecordFailure(id state.DatabaseID)
	RecordWarning(id state.DatabaseID)
	Degraded(id state.DatabaseID) bool
	Suspected(id state.DatabaseID) bool
	SinceLastReply(id state.DatabaseID) time.Duration
}

// Renewals commits renewals of the lease, maybe together with those of others.
type Renewals interface {
	Transact(ctx context.Context, transaction rowstore.Transaction) (rowstore.Commit, error)
}

// Config holds the settings and dependencies of a manager.
type Config struct {
	Self    state.InstanceID
	Run     int64
	Options Options
	Store   rowstore.Store
	// Level is that of this build, stated in the instance's row.
	Level uint32
	// Renewals sends renewals to the store; nil stands for Store.
	Renewals Renewals
	// Availability records the result of each renewal.
	Availability *rowstore.Availability
	// WatchedRows returns the versions that this instance has seen of further
	// rows. If a renewal finds that one of them has changed, it calls
	// OnWatchedRowChange.
	WatchedRows        func() []rowstore.Condition
	OnWatchedRowChange func()
	// OnWatchedRowsCurrent, which may be nil, is called when a renewal that was sent
	// at the given time has found the rows unchanged.
	OnWatchedRowsCurrent func(sent state.Instant)
	// ConfigurationInForce returns the version of this instance's configuration if
	// others must not serve with an older one, otherwise 0. It may be nil.
	ConfigurationInForce func() uint64
	// OnPrimaryPosition is called with the position in a primary's reply to a
	// probe that was sent at requestedAt under a valid lease.
	OnPrimaryPosition func(group state.GroupID, requestedAt state.Instant, position state.Position)
	// MarksInUse reports whether all instances state in the rows of replica sets of which
	// databases they hear, so that those of which nobody does may be marked as gone.
	MarksInUse func() bool
	// PositionAfter returns a position that a group's primary had at a later time than
	// the given one, if one is known.
	PositionAfter func(group state.GroupID, since state.Instant) (state.Position, bool)
	// Acknowledged returns a position up to which this instance has seen all commits of a
	// group acknowledged.
	Acknowledged func(group state.GroupID) state.Position
	Directory    Directory
	Databases    Databases
	Promoter     Promoter
	Health       Health
	// Demand returns the recent demand for connections of each group, in tenths
	// of a connection; Demand is nil if all instances get equal shares.
	Demand func() map[state.GroupID]uint16
	// Messenger sends messages to other instances; Address is the address at
	// which this one receives them.
	Messenger Messenger
	Address   string
	// DataCentre is this instance's. The instances that watch a group are spread
	// over the data centres.
	DataCentre state.DataCentre
	Clock      state.Clock
	Log        zerolog.Logger
}

// Manager holds the records of all groups' primaries and this instance's lease,
// and grants the use of primaries.
type Manager struct {
	Config
	runName string

	mu      sync.Mutex
	groups  map[state.GroupID]*group
	members members
	// probing holds the databases with a running query of probeOnce.
	probing map[state.DatabaseID]bool
	// nextProbe is the earliest time of the next probe of a database.
	nextProbe map[state.DatabaseID]state.Instant
	// membersSettled is set once the instances' rows have been read long enough
	// after this run joined that instances started with it are among them.
	membersSettled bool
	lease          lease
	// era is the era of the store to which all versions belong.
	era era
	// generation is the version of the newest change of a primary received from
	// the store; all earlier changes have been seen too.
	generation uint64
	// rowVersion is the version of this instance's row as it wrote or read it last.
	rowVersion    uint64
	confirmations confirmations
	duty          duty
	// promoters holds, for each run that announced changes of primary lately, until when
	// an announcement stood, as far as is known.
	promoters map[string]state.Instant
	// replicaSets holds what is known of groups in which replicas acknowledge commits.
	replicaSets map[state.GroupID]*knownReplicaSet
	// startedAt is when this run began.
	startedAt state.Instant
	// dutyTurn holds a value while a change reads or writes the duty's row.
	dutyTurn chan struct{}
	// lastCall numbers the promotion calls.
	lastCall   uint64
	heartbeats uint64
	// renewalFailures counts consecutive failures to renew the lease.
	renewalFailures int
	// collectedAt is when the last renewal that another instance sent was offered.
	collectedAt state.Instant
	// renewing is set while this instance renews by itself. offeredAt is when the first
	// renewal was offered whose result is not known; zero if there is none.
	renewing  bool
	offeredAt state.Instant
	// failingSince is when the first of these attempts returned.
	failingSince state.Instant
	// joined is when this run first wrote its row, on the store's clock.
	joined     int64
	continuity continuity
	// changed is closed and replaced at each change of a record or the lease.
	changed chan struct{}
	// heartbeatNow triggers an immediate heartbeat.
	heartbeatNow chan struct{}
	// readMembersNow triggers an immediate read of the instances' rows.
	readMembersNow chan struct{}
	// left is set once this instance removes its row; later renewals count no more.
	left bool
	// ready is set once the primaries' table has been read.
	ready bool
}

// group is the state of one group's primary.
type group struct {
	record Record
	// version is the version of the group's row; 0 while no row exists or none was
	// read in this era.
	version uint64
	// unsaved is set if the store holds an older record or none.
	unsaved bool
	seenAt  state.Instant
	grants  map[*Grant]struct{}
	// acknowledged is the newest epoch whose old primary this instance no longer
	// uses; revoking is the newest epoch whose revocation has started.
	acknowledged, revoking uint64
	suspected              bool
	// doubted is set if a database that was used as primary refused to be one, until
	// a probe has asked it. demoted is set if it then reported itself as replica.
	doubted, demoted bool
	dueSince         state.Instant
	// changingSince is when the change in progress was first seen.
	changingSince state.Instant
	// ineffective is the last promotion without effect of the change in progress, by this
	// instance or by an earlier holder of the duty.
	ineffective ineffectivePromotion
	// accepted is the last promotion call that the platform accepted and whose effect
	// was not seen yet; nil if there is none.
	accepted *promotionCall
	// expected is the last expectation of a promoter.
	expected expectation
	// running is set while this instance carries out a change.
	running bool
}

// ineffectiveIn returns the database whose promotion did not take effect in the change of a
// primary of the given term, empty if none is known. The caller must hold Manager.mu.
func (g *group) ineffectiveIn(oldTerm state.Term) state.DatabaseID {
	if g.ineffective.Term != oldTerm {
		return ""
	}
	return g.ineffective.Database
}

// New returns a manager, which is inactive until Run is called.
func New(config Config) *Manager {
	return &Manager{
		Config: config, runName: nameOfRun(config.Self, config.Run),
		groups: make(map[state.GroupID]*group), changed: make(chan struct{}),
		heartbeatNow: make(chan struct{}, 1), readMembersNow: make(chan struct{}, 1), members: newMembers(config.Self, config.DataCentre),
		promoters: make(map[string]state.Instant), replicaSets: make(map[state.GroupID]*knownReplicaSet), startedAt: config.Clock.Now(),
		confirmations: confirmations{nonce: 1 + rand.Uint64N(1<<62)}, duty: duty{lastCalled: make(map[state.GroupID]state.DatabaseID)}, dutyTurn: make(chan struct{}, 1), probing: make(map[state.DatabaseID]bool), nextProbe: make(map[state.DatabaseID]state.Instant),
	}
}

// nameOfRun returns the name by which records refer to one run of an instance.
func nameOfRun(instance state.InstanceID, run int64) string {
	return fmt.Sprintf("%s#%d", instance, run)
}

// UnavailableError is the error for a group whose primary may not be used now.
type UnavailableError struct {
	Group  state.GroupID
	Reason state.Reason
	// Age is how long the primary has been unavailable.
	Age time.Duration
	// Epoch is the epoch of the newest record seen.
	Epoch uint64
	// Left is how long the promoter expects the change of primary to last, 0 if that
	// is not known.
	Left time.Duration
}

// Error returns the group, the reason and the age.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("primary of group %s: %s for %s", e.Group, e.Reason, e.Age.Round(time.Millisecond))
}

// Changed returns a channel that is closed at the next change of a record, of the
// lease or of the registrations, after which Acquire may return a different result.
func (m *Manager) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// RegistrationsChanged wakes those who wait on Changed: the primary of a group that was
// never changed follows from the registrations.
func (m *Manager) RegistrationsChanged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.broadcast()
}

// Acquire grants the use of a group's primary. Its error is always an
// *UnavailableError.
func (m *Manager) Acquire(id state.GroupID) (*Grant, error) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(id)
	if !m.lease.valid(now) {
		return nil, &UnavailableError{Group: id, Reason: state.ReasonPlatform, Age: m.lease.expiredFor(now), Epoch: g.record.Epoch}
	}
	if g.record.Changing {
		return nil, &UnavailableError{Group: id, Reason: state.ReasonNoPrimary, Age: now.Sub(g.seenAt), Epoch: g.record.Epoch, Left: g.expectedLeft(now)}
	}
	primary, ok := m.primaryOf(id, g)
	if !ok {
		return nil, &UnavailableError{Group: id, Reason: state.ReasonNoPrimary, Epoch: g.record.Epoch}
	}
	grant := &Grant{manager: m, Group: id, Epoch: g.record.Epoch, Primary: primary}
	g.grants[grant] = struct{}{}
	return grant, nil
}

// group returns the state of a group, which it creates if necessary. The caller
// must hold m.mu.
func (m *Manager) group(id state.GroupID) *group {
	g, ok := m.groups[id]
	if !ok {
		g = &group{grants: make(map[*Grant]struct{})}
		m.groups[id] = g
	}
	return g
}

// primaryOf returns a group's primary. A group without a row has never had its
// primary changed; its primary is then the only database that reports itself as
// primary. The caller must hold m.mu.
func (m *Manager) primaryOf(id state.GroupID, g *group) (state.DatabaseID, bool) {
	if g.record.Epoch != 0 {
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

// signal wakes the receiver of a buffered channel. It never blocks.
func signal(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
