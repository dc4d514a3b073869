package admission

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Lease is the right to use one backend connection until Release.
type Lease struct {
	gate     *Gate
	plan     *plan
	released bool
}

// AcquireConnection waits for at most queueTimeout until the plan may use one
// more connection. Its error is a *state.Failure with OutcomeNotRun, returned
// at once if the wait is expected to exceed queueTimeout.
func (g *Gate) AcquireConnection(ctx context.Context, id state.PlanID, queueTimeout time.Duration) (*Lease, error) {
	w := newWaiter(ctx, queueTimeout)
	g.mu.Lock()
	if w.err = g.setPlanForConnection(w, id); w.err == nil {
		g.admit(w, &w.plan.connectionQueue)
	}
	g.mu.Unlock()
	g.await(ctx, w)
	return w.lease, w.err
}

// setPlanForConnection sets the waiter's plan, or returns a refusal if the plan
// may not hold any connection.
func (g *Gate) setPlanForConnection(w *waiter, id state.PlanID) error {
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

// Release returns the connection to the Gate. Further calls have no effect.
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

// guarantee returns the number of connections that the plan can hold before
// any plan gets more than its own guarantee. It is the plan's weighted share,
// among the active plans, of the connections that are not reserved for inactive
// plans.
func (g *Gate) guarantee(p *plan) int {
	shared := g.connections
	if g.anyInactive() {
		shared -= g.maxReserve()
	}
	weights := max(g.activeWeight, p.weight())
	return max(1, int(float64(shared)*p.weight()/weights))
}

func (g *Gate) anyInactive() bool {
	return g.activePlans < g.plansWithLimit
}

func (g *Gate) maxReserve() int {
	if g.connections < 2 {
		return 0
	}
	return max(1, g.connections/reserveDivisor)
}

// reserve returns how many connections plans beyond their guarantee must leave
// free for plans that are below theirs or inactive. The reserve exists because
// a connection lent beyond a guarantee is not returned before the end of a
// transaction.
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

// grantConnection grants a connection to a waiter, or refuses the waiter if its
// deadline has passed.
func (g *Gate) grantConnection(w *waiter, now time.Time) {
	if w.deadline.Before(now) {
		g.refuseAfterWait(w, context.DeadlineExceeded)
		return
	}
	p := w.plan
	if w.done != nil {
		p.connectionInterval.add(now.Sub(p.lastProgress), smoothing)
		p.lastProgress = now
	}
	g.held++
	p.held++
	g.dequeue(w)
	w.lease = &Lease{gate: g, plan: p}
	w.wake()
}

// nextForConnection returns the plan that gets the next connection, or nil if no
// waiter may have one. Plans below their guarantee come first, by slot time
// used, then plans beyond it, by connections held. Both are relative to the
// plan's weight.
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

// waitsLonger breaks ties between plans: the earlier waiter comes first, then
// the lower plan id.
func waitsLonger(a, b *waiter) bool {
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.plan.id < b.plan.id
}
