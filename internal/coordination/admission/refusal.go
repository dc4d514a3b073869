package admission

import (
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const failureStep = "admission"

// refuse counts a refusal and returns its failure. The time until a retry is
// delay, randomised by up to half in either direction, so that callers do not
// all retry at once.
func (g *Gate) refuse(reason state.Reason, delay time.Duration, cause error) error {
	g.refused[reason]++
	metrics.GetOrCreateCounter(`cyclamenpin_admission_refused_total{reason="` + string(reason) + `"}`).Inc()
	delay = min(max(delay, minRetryAfter), maxRetryAfter)
	retryAfter := delay/2 + rand.N(delay)
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

// limitReason returns why a plan that may not hold any connection is refused.
func (g *Gate) limitReason(p *plan) state.Reason {
	if p.hasLimit {
		return state.ReasonPlanLimit
	}
	return state.ReasonNotAllowed
}

// waitReason returns why a waiter did not get a connection or slot in time.
func (g *Gate) waitReason(w *waiter) state.Reason {
	if w.queue == &w.plan.connectionQueue && w.plan.held >= w.plan.limit.MaxConnections {
		return state.ReasonPlanLimit
	}
	return state.ReasonOverloaded
}

// refuseIfOverloaded refuses a waiter that has just joined its queue behind
// ahead other waiters of its plan, if the queues are full or the expected wait,
// multiplied by the safety factor, ends after its deadline. The lengths of the
// queues don't count for a statement of an open transaction: it goes ahead of its
// plan's new work, and there are no more of them than connections.
func (g *Gate) refuseIfOverloaded(w *waiter, ahead int) {
	wait := g.safetyFactor(w.plan) * g.expectedWait(w, ahead, w.since)
	full := g.connectionWaiters+g.slotWaiters > g.queueTotal || w.plan.waiting() > g.queuePerPlan
	full = full && !w.inTransaction
	allowed := w.deadline.Sub(w.since)
	if !full && wait <= allowed {
		return
	}
	reason := g.waitReason(w)
	g.dequeue(w)
	w.err = g.refuse(reason, wait-allowed, nil)
}

// safetyFactor returns how many times its expected wait a waiter must be able
// to wait in order to be queued. Statement times vary, and a request that is
// queued but not granted has waited in vain, so the factor is 2 for a plan that
// has its share of all waiters or more. It is 1 for a plan with fewer waiters,
// which would otherwise be refused because of other plans' long statements.
func (g *Gate) safetyFactor(p *plan) time.Duration {
	share := p.weight() / max(g.activeWeight, p.weight())
	if float64(p.waiting()) < share*float64(g.connectionWaiters+g.slotWaiters) {
		return 1
	}
	return crowdedSafetyFactor
}

func (g *Gate) expectedWait(w *waiter, ahead int, now time.Time) time.Duration {
	if w.queue == &w.plan.connectionQueue {
		return g.connectionWait(w.plan, ahead, now)
	}
	return g.slotWait(w, ahead, now)
}
