package admission

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// SlotOutcome says how the use of a slot ended.
type SlotOutcome uint8

const (
	// SlotCompleted means that the statement ran to its end, so that its time
	// is included in the expected time of later statements.
	SlotCompleted SlotOutcome = iota
	// SlotAborted means that the statement was not sent or did not complete.
	SlotAborted
)

// Slot is the right to run one statement until Release.
type Slot struct {
	gate  *Gate
	plan  *plan
	start time.Time
	// charged is the slot time already added to the plan's virtual time.
	charged  time.Duration
	released bool
	// beyondLimit is set if the slot was granted by grantBeyondLimit.
	beyondLimit bool
}

// AcquireSlot waits for at most queueTimeout until one more statement of the
// plan may run. inTransaction is set for a statement of an open transaction.
// Its error is a *state.Failure with OutcomeNotRun, returned at once if the
// wait is expected to exceed queueTimeout.
func (g *Gate) AcquireSlot(
	ctx context.Context, id state.PlanID, inTransaction bool, queueTimeout time.Duration,
) (*Slot, error) {
	w := newWaiter(ctx, queueTimeout)
	w.inTransaction = inTransaction
	g.mu.Lock()
	if w.err = g.setPlanForSlot(w, id); w.err == nil {
		g.admit(w, w.plan.slotQueue(inTransaction))
	}
	g.mu.Unlock()
	g.await(ctx, w)
	return w.slot, w.err
}

// setPlanForSlot sets the waiter's plan, or returns a refusal. A plan that has
// lost its limit may still run statements on the connections that it holds.
func (g *Gate) setPlanForSlot(w *waiter, id state.PlanID) error {
	if g.leaving && !w.inTransaction {
		return g.refuse(state.ReasonLeaving, minRetryAfter, nil)
	}
	p, found := g.plans[id]
	if !found {
		return g.refuse(state.ReasonNotAllowed, maxRetryAfter, nil)
	}
	w.plan = p
	return nil
}

// Release returns the slot to the Gate. Further calls have no effect.
func (s *Slot) Release(outcome SlotOutcome) {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := time.Now()
	elapsed := now.Sub(s.start)
	s.plan.charge(elapsed - s.charged)
	if outcome == SlotCompleted {
		g.observe(s.plan, elapsed)
	}
	g.running = without(g.running, s)
	if s.beyondLimit {
		g.beyondLimit--
	}
	g.update(s.plan, func() { s.plan.running-- })
	g.dispatch(now)
}

// observe adds the time of a completed statement to the averages and updates
// the slot limit.
func (g *Gate) observe(p *plan, elapsed time.Duration) {
	p.slotTime.add(elapsed, smoothing)
	g.allSlotTime.add(elapsed, smoothing)
	g.concurrency.observe(elapsed)
	g.slotLimit = g.concurrency.limit()
}

// dispatchSlots grants free slots to waiters.
func (g *Gate) dispatchSlots(now time.Time) {
	if g.slotWaiters == 0 {
		return
	}
	if g.slotIsFree() {
		g.chargeRunning(now)
	}
	for g.slotIsFree() && g.slotWaiters > 0 {
		g.grantOrRefuse(g.nextForSlot().firstSlotWaiter(), now)
	}
	g.grantBeyondLimit(now)
}

func (g *Gate) slotIsFree() bool {
	return len(g.running)-g.beyondLimit < g.slotLimit
}

// grantOrRefuse grants a slot to a waiter, or refuses it if its deadline has
// passed. It returns the slot, or nil.
func (g *Gate) grantOrRefuse(w *waiter, now time.Time) *Slot {
	if w.deadline.Before(now) {
		g.refuseAfterWait(w, context.DeadlineExceeded)
		return nil
	}
	return g.grantSlot(w, now)
}

// chargeRunning charges plans for the time that their running statements have
// taken beyond what was already charged.
func (g *Gate) chargeRunning(now time.Time) {
	for _, slot := range g.running {
		excess := now.Sub(slot.start) - slot.charged
		if excess > 0 {
			slot.plan.charge(excess)
			slot.charged += excess
		}
	}
}

// grantSlot grants a slot to a waiter and charges its plan the expected time of
// a statement.
func (g *Gate) grantSlot(w *waiter, now time.Time) *Slot {
	p := w.plan
	g.virtualTime = max(g.virtualTime, p.virtualTime)
	slot := &Slot{gate: g, plan: p, start: now, charged: g.slotTime(p)}
	p.charge(slot.charged)
	p.running++
	g.running = append(g.running, slot)
	g.dequeue(w)
	w.slot = slot
	w.wake()
	return slot
}

// nextForSlot returns the waiting plan with the lowest slotRank: the one that
// has used the least slot time for its weight, allowing for transactionLead.
func (g *Gate) nextForSlot() *plan {
	var best *plan
	for _, p := range g.slotPlans {
		if best == nil || slotBefore(p, best) {
			best = p
		}
	}
	return best
}

func slotBefore(a, b *plan) bool {
	rankA, rankB := a.slotRank(), b.slotRank()
	if rankA != rankB {
		return rankA < rankB
	}
	return waitsLonger(a.firstSlotWaiter(), b.firstSlotWaiter())
}
