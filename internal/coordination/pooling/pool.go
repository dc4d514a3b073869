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
	// latencyWeight is the weight of the newest answer in the moving average.
	latencyWeight = 0.15
	// initialLatency is assumed of a database that has not answered yet.
	initialLatency = 20 * time.Millisecond
	// lateFactor and lateLeast say when an answer counts as late.
	lateFactor = 6
	lateLeast  = 400 * time.Millisecond
)

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

// errPoolClosed is the error of a database that is no longer used.
var errPoolClosed = errors.New("the database is no longer used")

// Health is told how calls to databases went.
type Health interface {
	Success(id state.DatabaseID)
	Failure(id state.DatabaseID)
	Warning(id state.DatabaseID)
	// Suspected databases can't be reached from here.
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
	share    int
	idle     []*Link // the last one was used last
	open     int     // including those in use, without those being opened
	opening  int
	queue    waiters
	sequence uint64
	closed   bool
	// dialAfter is when the next connection may be opened after a refusal.
	dialAfter time.Time
	// refusals counts the connections not opened since the last that was.
	refusals int
	// running statements are at the database; starting is the number of
	// connections handed out whose first statement is not.
	running, starting int
	limiter           limiter
	// demand is the moving average of the connections in use or waited for.
	demand        float64
	latency, held time.Duration
}

func newPool(server state.Server, dialer Dialer, health Health, share int, log zerolog.Logger) *Pool {
	return &Pool{server: server, dialer: dialer, health: health, log: log, share: share, latency: initialLatency, held: initialLatency}
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
	if refusal := p.hopeless(deadline); refusal != nil {
		p.mu.Unlock()
		return nil, refusal
	}
	w := p.enqueue(priority, valuesKey)
	p.dispatch()
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
	suspected := p.health.Suspected(p.server.ID)
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
		if link.Alive() && (link.detoured || !suspected) {
			link.acquired = time.Now()
			return link
		}
		link.Close()
		p.open--
	}
	return nil
}

// takeDirect takes an idle connection that shows whether the database can be
// reached from here, nil where there is none.
func (p *Pool) takeDirect() *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.takeIdle("")
	if link != nil && link.detoured {
		p.keep(link)
		return nil
	}
	return link
}

// hopeless must be called with the lock held. It returns a refusal where the
// queue ahead takes longer than the deadline leaves.
func (p *Pool) hopeless(deadline time.Time) *Refusal {
	if p.open == 0 || time.Until(deadline) > p.expectedWait() {
		return nil
	}
	return p.refusal()
}

// expectedWait must be called with the lock held.
func (p *Pool) expectedWait() time.Duration {
	if p.queue.Len() == 0 {
		return 0
	}
	return p.held * time.Duration(p.queue.Len()) / time.Duration(max(1, p.limiter.most(p.open)))
}

func (p *Pool) refusal() *Refusal {
	return &Refusal{
		Database: p.server.ID, Waiting: p.queue.Len(), Open: p.open,
		RetryAfter: max(p.held, p.expectedWait()),
	}
}

// enqueue must be called with the lock held.
func (p *Pool) enqueue(priority int, valuesKey string) *waiter {
	p.sequence++
	w := &waiter{priority: priority, sequence: p.sequence, valuesKey: valuesKey, result: make(chan waitResult, 1)}
	heap.Push(&p.queue, w)
	return w
}

// inFlight must be called with the lock held.
func (p *Pool) inFlight() int {
	return p.running + p.starting
}

// dispatch must be called with the lock held. It hands idle connections to
// those who wait, as far as the limiter allows, and opens more for the others.
func (p *Pool) dispatch() {
	for p.queue.Len() > 0 && p.limiter.allows(p.inFlight()) {
		link := p.takeIdle(p.queue[0].valuesKey)
		if link == nil {
			p.openMore()
			return
		}
		link.starting = true
		p.starting++
		w := heap.Pop(&p.queue).(*waiter)
		w.result <- waitResult{link: link}
	}
}

// settle must be called with the lock held, when a connection's first
// statement is sent or will not be.
func (p *Pool) settle(link *Link) {
	if link.starting {
		link.starting = false
		p.starting--
	}
}

// Release gives a connection back. It is closed unless it is reusable.
func (p *Pool) Release(link *Link, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle(link)
	p.held += time.Duration(latencyWeight * float64(time.Since(link.acquired)-p.held))
	if reusable && !p.closed && (!link.detoured || p.health.Suspected(p.server.ID)) {
		p.keep(link)
	} else {
		p.open--
		go link.Close()
	}
	p.dispatch()
}

// keep must be called with the lock held.
func (p *Pool) keep(link *Link) {
	link.lastUsed = time.Now()
	p.idle = append(p.idle, link)
}

// Run sends a statement on a connection of this pool and keeps account of it.
func (p *Pool) Run(link *Link, statement Statement, deadline time.Time) (state.Reply, error) {
	p.mu.Lock()
	p.settle(link)
	p.running++
	p.mu.Unlock()
	started := time.Now()
	late := func() {
		if !link.detoured {
			p.health.Warning(p.server.ID)
		}
	}
	reply, err := link.Run(statement, deadline, late)
	p.account(time.Since(started), reply, err)
	switch {
	case link.detoured:
	case err != nil:
		p.health.Failure(p.server.ID)
	default:
		p.health.Success(p.server.ID)
	}
	return reply, err
}

func (p *Pool) account(took time.Duration, reply state.Reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
	case reply.Code == state.CodeBusy:
		p.limiter.refused(p.inFlight(), time.Now())
	default:
		p.limiter.answered(p.inFlight())
	}
	p.running--
	p.latency += time.Duration(latencyWeight * float64(took-p.latency))
	p.dispatch()
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
	full := len(p.idle) == 0 && p.open+p.opening >= p.share
	return full || p.queue.Len() > 0 || !p.limiter.allows(p.inFlight())
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

// sample takes the present demand into its average, and sets the share anew.
func (p *Pool) sample(share int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = share
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
	Share    int              `json:"share"`
	// Limit is how many statements may be in flight; 0 while the database
	// refuses none.
	Limit   float64       `json:"limit"`
	Latency time.Duration `json:"latency_ns"`
}

func (p *Pool) stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Database: p.server.ID, Group: p.server.Group, Open: p.open, Idle: len(p.idle),
		Waiting: p.queue.Len(), Running: p.running, Latency: p.latency,
		Share: p.share, Limit: p.limiter.limit,
	}
}
