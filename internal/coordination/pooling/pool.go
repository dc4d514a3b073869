package pooling

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// latencyWeight is the weight of the newest sample in the moving averages of
	// latency and hold time.
	latencyWeight = 0.15
	// initialLatency is the assumed latency of a database before its first reply.
	initialLatency = 20 * time.Millisecond
	// A reply counts as late after lateFactor times the average latency, but not
	// before minLateAfter.
	lateFactor   = 6
	minLateAfter = 400 * time.Millisecond
	// maxRefusedTime is how long a database counts as saturated after a holder had
	// no connection in time.
	maxRefusedTime = 200 * time.Millisecond
)

// NoConnectionError is the error of a request that got no connection in time.
type NoConnectionError struct {
	Database   state.DatabaseID
	Waiting    int
	Open       int
	RetryAfter time.Duration
}

// Error returns the state of the queue.
func (r *NoConnectionError) Error() string {
	return fmt.Sprintf("no connection to %s in time: %d requests wait for %d connections", r.Database, r.Waiting, r.Open)
}

// errPoolClosed is the cause of the error for requests to a closed pool.
var errPoolClosed = errors.New("the database is no longer used")

// Health records the outcomes of calls to databases.
type Health interface {
	RecordSuccess(id state.DatabaseID)
	RecordFailure(id state.DatabaseID)
	RecordWarning(id state.DatabaseID)
	// Suspected reports whether the database is taken as unreachable from this
	// instance.
	Suspected(id state.DatabaseID) bool
}

// Pool holds the connections to one database.
type Pool struct {
	server state.Server
	dialer Dialer
	health Health
	log    zerolog.Logger

	mu sync.Mutex
	// share is how many connections this pool may have open.
	share   int
	idle    []*Conn // the last one was used last
	open    int     // including those in use, without those being opened
	opening int
	// openingForProbe is the number of connections being opened for probes. They
	// may hang, so the connections for requests are opened regardless of them.
	openingForProbe int
	// aboveSince is when the pool was first seen above its share; zero while it is
	// not.
	aboveSince time.Time
	queue      queue
	closed     bool
	// dialAfter is when the next connection may be opened after a failure.
	dialAfter time.Time
	// dialFailures counts the failures to open a connection since the last
	// success.
	dialFailures int
	// running is the number of statements at the database, starting that of
	// acquired connections whose first statement has not been sent.
	running, starting int
	limiter           limiter
	// forwards is set while this instance's own requests run at other instances.
	forwards  bool
	forwarder Forwarder
	// refusedUntil is when a holder that had no connection in time may have one.
	refusedUntil time.Time
	// demand is the moving average of the connections in use or waited for,
	// latency that of statements, holdTime that of how long requests hold a
	// connection.
	demand            float64
	latency, holdTime time.Duration
}

func newPool(server state.Server, dialer Dialer, health Health, share int, log zerolog.Logger) *Pool {
	return &Pool{server: server, dialer: dialer, health: health, log: log, share: share, queue: newQueue(), latency: initialLatency, holdTime: initialLatency}
}

// Acquire returns a connection of the request's workspace, preferably one with the
// requested session values. It waits at most until deadline. The error is a
// *NoConnectionError, a *DialError or that of the context.
func (p *Pool) Acquire(ctx context.Context, request Request, deadline time.Time) (*Conn, error) {
	if conn := p.forward(request, deadline); conn != nil {
		return conn, nil
	}
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &DialError{Database: p.server.ID, Cause: errPoolClosed}
	}
	if noConn := p.checkWait(request, deadline); noConn != nil {
		p.mu.Unlock()
		return nil, noConn
	}
	w := p.queue.push(request, deadline)
	p.dispatch()
	p.refuseHopeless(request.Priority)
	p.mu.Unlock()
	return p.await(ctx, w, deadline)
}

func (p *Pool) await(ctx context.Context, w *waiter, deadline time.Time) (*Conn, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var cause error
	select {
	case result := <-w.result:
		return result.conn, result.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-timer.C:
	}
	p.mu.Lock()
	if !p.queue.remove(w) {
		// dispatch or close has sent a result meanwhile.
		p.mu.Unlock()
		result := <-w.result
		return result.conn, result.err
	}
	noConn := p.noConnectionError(w.Priority)
	p.mu.Unlock()
	if cause != nil {
		return nil, cause
	}
	return nil, noConn
}

// takeIdle removes and returns an idle connection of a request's workspace, nil if
// there is none. It must be called with the lock held. It prefers the most recently
// used connection with the same session values, then one without session values.
func (p *Pool) takeIdle(request Request) *Conn {
	return p.takeWhere(func(conn *Conn) int {
		switch {
		case conn.Workspace != request.Workspace:
			return notSuited
		case conn.values.key == request.ValuesKey:
			return wellSuited
		case conn.values.key == "":
			return wellSuited - 1
		default:
			return wellSuited - 2
		}
	})
}

// notSuited and wellSuited are the least and the greatest suitability of an idle
// connection.
const (
	notSuited  = 0
	wellSuited = 3
)

// takeWhere removes and returns the best suited idle connection, of equal ones the
// most recently used. It returns nil if none is suited. It must be called with the
// lock held.
func (p *Pool) takeWhere(suitability func(*Conn) int) *Conn {
	suspected := p.health.Suspected(p.server.ID)
	for {
		chosen, best := -1, notSuited
		for i := len(p.idle) - 1; i >= 0 && best < wellSuited; i-- {
			if suited := suitability(p.idle[i]); suited > best {
				chosen, best = i, suited
			}
		}
		if chosen < 0 {
			return nil
		}
		conn := p.idle[chosen]
		p.idle = append(p.idle[:chosen], p.idle[chosen+1:]...)
		if conn.Alive() && (conn.tunnelled || !suspected) {
			conn.acquired = time.Now()
			return conn
		}
		conn.Close()
		p.open--
	}
}

// hasIdle reports whether an idle connection of a workspace exists. It must be called
// with the lock held.
func (p *Pool) hasIdle(workspace state.WorkspaceID) bool {
	return slices.ContainsFunc(p.idle, func(conn *Conn) bool { return conn.Workspace == workspace })
}

// takeDirect returns an idle connection that doesn't lead through another
// instance, so that a call on it shows whether the database can be reached from
// this one. It returns nil if there is none.
func (p *Pool) takeDirect() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.takeWhere(func(conn *Conn) int {
		if conn.values.key == "" {
			return wellSuited
		}
		return wellSuited - 1
	})
	if conn != nil && conn.tunnelled {
		p.addIdle(conn)
		return nil
	}
	return conn
}

// checkWait returns an error if the expected wait exceeds the time until the
// deadline. The requests of other workspaces don't delay one that has an idle
// connection. It must be called with the lock held.
func (p *Pool) checkWait(request Request, deadline time.Time) *NoConnectionError {
	if p.open == 0 || time.Until(deadline) > p.expectedWait(p.queue.ahead(request.Priority)) || p.servesAtOnce(request.Workspace) {
		return nil
	}
	return p.noConnectionError(request.Priority)
}

// servesAtOnce reports whether a request of a workspace would get a connection without
// waiting. It must be called with the lock held.
func (p *Pool) servesAtOnce(workspace state.WorkspaceID) bool {
	return p.limiter.allows(p.inFlight()) && p.hasIdle(workspace)
}

// refuseHopeless refuses the requests that a new one with the given priority has gone
// ahead of and that can't be served in time any more. Their callers learn it at once
// and not at their deadline. It must be called with the lock held.
func (p *Pool) refuseHopeless(priority int) {
	if p.open == 0 || p.queue.Len() == 0 {
		return
	}
	later := p.queue.behind(priority)
	ahead := p.queue.Len() - len(later)
	for _, w := range later {
		// Those that hold the connections now are ahead, too.
		if time.Until(w.deadline) > p.expectedWait(ahead+p.limiter.bound(p.open)) {
			ahead++
			continue
		}
		p.queue.remove(w)
		w.result <- waitResult{err: p.noConnectionError(w.Priority)}
	}
}

// expectedWait estimates the wait for a connection behind other requests. It must be
// called with the lock held.
func (p *Pool) expectedWait(ahead int) time.Duration {
	return p.holdTime * time.Duration(ahead) / time.Duration(max(1, p.limiter.bound(p.open)))
}

// noConnectionError must be called with the lock held.
func (p *Pool) noConnectionError(priority int) *NoConnectionError {
	return &NoConnectionError{
		Database: p.server.ID, Waiting: p.queue.Len(), Open: p.open,
		RetryAfter: max(p.holdTime, p.expectedWait(p.queue.ahead(priority))),
	}
}

// inFlight must be called with the lock held.
func (p *Pool) inFlight() int {
	return p.running + p.starting
}

// dispatch hands idle connections to the waiting requests, as far as the limiter
// allows, and opens more for the others. It must be called with the lock held.
func (p *Pool) dispatch() {
	for p.queue.Len() > 0 && p.limiter.allows(p.inFlight()) {
		w := p.queue.first(func(workspace state.WorkspaceID, _ *workspaceQueue) bool { return p.hasIdle(workspace) })
		if w == nil {
			p.openMore()
			return
		}
		if overtaken := p.overtaken(w); overtaken != nil && p.openFor(overtaken) {
			continue
		}
		conn := p.takeIdle(w.Request)
		if conn == nil {
			continue
		}
		conn.starting = true
		p.starting++
		p.queue.pop(w.Workspace)
		w.result <- waitResult{conn: conn}
	}
}

// maxOvertake is how long a request may be overtaken by later ones of workspaces that
// have a connection. It is about twice the time of opening one, so that connections
// change hands rarely and a busy workspace doesn't keep others out.
const maxOvertake = 50 * time.Millisecond

// overtaken returns the first request that has waited for longer than maxOvertake for a
// connection of its workspace and would be overtaken by w, nil if there is none. It must
// be called with the lock held.
func (p *Pool) overtaken(w *waiter) *waiter {
	first := p.queue.first(func(workspace state.WorkspaceID, of *workspaceQueue) bool {
		return workspace != w.Workspace && of.unserved() && !p.hasIdle(workspace)
	})
	if first == nil || !first.before(w) || time.Since(first.since) <= maxOvertake {
		return nil
	}
	return first
}

// markStarted must be called with the lock held when a connection's first
// statement is sent, or when the connection is released without one.
func (p *Pool) markStarted(conn *Conn) {
	if conn.starting {
		conn.starting = false
		p.starting--
	}
}

// Release returns a connection to the pool, or closes it unless reusable is set.
// A tunnelled connection is kept only while the database is suspected.
func (p *Pool) Release(conn *Conn, reusable bool) {
	if conn.forwarded {
		conn.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markStarted(conn)
	p.holdTime += time.Duration(latencyWeight * float64(time.Since(conn.acquired)-p.holdTime))
	if reusable && !p.closed && (!conn.tunnelled || p.health.Suspected(p.server.ID)) {
		p.addIdle(conn)
	} else {
		p.open--
		go conn.Close()
	}
	p.dispatch()
}

// addIdle adds a connection to the idle ones. It must be called with the lock
// held.
func (p *Pool) addIdle(conn *Conn) {
	conn.lastUsed = time.Now()
	p.idle = append(p.idle, conn)
}

// Run sends a statement on a connection of this pool and records the outcome for
// the limiter, the latency and the database's health.
func (p *Pool) Run(conn *Conn, statement Statement, deadline time.Time) (state.Reply, error) {
	p.mu.Lock()
	p.markStarted(conn)
	p.running++
	p.mu.Unlock()
	started := time.Now()
	late := func() {
		if !conn.tunnelled && !conn.forwarded {
			p.health.RecordWarning(p.server.ID)
		}
	}
	reply, err := conn.Run(statement, deadline, late)
	p.recordResult(conn, time.Since(started), reply, err)
	switch {
	case conn.tunnelled, conn.forwarded:
	case !replied(err):
		p.health.RecordFailure(p.server.ID)
	default:
		p.health.RecordSuccess(p.server.ID)
	}
	return reply, err
}

func (p *Pool) recordResult(conn *Conn, took time.Duration, reply state.Reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var noConn *NoConnectionError
	switch {
	case errors.As(err, &noConn):
		p.refusedUntil = time.Now().Add(min(noConn.RetryAfter, maxRefusedTime))
	case err != nil, conn.forwarded:
		// The holders limit what they send to the database.
	case reply.Code == state.CodeBusy:
		p.limiter.recordRefused(p.inFlight(), time.Now())
	default:
		p.limiter.recordServed(p.inFlight())
	}
	p.running--
	if conn.forwarded {
		took = p.forwardedTime(took, err)
	}
	p.latency += time.Duration(latencyWeight * float64(took-p.latency))
	p.dispatch()
}

// openingCost is the cost of a statement that needs a new connection because its
// workspace has none that is idle: a round trip or two and the work of the database.
const openingCost = 40 * time.Millisecond

// Cost estimates how long a statement of a workspace would take if it were sent now.
func (p *Pool) Cost(workspace state.WorkspaceID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := p.running + p.queue.Len()
	cost := p.latency * time.Duration(ahead+1)
	if workspace != "" && !p.forwards && !p.hasIdle(workspace) {
		cost += openingCost
	}
	return cost
}

// Saturated reports whether a request of a workspace would have to wait until another
// one ends.
func (p *Pool) Saturated(workspace state.WorkspaceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwards {
		return time.Now().Before(p.refusedUntil)
	}
	if p.servesAtOnce(workspace) {
		return false
	}
	full := len(p.idle) == 0 && p.open+p.opening >= p.share
	return full || p.queue.Len() > 0 || !p.limiter.allows(p.inFlight())
}

// LateAfter returns how long a reply may take before it counts as late.
func (p *Pool) LateAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(minLateAfter, lateFactor*p.latency)
}

// closeIdle closes connections that have been idle for longer than limit.
// takeIdle prefers the most recently used ones, so that connections in excess of
// the demand stay idle.
func (p *Pool) closeIdle(limit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if now.Sub(conn.lastUsed) > limit || !conn.Alive() {
			p.open--
			go conn.Close()
			continue
		}
		kept = append(kept, conn)
	}
	p.idle = kept
}

// updateShare adds the present demand to the moving average and sets the share.
func (p *Pool) updateShare(placed Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := placed.Share
	if placed.Forward && !placed.Holds && !p.forwards {
		// Its own requests need none from now on.
		kept = 0
	}
	p.share, p.forwards = placed.Share, placed.Forward
	for placed.CloseExcess && p.open > kept && p.closeOldestIdle() {
		continue
	}
	if p.forwards && p.running == 0 {
		p.latency += time.Duration(forgetWeight * float64(initialLatency-p.latency))
	}
	if p.open <= placed.Share {
		p.aboveSince = time.Time{}
	} else if p.aboveSince.IsZero() {
		p.aboveSince = time.Now()
	}
	now := float64(p.open - len(p.idle) + p.queue.Len())
	p.demand += demandWeight * (now - p.demand)
}

func (p *Pool) recentDemand() (state.GroupID, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server.Group, p.demand
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		p.open--
		go conn.Close()
	}
	p.idle = nil
	for p.queue.Len() > 0 {
		w := p.queue.first(func(state.WorkspaceID, *workspaceQueue) bool { return true })
		p.queue.pop(w.Workspace)
		w.result <- waitResult{err: &DialError{Database: p.server.ID, Cause: errPoolClosed}}
	}
}

// Stats holds a pool's statistics for the dump and the metrics.
type Stats struct {
	Database state.DatabaseID `json:"database"`
	Group    state.GroupID    `json:"group"`
	Open     int              `json:"open"`
	Idle     int              `json:"idle"`
	Waiting  int              `json:"waiting"`
	Running  int              `json:"running"`
	Share    int              `json:"share"`
	// Limit is how many statements may be in flight; 0 while there is no limit.
	Limit float64 `json:"limit"`
	// Forwards is set if this instance's requests run at other instances.
	Forwards bool          `json:"forwards,omitempty"`
	Latency  time.Duration `json:"latency_ns"`
}

func (p *Pool) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Database: p.server.ID, Group: p.server.Group, Open: p.open, Idle: len(p.idle),
		Waiting: p.queue.Len(), Running: p.running, Latency: p.latency,
		Share: p.share, Limit: p.limiter.limit, Forwards: p.forwards,
	}
}
