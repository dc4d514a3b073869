package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// occupy runs statements that end when release is closed, as those do that wait
// for a lock.
func occupy(t *testing.T, g *Gate, plan state.PlanID, count int, inTransaction bool, release <-chan struct{}) *sync.WaitGroup {
	var running sync.WaitGroup
	for range count {
		running.Go(func() {
			slot, err := g.AcquireSlot(t.Context(), plan, inTransaction, 5*time.Second)
			if err != nil {
				return
			}
			<-release
			slot.Release(SlotCompleted)
		})
	}
	synctest.Wait()
	return &running
}

// TestHolderOfALockGetsASlot answers statements that hold all slots while they
// wait for a lock: the next statement of the transaction that holds the lock
// runs, and new work does not. Other transactions wait for the lock as well and
// are ahead in the queue.
func TestHolderOfALockGetsASlot(t *testing.T) {
	for _, others := range []int{0, 5, 20} {
		synctest.Test(t, func(t *testing.T) {
			g := newTestGate(map[state.PlanID]PlanLimit{"a": {30, 1}, "b": {10, 1}})
			unlocked := make(chan struct{})
			waiters := occupy(t, g, "a", 3, false, unlocked)
			queued := occupy(t, g, "a", others, true, unlocked)
			newWork := occupy(t, g, "b", 1, false, unlocked)
			time.Sleep(time.Second)
			began := time.Now()
			slot, err := g.AcquireSlot(t.Context(), "a", true, 5*time.Second)
			took, left := time.Since(began), g.Snapshot().SlotWaiters
			close(unlocked)
			require.NoError(t, err, "%d other transactions", others)
			require.LessOrEqual(t, took, time.Second)
			require.Equal(t, 1, left, "new work runs beside the waiters")
			slot.Release(SlotCompleted)
			waiters.Wait()
			queued.Wait()
			newWork.Wait()
			require.Zero(t, g.beyondLimit)
		})
	}
}

// TestTransactionsKeepToTheSlots answers an overload by transactions whose
// statements are long but end: no more run than there are slots.
func TestTransactionsKeepToTheSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(map[state.PlanID]PlanLimit{"a": {30, 1}})
		flood(g, "a", 3, true, 80*tick, time.Now().Add(time.Second))
		var most int
		end := time.Now().Add(2 * time.Second)
		var watch sync.WaitGroup
		watch.Go(func() {
			for time.Now().Before(end) {
				most = max(most, g.Snapshot().SlotsHeld)
				time.Sleep(tick)
			}
		})
		flood(g, "a", 20, true, 150*tick, end)
		watch.Wait()
		require.LessOrEqual(t, most, g.Snapshot().SlotLimit)
	})
}

// TestLockWaitersLeaveNewWorkItsSlots answers a flood of transactions beside
// statements that run for long: another plan's new work still gets the slots that
// those leave.
func TestLockWaitersLeaveNewWorkItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(map[state.PlanID]PlanLimit{"a": {30, 1}, "b": {10, 1}})
		unlocked := make(chan struct{})
		flood(g, "a", 3, true, 10*tick, time.Now().Add(time.Second))
		waiters := occupy(t, g, "a", g.Snapshot().SlotLimit-1, false, unlocked)
		time.Sleep(maxLockWait)
		end := time.Now().Add(2 * time.Second)
		var others sync.WaitGroup
		others.Go(func() { flood(g, "a", 20, true, 10*tick, end) })
		time.Sleep(tick)
		for time.Now().Before(end) {
			slot, err := g.AcquireSlot(t.Context(), "b", false, transactionLead)
			if !assert.NoError(t, err) {
				break
			}
			time.Sleep(tick)
			slot.Release(SlotCompleted)
		}
		close(unlocked)
		waiters.Wait()
		others.Wait()
	})
}

// TestFullQueueRefusesNoTransaction answers a flood of new work that fills the
// plan's queue: a statement of an open transaction goes ahead of the queue, so
// it is not refused for its length.
func TestFullQueueRefusesNoTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(map[state.PlanID]PlanLimit{"a": {30, 1}})
		ctx, cancel := context.WithCancel(t.Context())
		var callers sync.WaitGroup
		for range 2 * defaultQueuePerPlan {
			callers.Go(func() {
				slot, err := g.AcquireSlot(ctx, "a", false, time.Minute)
				if err == nil {
					time.Sleep(20 * tick)
					slot.Release(SlotCompleted)
				}
			})
		}
		synctest.Wait()
		require.Equal(t, defaultQueuePerPlan, g.Snapshot().SlotWaiters)
		slot, err := g.AcquireSlot(t.Context(), "a", true, 50*tick)
		require.NoError(t, err)
		slot.Release(SlotCompleted)
		cancel()
		callers.Wait()
	})
}
