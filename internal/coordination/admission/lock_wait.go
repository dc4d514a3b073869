package admission

import "time"

const (
	// minLockWait and maxLockWait bound the time from which a running statement
	// is presumed to wait for a lock. maxLockWait is well below the time that
	// requests wait in the queue.
	minLockWait = 100 * time.Millisecond
	maxLockWait = time.Second
	// lockWaitFactor is that time as a multiple of the average statement's.
	lockWaitFactor = 4
)

// lockWait returns how long a statement runs before it is presumed to wait for
// a lock.
func (g *Gate) lockWait() time.Duration {
	return min(max(lockWaitFactor*g.allSlotTime.valueOr(initialSlotTime), minLockWait), maxLockWait)
}

// grantBeyondLimit grants statements of open transactions one slot beyond the
// limit for each statement that is presumed to wait for a lock. The lock may be
// that of a transaction whose next statement waits for a slot: with all slots
// held by statements that wait for the lock, neither side could go on. The number
// of such grants is bounded by the connections, since each of the transactions
// holds one. New work gets none of them.
func (g *Gate) grantBeyondLimit(now time.Time) {
	p := g.nextWithTransaction()
	if p == nil {
		return
	}
	allowed := g.presumedLockWaiters(now)
	for ; p != nil && g.beyondLimit < allowed; p = g.nextWithTransaction() {
		if slot := g.grantOrRefuse(p.transactionQueue.head, now); slot != nil {
			slot.beyondLimit = true
			g.beyondLimit++
		}
	}
}

func (g *Gate) presumedLockWaiters(now time.Time) int {
	startedBefore := now.Add(-g.lockWait())
	count := 0
	for _, slot := range g.running {
		if !slot.start.After(startedBefore) {
			count++
		}
	}
	return count
}

// nextWithTransaction returns the plan whose open transactions get the next slot
// beyond the limit, or nil if no statement of one waits.
func (g *Gate) nextWithTransaction() *plan {
	var best *plan
	for _, p := range g.slotPlans {
		if p.transactionQueue.head != nil && (best == nil || slotBefore(p, best)) {
			best = p
		}
	}
	return best
}

// lockWaitTicks returns a channel on which a waiter is told to check for
// statements that are presumed to wait for a lock, and a function that ends the
// ticks. The channel is nil for a waiter that is not in a transaction.
func (w *waiter) lockWaitTicks() (ticks <-chan time.Time, stop func()) {
	if !w.inTransaction {
		return nil, func() {}
	}
	ticker := time.NewTicker(minLockWait)
	return ticker.C, ticker.Stop
}

// recheckLockWait grants slots beyond the limit, since time has passed.
func (g *Gate) recheckLockWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.grantBeyondLimit(time.Now())
}
