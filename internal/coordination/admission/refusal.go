package admission

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const failureStep = "admission"

// refuse counts a refusal and makes its failure. The time until there is room
// is spread by a half to either side, so that callers do not return together.
func (g *Gate) refuse(reason state.Reason, room time.Duration, cause error) error {
	g.refused[reason]++
	metrics.GetOrCreateCounter(`cyclamenpin_admission_refused_total{reason="` + string(reason) + `"}`).Inc()
	room = min(max(room, minRetryAfter), maxRetryAfter)
	retryAfter := room/2 + rand.N(room)
	return state.NotRun(reason, failureStep, string(g.server), retryAfter, cause)
}

// refuseAll refuses every waiter of a queue.
func (g *Gate) refuseAll(q *queue, reason state.Reason) {
	for q.head != nil {
		w := q.head
		g.dequeue(w)
		w.err = g.refuse(reason, minRetryAfter, nil)
		w.wake()
	}
}

// limitReason is why a plan that may hold no connection is refused.
func (g *Gate) limitReason(p *plan) state.Reason {
	if p.known {
		return state.ReasonPlanLimit
	}
	return state.ReasonNotAllowed
}

// waitReason is why a waiter did not get what it waits for.
func (g *Gate) waitReason(w *waiter) state.Reason {
	if w.queue == &w.plan.connectionQueue && w.plan.held >= w.plan.limit.MaxConnections {
		return state.ReasonPlanLimit
	}
	return state.ReasonOverloaded
}

// refuseIfHopeless refuses a waiter that just joined its queue behind ahead
// others of its plan, if a queue is full or its deadline is not surely met.
func (g *Gate) refuseIfHopeless(w *waiter, ahead int) {
	wait := g.margin(w.plan) * g.expectedWait(w, ahead, w.since)
	full := g.connectionWaiters+g.slotWaiters > g.queueTotal || w.plan.waiting() > g.queuePerPlan
	allowed := w.deadline.Sub(w.since)
	if !full && wait <= allowed {
		return
	}
	reason := g.waitReason(w)
	g.dequeue(w)
	w.err = g.refuse(reason, wait-allowed, nil)
}

// margin is the factor by which a waiter's time must exceed its expected wait.
// Statements differ, and one that is let in and then not served was held for
// nothing; so a plan with its share of all waiters or more needs twice the time.
// A plan with less would pay for the length of another's statements.
func (g *Gate) margin(p *plan) time.Duration {
	share := p.weight() / max(g.activeWeight, p.weight())
	if float64(p.waiting()) < share*float64(g.connectionWaiters+g.slotWaiters) {
		return 1
	}
	return crowdedMargin
}

func (g *Gate) expectedWait(w *waiter, ahead int, now time.Time) time.Duration {
	if w.queue == &w.plan.connectionQueue {
		return g.connectionWait(w.plan, ahead, now)
	}
	return g.slotWait(w.plan, ahead, now)
}
