package admission

import "time"

// smoothing is the weight of the newest sample in a moving average.
const smoothing = 0.1

// average is an exponentially weighted moving average of durations.
type average struct {
	value    time.Duration
	hasValue bool
}

// add includes a sample with the given weight, from 0 to 1.
func (a *average) add(sample time.Duration, weight float64) {
	if !a.hasValue {
		a.value, a.hasValue = sample, true
		return
	}
	a.value += time.Duration(weight * float64(sample-a.value))
}

// valueOr returns the average, or fallback if there is no sample yet.
func (a *average) valueOr(fallback time.Duration) time.Duration {
	if a.hasValue {
		return a.value
	}
	return fallback
}

func (g *Gate) slotTime(p *plan) time.Duration {
	return p.slotTime.valueOr(g.allSlotTime.valueOr(initialSlotTime))
}

// slotWait estimates how long a new waiter would wait for a slot behind ahead
// other waiters of its plan. It is the time until a slot is free, plus the
// lesser of two times: that to run all queued statements on all slots, and that
// to run the plan's own queue on the plan's share of the slots.
func (g *Gate) slotWait(w *waiter, ahead int, now time.Time) time.Duration {
	p := w.plan
	slots := float64(max(g.slotLimit, 1))
	var queued, weights float64
	for _, other := range g.slotPlans {
		queued += float64(other.slotQueueLength()) * float64(g.slotTime(other))
		weights += other.weight()
	}
	share := slots * p.weight() / max(weights, p.weight())
	ownQueue := float64(ahead) * float64(g.slotTime(p)) / share
	untilFree := g.timeToFreeSlot(now)
	if w.inTransaction {
		untilFree = min(untilFree, g.lockWait()) // see grantBeyondLimit
	}
	return untilFree + time.Duration(min(queued/slots, ownQueue))
}

// timeToFreeSlot estimates the time until a slot is free. The statement that
// has run for the shortest time is expected to run for as long again, so that a
// stalled backend server lengthens the estimate before any statement ends.
func (g *Gate) timeToFreeSlot(now time.Time) time.Duration {
	if g.slotIsFree() {
		return 0
	}
	shortest := time.Duration(-1)
	for _, slot := range g.running {
		elapsed := now.Sub(slot.start)
		if shortest < 0 || elapsed < shortest {
			shortest = elapsed
		}
	}
	expected := g.allSlotTime.valueOr(initialSlotTime) / time.Duration(max(g.slotLimit, 1))
	return max(expected, shortest)
}

// connectionWait estimates how long a new waiter of p would wait for a
// connection behind ahead other waiters of its plan. It uses the average
// interval between grants to the plan, which reflects the plan's limit, its
// share and the length of its transactions. The estimate for a plan's first
// waiter is zero, so that it is queued and an interval can be observed.
func (g *Gate) connectionWait(p *plan, ahead int, now time.Time) time.Duration {
	if ahead == 0 {
		return 0
	}
	interval := p.connectionInterval.valueOr(g.slotTime(p) / time.Duration(max(g.slotLimit, 1)))
	return max(time.Duration(ahead+1)*interval, now.Sub(p.lastProgress))
}
