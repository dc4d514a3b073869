package admission

import "time"

// smoothing is the weight of the newest sample in an average.
const smoothing = 0.1

// average is an exponentially weighted moving average of durations.
type average struct {
	value time.Duration
	known bool
}

// add counts a sample with the weight given, from 0 to 1.
func (a *average) add(sample time.Duration, weight float64) {
	if !a.known {
		a.value, a.known = sample, true
		return
	}
	a.value += time.Duration(weight * float64(sample-a.value))
}

// or returns the average, or fallback where there is none yet.
func (a *average) or(fallback time.Duration) time.Duration {
	if a.known {
		return a.value
	}
	return fallback
}

func (g *Gate) slotTime(p *plan) time.Duration {
	return p.slotTime.or(g.allSlotTime.or(initialSlotTime))
}

// slotWait estimates how long a new waiter of p would wait for a slot, behind
// ahead others of its plan: the time until a slot frees, and the lesser of the
// whole queue's work over all slots and its own plan's over the plan's share.
func (g *Gate) slotWait(p *plan, ahead int, now time.Time) time.Duration {
	slots := float64(max(g.slotLimit, 1))
	var queued, weights float64
	for _, other := range g.slotPlans {
		queued += float64(other.slotQueueLength()) * float64(g.slotTime(other))
		weights += other.weight()
	}
	share := slots * p.weight() / max(weights, p.weight())
	own := float64(ahead) * float64(g.slotTime(p)) / share
	return g.nextSlot(now) + time.Duration(min(queued/slots, own))
}

// nextSlot estimates the time until a slot frees. Statements that have all run
// for long are expected to run for as long again, so that a stalled backend
// server is noticed before any of its statements ends.
func (g *Gate) nextSlot(now time.Time) time.Duration {
	if len(g.running) < g.slotLimit {
		return 0
	}
	youngest := time.Duration(-1)
	for _, slot := range g.running {
		elapsed := now.Sub(slot.start)
		if youngest < 0 || elapsed < youngest {
			youngest = elapsed
		}
	}
	usual := g.allSlotTime.or(initialSlotTime) / time.Duration(max(g.slotLimit, 1))
	return max(usual, youngest)
}

// connectionWait estimates how long a new waiter of p would wait for a
// connection behind ahead others of its plan: by the pace at which the plan's
// queue moves, which holds the plan's limit and share and the length of its
// transactions. A plan's first waiter is always let in, so that there is a pace
// to observe.
func (g *Gate) connectionWait(p *plan, ahead int, now time.Time) time.Duration {
	if ahead == 0 {
		return 0
	}
	pace := p.connectionPace.or(g.slotTime(p) / time.Duration(max(g.slotLimit, 1)))
	return max(time.Duration(ahead+1)*pace, now.Sub(p.backlogSince))
}
