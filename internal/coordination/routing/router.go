package routing

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Topology looks up groups and their databases.
type Topology interface {
	Get(id state.GroupID) (state.Group, bool)
}

// Membership returns the instances that own a database's backend server, best
// first, and receives direct evidence of whether instances are reachable.
type Membership interface {
	Self() state.Instance
	Owners(database state.Database) []state.Instance
	ReportFailure(id state.InstanceID, incarnation state.Incarnation, err error)
	ReportSuccess(id state.InstanceID, incarnation state.Incarnation)
}

// Peers sends requests to other instances.
type Peers interface {
	Open(ctx context.Context, peer state.Instance, request execution.OpenRequest) (execution.Stream, error)
	Barrier(ctx context.Context, peer state.Instance, group state.GroupID) (state.Position, error)
}

// Local serves the requests for which this instance is the owner.
type Local interface {
	execution.Executor
	Barrier(ctx context.Context, group state.GroupID) (state.Position, error)
}

// Options are the router's time limits and other bounds.
type Options struct {
	// PrimaryWait bounds how long a write waits until a primary is known.
	PrimaryWait time.Duration
	// MaxPrimaryWaiters bounds how many writes on this instance wait for a
	// primary at the same time.
	MaxPrimaryWaiters int
	// RetryDelay is the mean pause between two rounds over a group's databases.
	RetryDelay time.Duration
	// BarrierTimeout bounds one request for a barrier, over all owners.
	BarrierTimeout time.Duration
	// OpenTimeout plus the request's queue timeout bounds the opening of a stream
	// on one database.
	OpenTimeout time.Duration
}

// DefaultOptions returns the options of a production instance.
func DefaultOptions() Options {
	return Options{
		PrimaryWait:       5 * time.Second,
		MaxPrimaryWaiters: 2000,
		RetryDelay:        50 * time.Millisecond,
		BarrierTimeout:    time.Second,
		OpenTimeout:       2 * time.Second,
	}
}

// Request describes the stream that a session needs.
type Request struct {
	Plan         state.PlanID
	Group        state.GroupID
	Access       execution.Access
	MinPosition  state.Position
	MaxAge       time.Duration
	QueueTimeout time.Duration
	Settings     []execution.Setting
	// Avoid is the database on which the previous attempt failed.
	Avoid state.DatabaseID
}

// Router opens streams for sessions.
//
// Lock order: Router.mu is a leaf lock. It guards the observations of groups and
// databases and is not held during input or output.
type Router struct {
	topology   Topology
	membership Membership
	peers      Peers
	local      Local
	options    Options
	waiters    chan struct{}

	mu        sync.Mutex
	primaries map[state.GroupID]state.DatabaseID
	databases map[state.DatabaseID]*databaseScore
	barriers  map[state.GroupID]*barrierBatch
}

// New returns a router.
func New(topology Topology, membership Membership, peers Peers, local Local, options Options) *Router {
	return &Router{
		topology: topology, membership: membership, peers: peers, local: local, options: options,
		waiters:   make(chan struct{}, options.MaxPrimaryWaiters),
		primaries: map[state.GroupID]state.DatabaseID{},
		databases: map[state.DatabaseID]*databaseScore{},
		barriers:  map[state.GroupID]*barrierBatch{},
	}
}

// Open returns a stream on a backend server that may run the request. An error
// is a *state.Failure with OutcomeNotRun.
func (r *Router) Open(ctx context.Context, request Request) (*Stream, error) {
	group, found := r.topology.Get(request.Group)
	if !found {
		return nil, state.NotRun(state.ReasonUnreachable, "find group", string(request.Group), r.options.PrimaryWait, nil)
	}
	if request.Access == execution.AccessRead {
		return r.openRead(ctx, group, request)
	}
	return r.openWrite(ctx, group, request)
}

// openAt opens a stream on one database through its owner and records the result.
func (r *Router) openAt(ctx context.Context, group state.Group, database state.Database, request Request) (*Stream, error) {
	open := execution.OpenRequest{
		Plan: request.Plan, Group: group.ID, Database: database.ID, Access: request.Access,
		MinPosition: request.MinPosition, MaxAge: request.MaxAge,
		QueueTimeout: request.QueueTimeout, Settings: request.Settings,
	}
	ctx, cancel := context.WithTimeout(ctx, request.QueueTimeout+r.options.OpenTimeout)
	defer cancel()
	started := time.Now()
	inner, err := r.openAtOwner(ctx, database, open)
	if err != nil {
		r.recordFailure(database.ID, err)
		return nil, err
	}
	r.recordOpened(database.ID)
	return &Stream{Stream: inner, Database: database.ID, MinPosition: request.MinPosition, router: r, started: started}, nil
}

// openAtOwner tries the owners of a database, best first. It tries the second
// owner only if the first one is unreachable.
func (r *Router) openAtOwner(ctx context.Context, database state.Database, open execution.OpenRequest) (execution.Stream, error) {
	const ownersTried = 2
	var lastErr error
	owners := r.membership.Owners(database)
	for _, owner := range owners[:min(ownersTried, len(owners))] {
		if owner.ID == r.membership.Self().ID {
			return r.local.Open(ctx, open)
		}
		stream, err := r.peers.Open(ctx, owner, open)
		if err == nil {
			r.membership.ReportSuccess(owner.ID, owner.Incarnation)
			return stream, nil
		}
		lastErr = err
		if !ownerUnreachable(err) {
			return nil, err
		}
		r.membership.ReportFailure(owner.ID, owner.Incarnation, err)
	}
	if lastErr == nil {
		lastErr = state.NotRun(state.ReasonUnreachable, "find owner", string(database.ID), r.options.RetryDelay, nil)
	}
	return nil, lastErr
}

// ownerUnreachable reports whether a peer could not be reached, as opposed to
// having refused the request.
func ownerUnreachable(err error) bool {
	failure, ok := state.AsFailure(err)
	if !ok {
		return true
	}
	return failure.Step == StepPeerDial || failure.Step == StepPeerOpen
}

// Steps of failures that mean that the peer itself could not be reached.
const (
	StepPeerDial = "peer dial"
	StepPeerOpen = "peer open"
)

// primaryOf returns the group's last known primary.
func (r *Router) primaryOf(group state.Group) state.DatabaseID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if primary, known := r.primaries[group.ID]; known {
		return primary
	}
	return group.Primary
}

func (r *Router) recordPrimary(group state.GroupID, primary state.DatabaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.primaries[group] = primary
}

// IsPrimary reports whether a database is the group's last known primary.
func (r *Router) IsPrimary(id state.GroupID, database state.DatabaseID) bool {
	group, found := r.topology.Get(id)
	return found && r.primaryOf(group) == database
}
