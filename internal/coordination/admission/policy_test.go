package admission

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func newTestGate(limits map[state.PlanID]PlanLimit) *Gate {
	g := NewGate(Options{Server: "server-1", Connections: 10, Slots: 3})
	g.SetLimits(limits)
	return g
}

// flood keeps statements of a plan waiting until end, and returns the slot time
// that they used.
func flood(g *Gate, plan state.PlanID, callers int, inTransaction bool, length time.Duration, end time.Time) time.Duration {
	var mu sync.Mutex
	var used time.Duration
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for time.Now().Before(end) {
				slot, err := g.AcquireSlot(context.Background(), plan, inTransaction, time.Minute)
				if err != nil {
					return
				}
				time.Sleep(length)
				slot.Release(SlotCompleted)
				mu.Lock()
				used += length
				mu.Unlock()
			}
		})
	}
	running.Wait()
	return used
}

// TestSlotTimeFollowsWeights checks that plans whose demand always exceeds their
// share get slot time in proportion to their weights, whatever the length of
// their statements.
func TestSlotTimeFollowsWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lengths := [2]time.Duration{drawMillis(rt, 5, 40, "length a"), drawMillis(rt, 2, 60, "length b")}
		weights := [2]int{rapid.IntRange(1, 3).Draw(rt, "weight a"), rapid.IntRange(1, 3).Draw(rt, "weight b")}
		var used [2]time.Duration
		synctest.Test(t, func(*testing.T) {
			g := newTestGate(map[state.PlanID]PlanLimit{"a": {10, weights[0]}, "b": {10, weights[1]}})
			end := time.Now().Add(3 * time.Second)
			var plans sync.WaitGroup
			for i, plan := range []state.PlanID{"a", "b"} {
				plans.Go(func() { used[i] = flood(g, plan, 8, false, lengths[i], end) })
			}
			plans.Wait()
		})
		share := used[0].Seconds() / (used[0] + used[1]).Seconds()
		want := float64(weights[0]) / float64(weights[0]+weights[1])
		require.InDelta(rt, want, share, 0.08)
	})
}

// TestUnusedShareIsNotSaved checks that a plan that was idle for a while gets its
// share afterwards and no more.
func TestUnusedShareIsNotSaved(t *testing.T) {
	var used [2]time.Duration
	synctest.Test(t, func(*testing.T) {
		g := newTestGate(map[state.PlanID]PlanLimit{"a": {10, 1}, "b": {10, 1}})
		flood(g, "a", 8, false, 10*tick, time.Now().Add(time.Second))
		end := time.Now().Add(time.Second)
		var plans sync.WaitGroup
		for i, plan := range []state.PlanID{"a", "b"} {
			plans.Go(func() { used[i] = flood(g, plan, 8, false, 10*tick, end) })
		}
		plans.Wait()
	})
	require.InDelta(t, 0.5, used[0].Seconds()/(used[0]+used[1]).Seconds(), 0.05)
}

// TestGrantDuringCancellationIsNotLost checks that a connection does not leak
// when it is released at the moment when a waiter's context is cancelled.
func TestGrantDuringCancellationIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(map[state.PlanID]PlanLimit{"a": {1, 1}})
		for range 200 {
			first, err := g.AcquireConnection(t.Context(), "a", 0)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), 20*tick)
			var release sync.WaitGroup
			release.Go(func() {
				time.Sleep(20*tick - g.Snapshot().ExpectedSlotTime)
				first.Release()
				cancel()
			})
			second, err := g.AcquireConnection(ctx, "a", time.Second)
			if err == nil {
				second.Release()
			}
			release.Wait()
			require.Zero(t, g.Snapshot().ConnectionsHeld)
		}
	})
}

// TestFloodDoesNotStarve checks that a plan's wait is bounded while another plan
// floods the gate: by two statements of the flood and the lead of open
// transactions.
func TestFloodDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		length := drawMillis(rt, 1, 200, "length")
		inTransaction := rapid.Bool().Draw(rt, "in transaction")
		var worst time.Duration
		var failure error
		synctest.Test(t, func(*testing.T) {
			g := newTestGate(map[state.PlanID]PlanLimit{"a": {10, 1}, "b": {10, 1}})
			end := time.Now().Add(time.Second)
			var others sync.WaitGroup
			others.Go(func() { flood(g, "a", 20, inTransaction, length, end) })
			for time.Now().Before(end) {
				time.Sleep(20 * time.Millisecond)
				began := time.Now()
				slot, err := g.AcquireSlot(context.Background(), "b", false, 10*time.Second)
				failure = errors.Join(failure, err)
				worst = max(worst, time.Since(began))
				if err == nil {
					time.Sleep(tick)
					slot.Release(SlotCompleted)
				}
			}
			others.Wait()
		})
		require.NoError(rt, failure)
		require.LessOrEqual(rt, worst, length+100*time.Millisecond+length)
	})
}

// TestIdleTransactionsLeaveConnections checks that a plan that acquires as many
// connections as it can, and keeps them, leaves some for a plan that starts or
// needs more later.
func TestIdleTransactionsLeaveConnections(t *testing.T) {
	for _, before := range []int{0, 1, 5} {
		synctest.Test(t, func(t *testing.T) {
			g := newTestGate(map[state.PlanID]PlanLimit{"a": {10, 1}, "b": {10, 1}})
			open := func(plan state.PlanID, times int) int {
				for range times {
					g.AcquireConnection(t.Context(), plan, 0)
				}
				return g.plans[plan].held
			}
			require.Equal(t, before, open("b", before))
			require.Equal(t, map[int]int{0: 8, 1: 7, 5: 5}[before], open("a", 10))
			require.Equal(t, map[int]int{0: 2, 1: 3, 5: 5}[before], open("b", 10))
		})
	}
}

// TestUnservableRequestIsRefusedAtOnce checks that a request is refused without
// waiting when the queue is too long, or when the server is stalled or leaving,
// and that a leaving server still runs the statements of open transactions.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(map[state.PlanID]PlanLimit{"a": {10, 1}})
		refused := func(reason state.Reason) {
			t.Helper()
			began := time.Now()
			_, err := g.AcquireSlot(t.Context(), "a", false, 500*time.Millisecond)
			failure, ok := state.AsFailure(err)
			require.True(t, ok)
			require.Equal(t, reason, failure.Reason)
			require.Zero(t, time.Since(began))
		}
		var floods sync.WaitGroup
		floods.Go(func() { flood(g, "a", 200, false, 50*time.Millisecond, time.Now().Add(time.Second)) })
		time.Sleep(500 * time.Millisecond)
		refused(state.ReasonOverloaded)
		floods.Wait()
		var slots []*Slot
		for range 3 {
			slot, err := g.AcquireSlot(t.Context(), "a", false, 0)
			require.NoError(t, err)
			slots = append(slots, slot)
		}
		time.Sleep(2 * time.Second)
		refused(state.ReasonOverloaded)
		for range 10 {
			_, err := g.AcquireConnection(t.Context(), "a", 0)
			require.NoError(t, err)
		}
		floods.Go(func() {
			_, err := g.AcquireConnection(t.Context(), "a", time.Second)
			failure, _ := state.AsFailure(err)
			require.Equal(t, state.ReasonLeaving, failure.Reason)
		})
		synctest.Wait()
		g.SetLeaving(true)
		slots[0].Release(SlotAborted)
		refused(state.ReasonLeaving)
		_, err := g.AcquireSlot(t.Context(), "a", true, 0)
		require.NoError(t, err)
		floods.Wait()
	})
}

// TestConcurrencyLimit checks that the limit exceeds the slots only to fill the
// network round trip, or if the statements are short.
func TestConcurrencyLimit(t *testing.T) {
	for _, c := range []struct{ roundTrip, elapsed, want int }{
		{0, 0, 3}, {0, 5, 6}, {0, 10, 6}, {0, 20, 5}, {0, 100, 3}, {24, 29, 6}, {24, 124, 4}, {1, 101, 3}, {9, 5, 6},
	} {
		limit := concurrency{slots: 3, roundTrip: time.Duration(c.roundTrip) * tick}
		if c.elapsed > 0 {
			limit.observe(time.Duration(c.elapsed) * tick)
		}
		require.Equal(t, c.want, limit.limit(), c)
	}
}

// TestRetryBudgetBound checks that the retries never exceed the burst plus the
// share of the successes and the rate over time.
func TestRetryBudgetBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOf(rapid.IntRange(0, 2)).Draw(rt, "steps")
		synctest.Test(t, func(*testing.T) {
			budget := NewRetryBudget(0.25, 2, 3)
			bound := 3.0
			for _, step := range steps {
				switch {
				case step == 0:
					budget.RecordSuccess()
					bound += 0.25
				case step == 1:
					time.Sleep(100 * tick)
					bound += 0.2
				case budget.Take():
					bound--
				}
			}
			require.GreaterOrEqual(rt, bound, -1e-9)
		})
	})
}

// TestPacer checks that concurrent attempts stay within the bound, that failures
// reduce them to one at a time, and that all callers succeed once the server is
// available again.
func TestPacer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		concurrent := rapid.IntRange(1, 4).Draw(rt, "concurrent")
		callers := rapid.IntRange(1, 30).Draw(rt, "callers")
		outage := drawMillis(rt, 0, 5000, "outage")
		var mu sync.Mutex
		running, maxRunning, attempts, opened := 0, 0, 0, 0
		synctest.Test(t, func(*testing.T) {
			p := NewPacer("server-1", concurrent)
			outageEnd := time.Now().Add(outage)
			open := func(context.Context) error {
				mu.Lock()
				attempts++
				running++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				time.Sleep(12 * tick)
				mu.Lock()
				defer mu.Unlock()
				running--
				if time.Now().Before(outageEnd) {
					return errUnresponsive
				}
				opened++
				return nil
			}
			var all sync.WaitGroup
			for range callers {
				all.Go(func() {
					for p.Open(context.Background(), open) != nil {
					}
				})
			}
			all.Wait()
		})
		require.Equal(rt, callers, opened)
		require.LessOrEqual(rt, maxRunning, concurrent)
		failed := attempts - opened
		require.LessOrEqual(rt, failed, concurrent+12+int(outage/time.Second)*2)
	})
}

// TestPacerRefusesAtOnce checks that a caller whose deadline is before the end of
// the pause is refused without waiting.
func TestPacerRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer("server-1", 1)
		require.ErrorIs(t, p.Open(t.Context(), func(context.Context) error { return errUnresponsive }), errUnresponsive)
		ctx, cancel := context.WithTimeout(t.Context(), tick)
		defer cancel()
		began := time.Now()
		failure, ok := state.AsFailure(p.Open(ctx, func(context.Context) error { return nil }))
		require.True(t, ok)
		require.Equal(t, state.OutcomeNotRun, failure.Outcome)
		require.Zero(t, time.Since(began))
	})
}
