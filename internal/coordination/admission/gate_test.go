package admission

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const tick = time.Millisecond

// client is one randomly drawn request. It holds a connection while it runs its
// statements.
type client struct {
	plan        state.PlanID
	start       time.Duration
	timeout     time.Duration
	cancelAfter time.Duration // zero means never
	statements  []time.Duration
	idle        time.Duration // between statements
}

// configChange is one randomly drawn change by the operators or the platform.
type configChange struct {
	at                 time.Duration
	kind               int
	connections, slots int
	limit              PlanLimit
}

type scenario struct {
	options Options
	limits  map[state.PlanID]PlanLimit
	clients []client
	changes []configChange
}

func drawMillis(t *rapid.T, low, high int, label string) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * tick
}

func drawScenario(t *rapid.T, withChanges bool) scenario {
	s := scenario{limits: map[state.PlanID]PlanLimit{}}
	s.options = Options{
		Server:       "server-1",
		Connections:  rapid.IntRange(1, 8).Draw(t, "connections"),
		Slots:        rapid.IntRange(1, 3).Draw(t, "slots"),
		QueuePerPlan: rapid.IntRange(1, 20).Draw(t, "queue"),
	}
	plans := []state.PlanID{"a", "b", "c"}
	for _, plan := range plans {
		s.limits[plan] = PlanLimit{
			MaxConnections: rapid.IntRange(0, 6).Draw(t, "limit"), Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
		}
	}
	for range rapid.IntRange(1, 40).Draw(t, "clients") {
		c := client{
			plan:    rapid.SampledFrom(plans).Draw(t, "plan"),
			start:   drawMillis(t, 0, 60, "start"),
			timeout: drawMillis(t, 0, 40, "timeout"),
			idle:    drawMillis(t, 0, 5, "idle"),
		}
		if rapid.IntRange(0, 3).Draw(t, "cancels") == 0 {
			c.cancelAfter = drawMillis(t, 1, 40, "cancel")
		}
		for range rapid.IntRange(0, 3).Draw(t, "statements") {
			c.statements = append(c.statements, drawMillis(t, 0, 12, "statement"))
		}
		s.clients = append(s.clients, c)
	}
	for range rapid.IntRange(0, 5).Draw(t, "changes") * boolInt(withChanges) {
		s.changes = append(s.changes, configChange{
			at: drawMillis(t, 1, 60, "at"), kind: rapid.IntRange(0, 3).Draw(t, "kind"),
			connections: rapid.IntRange(0, 8).Draw(t, "connections"), slots: rapid.IntRange(0, 4).Draw(t, "slots"),
			limit: PlanLimit{MaxConnections: rapid.IntRange(0, 6).Draw(t, "limit"), Weight: 1},
		})
	}
	return s
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// checker collects the first violation of an invariant.
type checker struct {
	mu        sync.Mutex
	violation string
	// held, total and running are the counts at the previous check, less what
	// has been released since. Limits change only between checks, so a count
	// above its limit must equal the one kept here.
	held           map[state.PlanID]int
	total, running int
}

func (c *checker) releaseConnection(lease *Lease, plan state.PlanID) {
	lease.Release()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[plan]--
	c.total--
}

func (c *checker) releaseSlot(slot *Slot, outcome SlotOutcome) {
	slot.Release(outcome)
	slot.Release(outcome)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

func (c *checker) failIf(bad bool, format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if bad && c.violation == "" {
		c.violation = fmt.Sprintf(format, values...)
	}
}

// check compares the state of a Gate, in which nothing runs, with its limits.
func (c *checker) check(g *Gate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, running, connectionWaiters, slotWaiters := 0, 0, 0, 0
	for id, p := range g.plans {
		above := p.held > p.limit.MaxConnections && p.held != c.held[id]
		c.failIf(above, "plan %s holds %d of %d connections", id, p.held, p.limit.MaxConnections)
		eligible := p.connectionQueue.length > 0 && p.held < p.limit.MaxConnections
		below := float64(p.held+1) <= 0.75*float64(g.connections-1)*p.weight()/g.activeWeight || p.held == 0
		spare := g.connections - g.held
		c.failIf(eligible && below && spare > 0, "plan %s waits below its guarantee", id)
		c.failIf(eligible && spare > max(1, g.connections/4), "plan %s waits beside %d free connections", id, spare)
		c.failIf(p.connectionQueue.length > 0 && spare > 0 && g.mayHoldMore(p), "plan %s was not woken", id)
		c.held[id] = p.held
		held += p.held
		running += p.running
		connectionWaiters += p.connectionQueue.length
		slotWaiters += p.slotQueueLength()
	}
	c.failIf(held != g.held || running != len(g.running), "counts of grants differ")
	c.failIf(connectionWaiters != g.connectionWaiters || slotWaiters != g.slotWaiters, "counts of waiters differ")
	c.failIf(held > g.connections && held != c.total, "%d of %d connections", held, g.connections)
	c.failIf(running > g.slotLimit && running != c.running, "%d of %d slots", running, g.slotLimit)
	c.failIf(slotWaiters > 0 && running < g.slotLimit, "%d wait beside %d of %d slots", slotWaiters, running, g.slotLimit)
	c.total, c.running = held, running
}

// checkCall checks that a call returned by its deadline, and its error if any.
func (c *checker) checkCall(err error, began time.Time, allowed time.Duration) {
	took := time.Since(began)
	c.failIf(took > allowed, "call took %v, allowed %v", took, allowed)
	if err == nil {
		return
	}
	failure, ok := state.AsFailure(err)
	c.failIf(!ok || failure.Outcome != state.OutcomeNotRun, "error is %v", err)
	c.failIf(ok && (failure.RetryAfter <= 0 || failure.Peer != "server-1"), "incomplete failure %+v", failure)
}

func (c *checker) run(g *Gate, request client) {
	time.Sleep(request.start)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if request.cancelAfter > 0 {
		ctx, cancel = context.WithTimeout(ctx, request.cancelAfter)
		defer cancel()
	}
	began := time.Now()
	lease, err := g.AcquireConnection(ctx, request.plan, request.timeout)
	c.checkCall(err, began, request.timeout)
	if err != nil {
		return
	}
	defer c.releaseConnection(lease, request.plan)
	for i, length := range request.statements {
		began = time.Now()
		slot, err := g.AcquireSlot(ctx, request.plan, i > 0, request.timeout)
		c.checkCall(err, began, request.timeout)
		if err != nil {
			return
		}
		time.Sleep(length)
		c.releaseSlot(slot, SlotOutcome(i%2))
		time.Sleep(request.idle)
	}
}

func apply(g *Gate, limits map[state.PlanID]PlanLimit, change configChange) {
	switch change.kind {
	case 0:
		g.SetCapacity(change.connections, change.slots)
	case 1:
		g.SetLimits(map[state.PlanID]PlanLimit{"a": change.limit, "b": limits["b"]})
	case 2:
		g.SetLeaving(true)
	case 3:
		g.SetLeaving(false)
	}
}

// runScenario runs a scenario in virtual time and returns the first violation.
func runScenario(t *testing.T, s scenario) string {
	c := &checker{held: map[state.PlanID]int{}}
	synctest.Test(t, func(*testing.T) {
		g := NewGate(s.options)
		g.SetLimits(s.limits)
		var clients sync.WaitGroup
		for _, request := range s.clients {
			clients.Go(func() { c.run(g, request) })
		}
		for step := range 300 {
			synctest.Wait()
			c.check(g)
			for _, change := range s.changes {
				if change.at+tick/2 == time.Duration(step)*tick/2 {
					apply(g, s.limits, change)
					synctest.Wait()
					c.check(g)
				}
			}
			time.Sleep(tick / 2)
		}
		clients.Wait()
		g.mu.Lock()
		defer g.mu.Unlock()
		left := g.held + len(g.running) + g.connectionWaiters + g.slotWaiters + len(g.connectionPlans) + len(g.slotPlans)
		c.failIf(left != 0 || g.activeWeight != 0, "left over: %d, weight %v", left, g.activeWeight)
		c.failIf(len(g.plans) != g.plansWithLimit, "%d plans kept, %d known", len(g.plans), g.plansWithLimit)
	})
	return c.violation
}

// TestGateInvariants checks, for random clients that time out and cancel, that
// limits are never exceeded, that no eligible request waits while capacity is
// free, that every call returns by its deadline, and that nothing leaks.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		require.Empty(rt, runScenario(t, drawScenario(rt, false)))
	})
}

// TestGateInvariantsUnderChange checks the same while limits, capacity and the
// leaving state change. What exceeds a reduced limit must not grow.
func TestGateInvariantsUnderChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		require.Empty(rt, runScenario(t, drawScenario(rt, true)))
	})
}
