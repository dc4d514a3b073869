package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	server       state.DatabaseID
	queuePerPlan int
	queueTotal   int

	// mu protects the fields below, and the plans, waiters, leases and slots.
	mu          sync.Mutex
	connections int
	concurrency concurrency
	// slotLimit is how many statements may be in flight, as last returned by
	// concurrency.limit.
	slotLimit int
	leaving   bool

	// plans holds the active plans and those with a limit. connectionPlans and
	// slotPlans hold the plans that wait for a connection or for a slot.
	plans             map[state.PlanID]*plan
	connectionPlans   []*plan
	slotPlans         []*plan
	plansWithLimit    int
	activePlans       int // among those with a limit
	activeWeight      float64
	held              int // connections
	running           []*Slot
	beyondLimit       int // among running
	connectionWaiters int
	slotWaiters       int

	// virtualTime is the highest virtual time that a plan had when it got a
	// slot. A plan that begins to wait starts from at least this value, so that
	// it cannot accumulate an unused share.
	virtualTime time.Duration

	allSlotTime average
	refused     map[state.Reason]uint64
}

// NewGate returns a Gate that refuses all requests until SetLimits is called.
func NewGate(options Options) *Gate {
	options = options.withDefaults()
	return &Gate{
		server:       options.Server,
		queuePerPlan: options.QueuePerPlan,
		queueTotal:   options.QueueTotal,
		connections:  options.Connections,
		slotLimit:    options.Slots,
		concurrency:  concurrency{slots: options.Slots},
		plans:        map[state.PlanID]*plan{},
		refused:      map[state.Reason]uint64{},
	}
}

// SetLimits replaces the limits of all plans. A plan above its reduced limit
// keeps the connections that it holds, and gets no more until it is below the
// limit. Requests that wait for a connection are refused if their plan may no
// longer hold any.
func (g *Gate) SetLimits(limits map[state.PlanID]PlanLimit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.plans {
		if _, found := limits[id]; !found {
			p.hasLimit = false
			p.limit = PlanLimit{Weight: p.limit.Weight}
		}
	}
	for id, limit := range limits {
		p := g.plan(id)
		p.hasLimit = true
		p.limit = limit
	}
	g.plansWithLimit = len(limits)
	for _, p := range slices.Clone(g.connectionPlans) {
		if p.limit.MaxConnections <= 0 {
			g.refuseAll(&p.connectionQueue, g.limitReason(p))
		}
	}
	g.activeWeight, g.activePlans = 0, 0
	for id, p := range g.plans {
		if p.active() {
			g.countActive(p, 1)
		} else if !p.hasLimit {
			delete(g.plans, id)
		}
	}
	g.dispatch(time.Now())
}

// SetCapacity sets the number of connections and slots. A reduction takes
// effect as they are released.
func (g *Gate) SetCapacity(connections, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections = connections
	g.concurrency.slots = slots
	g.slotLimit = g.concurrency.limit()
	g.dispatch(time.Now())
}

// SetRoundTrip sets the network round-trip time to the backend server. A slot
// idles for this time between statements, unless more statements are in flight
// than there are slots.
func (g *Gate) SetRoundTrip(roundTrip time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.concurrency.roundTrip = roundTrip
	g.slotLimit = g.concurrency.limit()
	g.dispatch(time.Now())
}

// SetLeaving sets whether the backend server is leaving, that is, being retired.
// While it is, only statements of open transactions are admitted; all other
// waiting and new requests are refused at once.
func (g *Gate) SetLeaving(leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = leaving
	if !leaving {
		return
	}
	for _, p := range g.plans {
		g.refuseAll(&p.connectionQueue, state.ReasonLeaving)
		g.refuseAll(&p.statementQueue, state.ReasonLeaving)
	}
}

// plan returns the plan's record, and creates it if there is none.
func (g *Gate) plan(id state.PlanID) *plan {
	p, found := g.plans[id]
	if !found {
		p = &plan{id: id}
		g.plans[id] = p
	}
	return p
}

// update runs change, which alters what the plan holds or waits for, and then
// updates the count and weight of active plans. It deletes a plan that is
// neither active nor limited.
func (g *Gate) update(p *plan, change func()) {
	before := p.active()
	change()
	after := p.active()
	switch {
	case after && !before:
		g.countActive(p, 1)
	case before && !after:
		g.countActive(p, -1)
	}
	if !after && !p.hasLimit {
		delete(g.plans, p.id)
	}
}

// countActive updates the count and weight of active plans; change is 1 for a
// plan that became active and -1 for one that became inactive.
func (g *Gate) countActive(p *plan, change int) {
	g.activeWeight += float64(change) * p.weight()
	if p.hasLimit {
		g.activePlans += change
	}
}

// enqueue appends a waiter to a queue of its plan.
func (g *Gate) enqueue(w *waiter, q *queue) {
	p := w.plan
	if q == &p.connectionQueue {
		g.connectionWaiters++
		if q.length == 0 {
			g.connectionPlans = append(g.connectionPlans, p)
			p.lastProgress = w.since
		}
	} else {
		g.slotWaiters++
		if p.slotQueueLength() == 0 {
			g.slotPlans = append(g.slotPlans, p)
			p.virtualTime = max(p.virtualTime, g.virtualTime)
		}
	}
	g.update(p, func() { q.push(w) })
}

// dequeue removes a waiter from its queue.
func (g *Gate) dequeue(w *waiter) {
	p, q := w.plan, w.queue
	g.update(p, func() { q.remove(w) })
	if q == &p.connectionQueue {
		g.connectionWaiters--
		if q.length == 0 {
			g.connectionPlans = without(g.connectionPlans, p)
		}
		return
	}
	g.slotWaiters--
	if p.slotQueueLength() == 0 {
		g.slotPlans = without(g.slotPlans, p)
	}
}

func without[T comparable](list []T, item T) []T {
	i := slices.Index(list, item)
	return slices.Delete(list, i, i+1)
}

// dispatch grants the connections and slots that can be granted now.
func (g *Gate) dispatch(now time.Time) {
	g.dispatchConnections(now)
	g.dispatchSlots(now)
}

// admit queues a waiter and grants or refuses it at once if possible. Otherwise
// it creates the channel on which the caller waits.
func (g *Gate) admit(w *waiter, q *queue) {
	w.deadline = g.grantDeadline(w)
	ahead := q.length
	if q == &w.plan.statementQueue { // behind the plan's open transactions
		ahead = w.plan.slotQueueLength()
	}
	g.enqueue(w, q)
	g.dispatch(w.since)
	if !w.settled() {
		g.refuseIfOverloaded(w, ahead)
	}
	if !w.settled() {
		w.done = make(chan struct{})
	}
}

// grantDeadline returns the time by which the waiter must be granted, so that a
// statement of average length in its plan ends before the caller's deadline.
func (g *Gate) grantDeadline(w *waiter) time.Time {
	if !w.hasCallerDeadline {
		return w.deadline
	}
	latest := w.callerDeadline.Add(-g.slotTime(w.plan))
	if latest.Before(w.since) {
		latest = w.since
	}
	if latest.Before(w.deadline) {
		return latest
	}
	return w.deadline
}

// await blocks until the waiter is settled, its context ends or its deadline
// passes. A grant that was made before the mutex is taken again is kept.
func (g *Gate) await(ctx context.Context, w *waiter) {
	if w.done == nil {
		return
	}
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	ticks, stop := w.lockWaitTicks()
	defer stop()
	for waiting := true; waiting; {
		select {
		case <-ticks:
			g.recheckLockWait()
		case <-w.done:
			waiting = false
		case <-ctx.Done():
			waiting = false
		case <-timer.C:
			waiting = false
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.settled() {
		g.refuseAfterWait(w, ctx.Err())
		// With one waiter less, the guarantees of other plans may be larger.
		g.dispatch(time.Now())
	}
}

// refuseAfterWait refuses a queued waiter whose context has ended or whose
// deadline has passed.
func (g *Gate) refuseAfterWait(w *waiter, cause error) {
	reason := g.waitReason(w)
	delay := g.expectedWait(w, w.queue.length, time.Now())
	g.dequeue(w)
	w.err = g.refuse(reason, delay, cause)
	w.wake()
}

func newWaiter(ctx context.Context, queueTimeout time.Duration) *waiter {
	now := time.Now()
	w := &waiter{since: now, deadline: now.Add(queueTimeout)}
	w.callerDeadline, w.hasCallerDeadline = ctx.Deadline()
	return w
}
