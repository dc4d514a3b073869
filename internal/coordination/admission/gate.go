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

	// mu protects all that follows, and the plans, waiters, leases and slots.
	mu          sync.Mutex
	connections int
	concurrency concurrency
	// slotLimit is how many statements may be in flight: concurrency.limit.
	slotLimit int
	leaving   bool

	// plans holds the active plans and those with a limit. The two lists hold
	// those that wait for a connection and for a slot.
	plans             map[state.PlanID]*plan
	connectionPlans   []*plan
	slotPlans         []*plan
	knownPlans        int
	activePlans       int // of those known
	activeWeight      float64
	held              int
	running           []*Slot
	connectionWaiters int
	slotWaiters       int

	// virtualTime is that of the plan which got a slot last. A plan that
	// begins to wait starts from it, so that no plan saves up unused share.
	virtualTime time.Duration

	allSlotTime average
	refused     map[state.Reason]uint64
}

// NewGate makes a Gate that admits nobody until SetLimits.
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

// SetLimits puts new limits in force. A plan above its reduced limit keeps what
// it holds and gets nothing more until it is below. Waiters of a plan that may
// no longer hold a connection are refused.
func (g *Gate) SetLimits(limits map[state.PlanID]PlanLimit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.plans {
		if _, found := limits[id]; !found {
			p.known = false
			p.limit = PlanLimit{Weight: p.limit.Weight}
		}
	}
	for id, limit := range limits {
		p := g.plan(id)
		p.known = true
		p.limit = limit
	}
	g.knownPlans = len(limits)
	for _, p := range slices.Clone(g.connectionPlans) {
		if p.limit.MaxConnections <= 0 {
			g.refuseAll(&p.connectionQueue, g.limitReason(p))
		}
	}
	g.activeWeight, g.activePlans = 0, 0
	for id, p := range g.plans {
		if p.active() {
			g.countActive(p, 1)
		} else if !p.known {
			delete(g.plans, id)
		}
	}
	g.dispatch(time.Now())
}

// SetCapacity changes how many connections and slots there are. A reduction
// takes effect as they are released.
func (g *Gate) SetCapacity(connections, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections = connections
	g.concurrency.slots = slots
	g.slotLimit = g.concurrency.limit()
	g.dispatch(time.Now())
}

// SetRoundTrip says how long the network takes to the backend server and back.
// While it lasts a slot idles between statements, unless more statements are
// in flight than there are slots.
func (g *Gate) SetRoundTrip(roundTrip time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.concurrency.roundTrip = roundTrip
	g.slotLimit = g.concurrency.limit()
	g.dispatch(time.Now())
}

// SetLeaving says whether the backend server is leaving. While it is, only the
// statements of open transactions are admitted; whatever else waits or comes is
// refused at once.
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

// plan returns the plan's record, which it makes where there is none.
func (g *Gate) plan(id state.PlanID) *plan {
	p, found := g.plans[id]
	if !found {
		p = &plan{id: id}
		g.plans[id] = p
	}
	return p
}

// update runs change, which alters what the plan holds or waits for, and keeps
// the count, the weight and the set of plans in step.
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
	if !after && !p.known {
		delete(g.plans, p.id)
	}
}

// countActive counts a plan that became active, by 1, or inactive, by -1.
func (g *Gate) countActive(p *plan, change int) {
	g.activeWeight += float64(change) * p.weight()
	if p.known {
		g.activePlans += change
	}
}

// enqueue puts a waiter into a queue of its plan.
func (g *Gate) enqueue(w *waiter, q *queue) {
	p := w.plan
	if q == &p.connectionQueue {
		g.connectionWaiters++
		if q.length == 0 {
			g.connectionPlans = append(g.connectionPlans, p)
			p.backlogSince = w.since
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

// dequeue takes a waiter out of its queue.
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

// dispatch grants whatever can be granted now.
func (g *Gate) dispatch(now time.Time) {
	g.dispatchConnections(now)
	g.dispatchSlots(now)
}

// admit queues a waiter and grants or refuses it at once if either is due.
// Otherwise it makes the channel on which the caller is to wait.
func (g *Gate) admit(w *waiter, q *queue) {
	w.deadline = g.startBy(w)
	ahead := q.length
	if q == &w.plan.statementQueue {
		ahead = w.plan.slotQueueLength()
	}
	g.enqueue(w, q)
	g.dispatch(w.since)
	if !w.settled() {
		g.refuseIfHopeless(w, ahead)
	}
	if !w.settled() {
		w.done = make(chan struct{})
	}
}

// startBy returns the time by which the waiter must be granted, so that a
// usual statement of its plan ends before the caller's own deadline.
func (g *Gate) startBy(w *waiter) time.Time {
	if !w.bounded {
		return w.deadline
	}
	latest := w.answerBy.Add(-g.slotTime(w.plan))
	if latest.Before(w.since) {
		latest = w.since
	}
	if latest.Before(w.deadline) {
		return latest
	}
	return w.deadline
}

// await blocks until the waiter is settled, its caller has gone or its
// deadline has passed. A grant that comes first is kept.
func (g *Gate) await(ctx context.Context, w *waiter) {
	if w.done == nil {
		return
	}
	timer := time.NewTimer(time.Until(w.deadline))
	defer timer.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
	case <-timer.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.settled() {
		g.giveUp(w, ctx.Err())
		// One waiter less changes the guarantees of the others.
		g.dispatch(time.Now())
	}
}

// giveUp refuses a waiter whose caller has gone or whose deadline has passed.
func (g *Gate) giveUp(w *waiter, cause error) {
	reason := g.waitReason(w)
	room := g.expectedWait(w, w.queue.length, time.Now())
	g.dequeue(w)
	w.err = g.refuse(reason, room, cause)
	w.wake()
}

func newWaiter(ctx context.Context, queueTimeout time.Duration) *waiter {
	now := time.Now()
	w := &waiter{since: now, deadline: now.Add(queueTimeout)}
	w.answerBy, w.bounded = ctx.Deadline()
	return w
}
