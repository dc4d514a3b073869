package execution

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Options are the owner's bounds. All must be above zero.
type Options struct {
	// DialTimeout bounds the opening of a backend connection.
	DialTimeout time.Duration
	// AcknowledgeTimeout bounds the wait for a majority to hold a write. When
	// it passes, the outcome of the write is unknown.
	AcknowledgeTimeout time.Duration
	// CatchUpTimeout bounds the wait for a replica that is behind the floor.
	CatchUpTimeout time.Duration
	// SilenceTimeout is the time without a message after which the backend
	// server is asked whether the statement still runs, and the bound of that
	// question. A silent connection is given up after four times this.
	SilenceTimeout time.Duration
	// RetryAfter is what callers are told where nothing better is known.
	RetryAfter time.Duration
}

// replacedInterval is the time between two looks at whether a database that is
// slow to open a connection is still the primary.
const replacedInterval = 50 * time.Millisecond

// DefaultOptions returns the bounds of a production instance.
func DefaultOptions() Options {
	return Options{
		DialTimeout:        2 * time.Second,
		AcknowledgeTimeout: 3 * time.Second,
		CatchUpTimeout:     30 * time.Millisecond,
		SilenceTimeout:     500 * time.Millisecond,
		RetryAfter:         500 * time.Millisecond,
	}
}

// ServerConfig are what the owner of one backend server works with.
type ServerConfig struct {
	Database state.Database
	Gate     Gate
	Pacer    Pacer
	// Probe tells a silent connection from a long statement. Without it,
	// silence is not noticed.
	Probe ActivityProbe
	// Terminate ends a connection that was found silent on the server's side
	// too. Without it, the server keeps the connection's locks until it gives
	// the connection up by itself.
	Terminate Terminator
}

// Owner runs requests on the backend servers of groups. It is the Executor of
// its own instance, and the one that peers reach over the peer link.
//
// Lock order: Owner.mu, then the mutex of a pool or gate. No lock is held
// while input or output is done.
type Owner struct {
	options Options
	dialer  Dialer

	mu     sync.RWMutex
	groups map[state.GroupID]*ownedGroup
}

type ownedGroup struct {
	replication Replication
	servers     map[state.DatabaseID]*server
}

type server struct {
	ServerConfig
	pool *pool
}

// NewOwner returns an owner that serves no group yet.
func NewOwner(dialer Dialer, options Options) *Owner {
	return &Owner{options: options, dialer: dialer, groups: map[state.GroupID]*ownedGroup{}}
}

// SetGroup starts to serve a group, or replaces what was known of it.
// Connections of backend servers that stay are kept.
func (o *Owner) SetGroup(id state.GroupID, replication Replication, parts []ServerConfig) {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.groups[id]
	group := &ownedGroup{replication: replication, servers: map[state.DatabaseID]*server{}}
	for _, part := range parts {
		group.servers[part.Database.ID] = o.serverFor(previous, part)
	}
	o.groups[id] = group
}

func (o *Owner) serverFor(previous *ownedGroup, part ServerConfig) *server {
	if previous != nil {
		kept, found := previous.servers[part.Database.ID]
		if found && kept.Database.Address == part.Database.Address {
			return &server{ServerConfig: part, pool: kept.pool}
		}
	}
	return &server{ServerConfig: part, pool: newPool(part.Database, o.dialer, part.Pacer)}
}

// RemoveGroup stops to serve a group. Streams that are open go on to their end.
func (o *Owner) RemoveGroup(id state.GroupID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	group, found := o.groups[id]
	if !found {
		return
	}
	delete(o.groups, id)
	for _, server := range group.servers {
		server.pool.close()
	}
}

// Close closes all idle connections; connections in use are closed when
// their streams are.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, group := range o.groups {
		for _, server := range group.servers {
			server.pool.close()
		}
	}
}

// ServerSnapshot is the dump of one backend server's connections.
type ServerSnapshot struct {
	Group    state.GroupID    `json:"group"`
	Database state.DatabaseID `json:"database"`
	Open     int              `json:"open_connections"`
	Idle     int              `json:"idle_connections"`
}

// Snapshot lists the connections held, for the state dump.
func (o *Owner) Snapshot() []ServerSnapshot {
	o.mu.RLock()
	defer o.mu.RUnlock()
	var snapshots []ServerSnapshot
	for id, group := range o.groups {
		for databaseID, server := range group.servers {
			open, idle := server.pool.counts()
			snapshots = append(snapshots, ServerSnapshot{Group: id, Database: databaseID, Open: open, Idle: idle})
		}
	}
	return snapshots
}

func (o *Owner) find(groupID state.GroupID, database state.DatabaseID) (*ownedGroup, *server, error) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	group, found := o.groups[groupID]
	if !found {
		return nil, nil, o.notRun(state.ReasonUnreachable, "find group", string(groupID), nil)
	}
	server, found := group.servers[database]
	if !found {
		return nil, nil, o.notRun(state.ReasonUnreachable, "find backend server", string(database), nil)
	}
	return group, server, nil
}

// Open implements Executor.
func (o *Owner) Open(ctx context.Context, request OpenRequest) (Stream, error) {
	group, server, err := o.find(request.Group, request.Database)
	if err != nil {
		return nil, err
	}
	if _, err := o.mayServe(ctx, group, request); err != nil {
		return nil, err
	}
	lease, err := server.Gate.AcquireConnection(ctx, request.Plan, request.QueueTimeout)
	if err != nil {
		return nil, err
	}
	conn, err := o.connect(ctx, group, server, request)
	if err != nil {
		lease.Release()
		return nil, err
	}
	stream := &ownerStream{
		using: make(chan struct{}, 1),
		owner: o, group: group, server: server, request: request,
		lease: lease, conn: conn, txStatus: txIdle,
	}
	stream.leave()
	return stream, nil
}

// connect takes a connection from the pool or opens one. A write does not wait
// for a primary that is no longer the primary: one that froze may never answer.
func (o *Owner) connect(ctx context.Context, group *ownedGroup, server *server, request OpenRequest) (*connection, error) {
	dialCtx, cancel := context.WithTimeout(ctx, o.options.DialTimeout)
	defer cancel()
	if request.Access == AccessWrite {
		defer o.cancelWhenReplaced(cancel, group, request.Database)()
	}
	conn, err := server.pool.get(dialCtx)
	if err != nil {
		return nil, o.notRun(state.ReasonUnreachable, "open backend connection", string(server.Database.ID), err)
	}
	return conn, nil
}

// cancelWhenReplaced calls cancel once another database is the primary. The
// caller calls stop when it no longer matters.
func (o *Owner) cancelWhenReplaced(cancel func(), group *ownedGroup, database state.DatabaseID) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(replacedInterval, func() {
		ticker := time.NewTicker(replacedInterval)
		defer ticker.Stop()
		for {
			if primary, _, known := group.replication.Primary(); known && primary != database {
				cancel()
				return
			}
			select {
			case <-ticker.C:
			case <-done:
				return
			}
		}
	})
	return func() {
		timer.Stop()
		close(done)
	}
}

// mayServe checks that the database may run the request now. Where the request
// states an age, freshUntil is when what is proven now will be older.
func (o *Owner) mayServe(ctx context.Context, group *ownedGroup, request OpenRequest) (freshUntil time.Time, err error) {
	if request.Access == AccessWrite {
		return time.Time{}, o.mustBePrimary(group, request.Database, request.MinPosition.Term)
	}
	if request.MaxAge > 0 {
		// The time is taken first, so that a pause in between counts as age.
		now := time.Now()
		age, known := group.replication.ProvenAge(request.Database)
		if !known || age > request.MaxAge {
			return time.Time{}, o.notRun(state.ReasonTooStale, "prove age", string(request.Database), nil)
		}
		freshUntil = now.Add(request.MaxAge - age)
	}
	return freshUntil, o.mustHold(ctx, group, request)
}

func (o *Owner) mustHold(ctx context.Context, group *ownedGroup, request OpenRequest) error {
	if request.MinPosition.IsZero() {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, o.options.CatchUpTimeout)
	defer cancel()
	if err := group.replication.WaitHolds(waitCtx, request.Database, request.MinPosition); err != nil {
		return o.notRun(state.ReasonTooStale, "wait for replica", string(request.Database), err)
	}
	return nil
}

// mustBePrimary checks that the database is the primary, of no term before
// that of the request's floor: a superseded primary's transactions could not
// commit, but could read what is old. The primary of a term holds all that was
// acknowledged in the terms before and all that itself acknowledged.
func (o *Owner) mustBePrimary(group *ownedGroup, database state.DatabaseID, floorTerm state.Term) error {
	primary, term, known := group.replication.Primary()
	if !known || term < floorTerm {
		return o.notRun(state.ReasonNoPrimary, "find primary", string(database), nil)
	}
	if primary != database {
		failure := o.notRun(state.ReasonNoPrimary, "find primary", string(database), nil)
		failure.Primary = primary
		return failure
	}
	return nil
}

func (o *Owner) notRun(reason state.Reason, step, peer string, cause error) *state.Failure {
	return state.NotRun(reason, step, peer, o.options.RetryAfter, cause)
}

// asNotRun returns err as it is if it is a Failure, else as one not run.
func (o *Owner) asNotRun(err error, step, peer string) *state.Failure {
	if failure, ok := state.AsFailure(err); ok {
		return failure
	}
	reason := state.ReasonUnreachable
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		reason = state.ReasonOverloaded
	}
	return o.notRun(reason, step, peer, err)
}
