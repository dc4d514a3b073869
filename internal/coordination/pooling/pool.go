package pooling

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// dialTimeout bounds the opening of a connection: two round trips between
	// regions and the database's own 12 ms, with room for a busy database.
	dialTimeout = 600 * time.Millisecond
	// dialPause keeps a pool from opening connections one after the other
	// while the database refuses them.
	// The pause doubles with each refusal.
	dialPause        = 50 * time.Millisecond
	longestDialPause = 200 * time.Millisecond
	maxDoublings     = 2
	// crowdedFor is how long a pool keeps to its share after the database had
	// no connection left.
	crowdedFor = 5 * time.Second
	// latencyWeight is the weight of the newest answer in the moving average.
	latencyWeight = 0.15
	// initialLatency is assumed of a database that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// lateFactor and lateLeast say when an answer counts as late.
	lateFactor = 6
	lateLeast  = 400 * time.Millisecond
)

// Limits bound a pool's connections.
type Limits struct {
	// Share is this instance's part of what the database accepts.
	Share int
	// Most may be open for a while when other instances leave room.
	Most int
}

// Refusal is the error of a request that got no connection in time.
type Refusal struct {
	Database   state.DatabaseID
	Waiting    int
	Open       int
	RetryAfter time.Duration
}

// Error gives the state of the queue.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no connection to %s in time: %d requests wait for %d connections", r.Database, r.Waiting, r.Open)
}

// DialError is the error of a connection that could not be opened.
type DialError struct {
	Database state.DatabaseID
	// Code is the database's own refusal; CodeNone where it did not answer.
	Code  state.ErrorCode
	Cause error
}

// Error gives database and cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Database, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// ErrHungUp is the error of a connection that the database accepted and then
// closed before its startup.
var ErrHungUp = errors.New("the database closed the connection at its startup")

// errPoolClosed is the error of a database that is no longer used.
var errPoolClosed = errors.New("the database is no longer used")

// Health is told how calls to databases went.
type Health interface {
	Success(id state.DatabaseID)
	Failure(id state.DatabaseID)
	Doubt(id state.DatabaseID)
}

// Pool holds the connections to one database.
type Pool struct {
	server state.Server
	dialer Dialer
	health Health
	log    zerolog.Logger
	limits func() Limits

	mu       sync.Mutex
	idle     []*Link // the last one was used last
	open     int     // including those in use, without those being opened
	opening  int
	queue    waiters
	sequence uint64
	closed   bool
	// crowdedUntil and dialAfter hold after refusals.
	crowdedUntil, dialAfter time.Time
	// refusals counts the connections not opened since the last that was.
	refusals int
	running  int
	// demand is the moving average of the connections in use or waited for.
	demand        float64
	latency, held time.Duration
}

func newPool(server state.Server, dialer Dialer, health Health, limits func() Limits, log zerolog.Logger) *Pool {
	return &Pool{server: server, dialer: dialer, health: health, limits: limits, log: log, latency: initialLatency, held: initialLatency}
}

// Acquire returns a connection, preferring one with the given session values.
// It waits until deadline at the longest. The error is a *Refusal, a
// *DialError or the context's.
func (p *Pool) Acquire(ctx context.Context, priority int, valuesKey string, deadline time.Time) (*Link, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &DialError{Database: p.server.ID, Cause: errPoolClosed}
	}
	if link := p.takeIdle(valuesKey); link != nil {
		p.mu.Unlock()
		return link, nil
	}
	if refusal := p.hopeless(deadline); refusal != nil {
		p.mu.Unlock()
		return nil, refusal
	}
	w := p.enqueue(priority)
	p.openMore()
	p.mu.Unlock()
	return p.await(ctx, w, deadline)
}

func (p *Pool) await(ctx context.Context, w *waiter, deadline time.Time) (*Link, error) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	var cause error
	select {
	case result := <-w.result:
		return result.link, result.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-timer.C:
	}
	p.mu.Lock()
	if !p.queue.remove(w) {
		// The result was handed over meanwhile.
		p.mu.Unlock()
		result := <-w.result
		return result.link, result.err
	}
	refusal := p.refusal()
	p.mu.Unlock()
	if cause != nil {
		return nil, cause
	}
	return nil, refusal
}

// takeIdle must be called with the lock held. It prefers the last used
// connection with the same session values, then the last used one without any.
func (p *Pool) takeIdle(valuesKey string) *Link {
	for len(p.idle) > 0 {
		chosen := len(p.idle) - 1
		for i := len(p.idle) - 1; i >= 0; i-- {
			if p.idle[i].values.key == valuesKey {
				chosen = i
				break
			}
			if p.idle[i].values.key == "" {
				chosen = i
			}
		}
		link := p.idle[chosen]
		p.idle = append(p.idle[:chosen], p.idle[chosen+1:]...)
		if link.Alive() {
			link.acquired = time.Now()
			return link
		}
		link.Close()
		p.open--
	}
	return nil
}

// hopeless must be called with the lock held. It returns a refusal where the
// queue ahead takes longer than the deadline leaves.
func (p *Pool) hopeless(deadline time.Time) *Refusal {
	if p.open == 0 {
		return nil
	}
	if time.Until(deadline) > p.expectedWait() {
		return nil
	}
	return p.refusal()
}

// expectedWait must be called with the lock held.
func (p *Pool) expectedWait() time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	return p.held * time.Duration(p.queue.Len()) / time.Duration(max(1, p.open))
}

func (p *Pool) refusal() *Refusal {
	return &Refusal{
		Database: p.server.ID, Waiting: p.queue.Len(), Open: p.open,
		RetryAfter: max(p.held, p.expectedWait()),
	}
}

// enqueue must be called with the lock held.
func (p *Pool) enqueue(priority int) *waiter {
	p.sequence++
	w := &waiter{priority: priority, sequence: p.sequence, result: make(chan waitResult, 1)}
	heap.Push(&p.queue, w)
	return w
}

// openMore must be called with the lock held.
func (p *Pool) openMore() {
	limits := p.limits()
	most := limits.Most
	now := time.Now()
	if now.Before(p.crowdedUntil) {
		most = limits.Share
	}
	if now.Before(p.dialAfter) {
		return
	}
	for p.opening < p.queue.Len() && p.open+p.opening < most {
		p.opening++
		go p.dial()
	}
}

func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	conn, err := p.dialer.Dial(ctx, p.server)
	cancel()
	if err != nil {
		p.dialFailed(err)
		return
	}
	p.health.Success(p.server.ID)
	p.mu.Lock()
	p.opening--
	if p.closed {
		p.mu.Unlock()
		conn.Close()
		return
	}
	p.open++
	p.refusals = 0
	p.handOver(newLink(conn, p.server))
	p.mu.Unlock()
}

func (p *Pool) dialFailed(err error) {
	failure := &DialError{Database: p.server.ID, Cause: err}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		failure.Code = refused.Code
		p.health.Success(p.server.ID)
	case errors.Is(err, ErrHungUp):
		// The database accepted the connection and closed it: it runs, and
		// has more connections than it accepts.
		failure.Code = state.CodeTooManyConnections
	default:
		p.health.Failure(p.server.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	now := time.Now()
	p.refusals++
	p.dialAfter = now.Add(min(dialPause<<min(p.refusals-1, maxDoublings), longestDialPause))
	if failure.Code == state.CodeTooManyConnections {
		p.crowdedUntil = now.Add(crowdedFor)
		if p.open > 0 {
			// The waiters are served by the open connections, and more are
			// opened when one of them asks again.
			return
		}
	}
	p.log.Warn().Err(err).Str("database", string(p.server.ID)).Int("open", p.open).Int("waiting", p.queue.Len()).Msg("connection not opened")
	if p.queue.Len() > 0 {
		w := heap.Pop(&p.queue).(*waiter)
		w.result <- waitResult{err: failure}
	}
	time.AfterFunc(time.Until(p.dialAfter), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.openMore()
	})
}

// handOver must be called with the lock held.
func (p *Pool) handOver(link *Link) {
	link.lastUsed = time.Now()
	if p.queue.Len() == 0 {
		p.idle = append(p.idle, link)
		return
	}
	link.acquired = link.lastUsed
	w := heap.Pop(&p.queue).(*waiter)
	w.result <- waitResult{link: link}
}

// Release gives a connection back. It is closed unless it is reusable.
func (p *Pool) Release(link *Link, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += time.Duration(latencyWeight * float64(time.Since(link.acquired)-p.held))
	if reusable && !p.closed {
		p.handOver(link)
		return
	}
	p.open--
	go link.Close()
	p.openMore()
}

// Run sends a statement on a connection of this pool and keeps account of it.
func (p *Pool) Run(link *Link, statement Statement, deadline time.Time) (state.Reply, error) {
	p.mu.Lock()
	p.running++
	p.mu.Unlock()
	started := time.Now()
	reply, err := link.Run(statement, deadline, func() { p.health.Doubt(p.server.ID) })
	took := time.Since(started)
	p.mu.Lock()
	p.running--
	p.latency += time.Duration(latencyWeight * float64(took-p.latency))
	p.mu.Unlock()
	if err != nil {
		p.health.Failure(p.server.ID)
	} else {
		p.health.Success(p.server.ID)
	}
	return reply, err
}

// Cost estimates how long a statement would take that is sent now.
func (p *Pool) Cost() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	ahead := p.running + p.queue.Len()
	return p.latency * time.Duration(ahead+1)
}

// Crowded reports whether a request would have to wait for another to end.
func (p *Pool) Crowded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) == 0 && p.open+p.opening >= p.limits().Most
}

// LateAfter is how long an answer may take before it counts as late.
func (p *Pool) LateAfter() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(lateLeast, lateFactor*p.latency)
}

// trim closes connections that were idle for too long. The last used one is
// taken first, so that those which are not needed go idle.
func (p *Pool) trim(longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	kept := p.idle[:0]
	for _, link := range p.idle {
		if now.Sub(link.lastUsed) > longest || !link.Alive() {
			p.open--
			go link.Close()
			continue
		}
		kept = append(kept, link)
	}
	p.idle = kept
}

// sample takes the present demand into its average.
func (p *Pool) sample() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := float64(p.open - len(p.idle) + p.queue.Len())
	p.demand += demandWeight * (now - p.demand)
}

func (p *Pool) lately() (state.GroupID, float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.server.Group, p.demand
}

func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, link := range p.idle {
		p.open--
		go link.Close()
	}
	p.idle = nil
	for p.queue.Len() > 0 {
		w := heap.Pop(&p.queue).(*waiter)
		w.result <- waitResult{err: &DialError{Database: p.server.ID, Cause: errPoolClosed}}
	}
}

// Stats is what the dump and the metrics show of a pool.
type Stats struct {
	Database state.DatabaseID `json:"database"`
	Group    state.GroupID    `json:"group"`
	Open     int              `json:"open"`
	Idle     int              `json:"idle"`
	Waiting  int              `json:"waiting"`
	Running  int              `json:"running"`
	Latency  time.Duration    `json:"latency_ns"`
}

func (p *Pool) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Database: p.server.ID, Group: p.server.Group, Open: p.open, Idle: len(p.idle),
		Waiting: p.queue.Len(), Running: p.running, Latency: p.latency,
	}
}
