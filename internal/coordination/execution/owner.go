package execution

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Options holds the owner's timeouts. All must be above zero.
type Options struct {
	// DialTimeout bounds the opening of a backend connection.
	DialTimeout time.Duration
	// AcknowledgeTimeout bounds the wait for a majority to hold a write. When
	// it expires, the outcome of the write is unknown.
	AcknowledgeTimeout time.Duration
	// CatchUpTimeout bounds the wait for a replica that is behind the minimum
	// position of a read.
	CatchUpTimeout time.Duration
	// SilenceTimeout is the time without a message after which the owner probes
	// the backend server for whether the statement still runs, and the timeout
	// of that probe. A silent connection is closed after at most four times this.
	SilenceTimeout time.Duration
	// RetryAfter is the retry delay sent to callers when no better estimate
	// exists.
	RetryAfter time.Duration
}

// primaryCheckInterval is the time between two checks whether a database that
// is slow to open a connection is still the primary.
const primaryCheckInterval = 50 * time.Millisecond

// DefaultOptions returns the timeouts of a production instance.
func DefaultOptions() Options {
	return Options{
		DialTimeout:        2 * time.Second,
		AcknowledgeTimeout: 3 * time.Second,
		CatchUpTimeout:     30 * time.Millisecond,
		SilenceTimeout:     500 * time.Millisecond,
		RetryAfter:         500 * time.Millisecond,
	}
}

// ServerConfig describes a backend server and holds the dependencies of its
// owner.
type ServerConfig struct {
	Database state.Database
	Gate     Gate
	Pacer    Pacer
	// Probe distinguishes a silent connection from a long statement. When it is
	// nil, silent connections are not detected.
	Probe ActivityProbe
	// Terminate also ends a silent connection on the server's side. When it is
	// nil, the server holds the connection's locks until it closes the
	// connection by itself.
	Terminate Terminator
}

// Owner runs requests on the backend servers of groups. It is the Executor for
// its own instance, and for peers over the peer link.
//
// Lock order: Owner.mu, then the mutex of a pool or gate. No lock is held
// during input or output.
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

// SetGroup starts to serve a group, or replaces its configuration. Connections
// of backend servers whose id and address do not change are kept.
func (o *Owner) SetGroup(id state.GroupID, replication Replication, configs []ServerConfig) {
	o.mu.Lock()
	defer o.mu.Unlock()
	previous := o.groups[id]
	group := &ownedGroup{replication: replication, servers: map[state.DatabaseID]*server{}}
	for _, config := range configs {
		group.servers[config.Database.ID] = o.serverFor(previous, config)
	}
	o.groups[id] = group
}

func (o *Owner) serverFor(previous *ownedGroup, config ServerConfig) *server {
	if previous != nil {
		kept, found := previous.servers[config.Database.ID]
		if found && kept.Database.Address == config.Database.Address {
			return &server{ServerConfig: config, pool: kept.pool}
		}
	}
	return &server{ServerConfig: config, pool: newPool(config.Database, o.dialer, config.Pacer)}
}

// RemoveGroup stops serving a group. Open streams continue until they end.
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

// Close closes all idle connections; connections in use are closed with their
// streams.
func (o *Owner) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, group := range o.groups {
		for _, server := range group.servers {
			server.pool.close()
		}
	}
}

// ServerSnapshot holds the connection counts of one backend server for the
// state dump.
type ServerSnapshot struct {
	Group    state.GroupID    `json:"group"`
	Database state.DatabaseID `json:"database"`
	Open     int              `json:"open_connections"`
	Idle     int              `json:"idle_connections"`
}

// Snapshot returns the connection counts of all backend servers, for the state
// dump.
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
	if _, err := o.checkServable(ctx, group, request); err != nil {
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
		idle:  make(chan struct{}, 1),
		owner: o, group: group, server: server, request: request,
		lease: lease, conn: conn, txStatus: txIdle,
	}
	stream.release()
	return stream, nil
}

// connect takes a connection from the pool or opens one. A write stops waiting
// once another database is the primary: a frozen one may never reply.
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
// caller must call stop to end the check.
func (o *Owner) cancelWhenReplaced(cancel func(), group *ownedGroup, database state.DatabaseID) (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(primaryCheckInterval, func() {
		ticker := time.NewTicker(primaryCheckInterval)
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

// checkServable checks that the database may run the request now. If the
// request has a MaxAge, freshUntil is the time at which the data, at its age
// proven now, will exceed it.
func (o *Owner) checkServable(ctx context.Context, group *ownedGroup, request OpenRequest) (freshUntil time.Time, err error) {
	if request.Access == AccessWrite {
		return time.Time{}, o.checkPrimary(group, request.Database, request.MinPosition.Term)
	}
	if request.MaxAge > 0 {
		// The time is read first, so that a pause in between counts as age.
		now := time.Now()
		age, known := group.replication.ProvenAge(request.Database)
		if !known || age > request.MaxAge {
			return time.Time{}, o.notRun(state.ReasonTooStale, "prove age", string(request.Database), nil)
		}
		freshUntil = now.Add(request.MaxAge - age)
	}
	return freshUntil, o.waitForMinPosition(ctx, group, request)
}

func (o *Owner) waitForMinPosition(ctx context.Context, group *ownedGroup, request OpenRequest) error {
	if request.MinPosition.IsZero() {
		return nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, o.options.CatchUpTimeout)
	defer cancel()
	if err := group.replication.WaitForPosition(waitCtx, request.Database, request.MinPosition); err != nil {
		return o.notRun(state.ReasonTooStale, "wait for replica", string(request.Database), err)
	}
	return nil
}

// checkPrimary checks that the database is the primary, in minTerm or a later
// term. minTerm is the term of the request's minimum position. Transactions on
// a superseded primary cannot commit, but could read stale data. The primary of
// a term holds all writes acknowledged in earlier terms and in its own.
func (o *Owner) checkPrimary(group *ownedGroup, database state.DatabaseID, minTerm state.Term) error {
	primary, term, known := group.replication.Primary()
	if !known || term < minTerm {
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

// asNotRun returns err if it is a *state.Failure, else wraps it in one with
// OutcomeNotRun.
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
