package admission

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Lease is the right to use one backend connection. Release ends it.
type Lease struct {
	gate     *Gate
	plan     *plan
	released bool
}

// AcquireConnection waits for at most queueTimeout until the plan may use one
// more connection. An error is a *state.Failure with OutcomeNotRun; it comes at
// once where the wait is expected to exceed queueTimeout.
func (g *Gate) AcquireConnection(ctx context.Context, id state.PlanID, queueTimeout time.Duration) (*Lease, error) {
	w := newWaiter(ctx, queueTimeout)
	g.mu.Lock()
	if w.err = g.bindConnection(w, id); w.err == nil {
		g.admit(w, &w.plan.connectionQueue)
	}
	g.mu.Unlock()
	g.await(ctx, w)
	return w.lease, w.err
}

// bindConnection finds the waiter's plan and refuses one that may hold no
// connection.
func (g *Gate) bindConnection(w *waiter, id state.PlanID) error {
	if g.leaving {
		return g.refuse(state.ReasonLeaving, minRetryAfter, nil)
	}
	p, found := g.plans[id]
	if !found {
		return g.refuse(state.ReasonNotAllowed, maxRetryAfter, nil)
	}
	if p.limit.MaxConnections <= 0 {
		return g.refuse(g.limitReason(p), maxRetryAfter, nil)
	}
	w.plan = p
	return nil
}

// Release gives the connection back. Further calls do nothing.
func (l *Lease) Release() {
	g := l.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.released {
		return
	}
	l.released = true
	g.held--
	g.update(l.plan, func() { l.plan.held-- })
	g.dispatch(time.Now())
}

// guarantee is the number of connections that the plan gets before any plan
// gets more than its own guarantee: its weighted share among active plans, of
// what is not kept for those that are not active.
func (g *Gate) guarantee(p *plan) int {
	shared := g.connections
	if g.anyInactive() {
		shared -= g.maxReserve()
	}
	weights := max(g.activeWeight, p.weight())
	return max(1, int(float64(shared)*p.weight()/weights))
}

func (g *Gate) anyInactive() bool {
	return g.activePlans < g.knownPlans
}

func (g *Gate) maxReserve() int {
	if g.connections < 2 {
		return 0
	}
	return max(1, g.connections/reserveDivisor)
}

// reserve is how many connections a plan beyond its guarantee leaves free for
// plans that are below theirs or not active: a borrowed connection does not
// come back before the end of a transaction.
func (g *Gate) reserve() int {
	if g.anyInactive() {
		return g.maxReserve()
	}
	unmet := 0
	for _, p := range g.plans {
		if p.active() {
			unmet += max(0, min(g.guarantee(p), p.limit.MaxConnections)-p.held)
		}
	}
	return min(unmet, g.maxReserve())
}

// dispatchConnections grants free connections to waiters.
func (g *Gate) dispatchConnections(now time.Time) {
	for g.held < g.connections && g.connectionWaiters > 0 {
		p := g.nextForConnection()
		if p == nil {
			return
		}
		g.grantConnection(p.connectionQueue.head, now)
	}
}

// grantConnection settles a waiter. One whose deadline has passed is refused.
func (g *Gate) grantConnection(w *waiter, now time.Time) {
	if w.deadline.Before(now) {
		g.giveUp(w, context.DeadlineExceeded)
		return
	}
	p := w.plan
	if w.done != nil {
		p.connectionPace.add(now.Sub(p.backlogSince), smoothing)
		p.backlogSince = now
	}
	g.held++
	p.held++
	g.dequeue(w)
	w.lease = &Lease{gate: g, plan: p}
	w.wake()
}

// nextForConnection chooses the plan that gets the next connection: first those
// below their guarantee, by slot time used, then those beyond it, by
// connections held. It returns nil when no waiter may have one.
func (g *Gate) nextForConnection() *plan {
	var best *plan
	for _, p := range g.connectionPlans {
		if p.connectionQueue.head == nil || !g.mayHoldMore(p) {
			continue
		}
		if best == nil || g.connectionBefore(p, best) {
			best = p
		}
	}
	return best
}

func (g *Gate) mayHoldMore(p *plan) bool {
	if p.held >= p.limit.MaxConnections {
		return false
	}
	return p.held < g.guarantee(p) || g.connections-g.held > g.reserve()
}

func (g *Gate) connectionBefore(a, b *plan) bool {
	borrowsA := a.held >= g.guarantee(a)
	borrowsB := b.held >= g.guarantee(b)
	if borrowsA != borrowsB {
		return !borrowsA
	}
	if borrowsA {
		shareA := float64(a.held) / a.weight()
		shareB := float64(b.held) / b.weight()
		if shareA != shareB {
			return shareA < shareB
		}
	}
	usedA := max(a.virtualTime, g.virtualTime)
	usedB := max(b.virtualTime, g.virtualTime)
	if usedA != usedB {
		return usedA < usedB
	}
	return waitsLonger(a.connectionQueue.head, b.connectionQueue.head)
}

// waitsLonger orders waiters that are equal otherwise.
func waitsLonger(a, b *waiter) bool {
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.plan.id < b.plan.id
}
