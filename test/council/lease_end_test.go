package council

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// longTimeout is a statement timeout that exceeds what promoters wait beyond leases.
	longTimeout = 9 * time.Second
	// slowness is how many times as long as usual a statement takes at a slow database,
	// slowService how long that is.
	slowness    = 1000
	slowService = 5 * time.Second
)

// runWithLongTimeouts runs a test body with routes whose statements may take long.
func runWithLongTimeouts(t *testing.T, names []string, body func(tc *testCluster)) {
	t.Helper()
	prepare := func(tc *testCluster) { tc.statementTimeout = longTimeout }
	runPrepared(t, groupOptions(), names, testLog, prepare, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		body(tc)
	})
}

// awaitLeaseEnd waits until little is left of the lease of an instance that is cut off.
func (tc *testCluster) awaitLeaseEnd(name string, little time.Duration) {
	tc.eventually(10*time.Second, "the end of the lease", func() bool {
		_, left := tc.newestRun(name).leadership.Snapshot()
		return left > 0 && left < little
	})
}

// endSlowly makes the primary slow, has the last statements of some clients run there at
// once, and returns when they have ended and another database leads.
func (tc *testCluster) endSlowly(clients int, statement func()) {
	old := tc.group.Leader()
	old.SetSlowness(slowness)
	var running sync.WaitGroup
	for range clients {
		running.Go(statement)
	}
	running.Wait()
	tc.eventually(20*time.Second, "a new primary", func() bool { return tc.group.Leader() != old })
	time.Sleep(slowService)
}

// outcomes are those of writes at a slow primary.
type outcomes struct {
	history *standin.History
	mu      sync.Mutex
	unknown int
}

func newOutcomes() *outcomes { return &outcomes{history: standin.NewHistory()} }

func (o *outcomes) add(id string, reply state.Reply) {
	o.history.RecordWrites([]string{id}, reply.Code)
	o.mu.Lock()
	defer o.mu.Unlock()
	if reply.Code == state.CodeUnknown {
		o.unknown++
	}
}

// requireNoneAcknowledgedLate checks that no superseded primary acknowledged a commit to
// a client, and that some were under way when the lease ended.
func (o *outcomes) requireNoneAcknowledgedLate(tc *testCluster) {
	violations, _ := o.history.CheckCommits(tc.group)
	require.Empty(tc.t, violations)
	require.NotZero(tc.t, o.unknown, "nothing was under way when the lease ended")
}

// reads reports whether a read at the primary through the instance succeeds now.
func (i *instance) reads() bool {
	c := i.open("desk")
	defer c.session.Close()
	_, reply := c.read("k")
	return reply.Code == state.CodeNone
}

// Guards against a statement that outlasts the lease under which it was sent: a slow
// primary acknowledges it after its successor leads.
func TestStatementUnderWayEndsWithTheLease(t *testing.T) {
	runWithLongTimeouts(t, fourInstances, func(tc *testCluster) {
		o := newOutcomes()
		require.True(tc.t, tc.newestRun("d").reads())
		tc.isolateWithPrimary()
		tc.awaitLeaseEnd("d", time.Second)
		tc.endSlowly(3, func() {
			c := tc.newestRun("d").open("desk")
			defer c.session.Close()
			o.add(c.write("k", "v"))
		})
		o.requireNoneAcknowledgedLate(tc)
	})
}

// Guards against a COMMIT that outlasts the lease under which it was sent.
func TestCommitUnderWayEndsWithTheLease(t *testing.T) {
	runWithLongTimeouts(t, fourInstances, func(tc *testCluster) {
		o := newOutcomes()
		tc.isolateWithPrimary()
		tc.awaitLeaseEnd("d", 3*time.Second)
		c := tc.newestRun("d").open("desk")
		defer c.session.Close()
		_, _ = c.do(state.StatementBegin, "BEGIN")
		id, reply := c.write("k", "v")
		require.Equal(tc.t, state.CodeNone, reply.Code, reply.Detail)
		tc.awaitLeaseEnd("d", time.Second)
		tc.endSlowly(1, func() {
			_, reply := c.do(state.StatementCommit, "COMMIT")
			o.add(id, reply)
		})
		o.requireNoneAcknowledgedLate(tc)
	})
}

// Guards against the same where the connection leads through another instance, and where
// the statement runs on a connection of another instance.
func TestStatementUnderWayElsewhereEndsWithTheLease(t *testing.T) {
	for name, options := range map[string]standin.Options{"tunnelled": groupOptions(), "forwarded": scarceOptions()} {
		t.Run(name, func(t *testing.T) {
			names := []string{"a", "b", "c", "d", "e"}
			if name == "forwarded" {
				names = fleet(scarceFleet)
			}
			prepare := func(tc *testCluster) { tc.statementTimeout = longTimeout }
			runPrepared(t, options, names, testLog, prepare, func(tc *testCluster) {
				time.Sleep(25 * time.Second)
				o := newOutcomes()
				sides := tc.splitWithPrimary(name == "tunnelled")
				tc.awaitLeaseEnd(sides[0], time.Second)
				tc.endSlowly(3, func() {
					c := tc.newestRun(sides[0]).open("desk")
					defer c.session.Close()
					o.add(c.write("k", "v"))
				})
				o.requireNoneAcknowledgedLate(tc)
			})
		})
	}
}

// splitWithPrimary cuts a minority of the instances and the primary off from everything
// else, and returns these. If tunnelled is set, the first one reaches the primary only
// through the others.
func (tc *testCluster) splitWithPrimary(tunnelled bool) []string {
	primary := string(tc.group.Leader().ID)
	names := tc.names()
	slices.Sort(names)
	minority := names[:(len(names)-1)/2]
	rest := append([]string{"store"}, without(names, minority)...)
	for n := 1; n <= tc.options.Databases; n++ {
		if id := string(tc.group.Database(n).ID); id != primary {
			rest = append(rest, id)
		}
	}
	detour := between([]string{minority[0]}, []string{primary})
	if tunnelled {
		tc.partition(detour)
		tc.eventually(10*time.Second, "reads through a tunnel", tc.newestRun(minority[0]).reads)
	}
	cut := between(append([]string{primary}, minority...), rest)
	tc.partition(func(a, b string) bool { return cut(a, b) || tunnelled && detour(a, b) })
	return minority
}

// Guards against a promoter that stops waiting for a minority at the moment when the last
// confirmation of its leases ends: statements sent just before are still under way.
func TestStatementUnderWayEndsWithAConfirmedLease(t *testing.T) {
	options := groupOptions()
	options.PromotionDelay = 50 * time.Millisecond
	runWith(t, options, fourInstances, testLog, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		o := newOutcomes()
		old := tc.group.Leader()
		others := []string{"a", "b", "c"}
		lost := between([]string{"d"}, []string{"store"})
		tc.partition(lost)
		time.Sleep(6 * time.Second)
		c := tc.newestRun("d").open("desk")
		defer c.session.Close()
		_, reply := c.read("k")
		require.Equal(tc.t, state.CodeNone, reply.Code, "confirmed by the others")
		for _, name := range others {
			go tc.keepWriting(tc.ctx, name)
		}
		dark := between([]string{string(old.ID)}, append([]string{"store"}, others...))
		tc.partition(func(a, b string) bool { return lost(a, b) || dark(a, b) })
		for !tc.changing("a") {
			time.Sleep(time.Millisecond)
		}
		apart := between([]string{"d"}, others)
		tc.partition(func(a, b string) bool { return lost(a, b) || dark(a, b) || apart(a, b) })
		old.SetSlowness(120) // 600 ms a statement
		time.Sleep(confirmedFor)
		id, reply := c.write("k", "v")
		require.Equal(tc.t, state.CodeNone, reply.Code, "sent while the lease was confirmed")
		o.add(id, reply)
		tc.eventually(10*time.Second, "a new primary", func() bool { return tc.group.Leader() != old })
		violations, _ := o.history.CheckCommits(tc.group)
		violations = slices.DeleteFunc(violations, func(v string) bool { return !strings.Contains(v, id) })
		require.Empty(tc.t, violations)
	})
}

// confirmedFor is less than the rest of a lease after its last confirmation, wherever the
// next request for one would have been.
const confirmedFor = 700 * time.Millisecond

// changing reports whether an instance knows of a change of the primary in progress.
func (tc *testCluster) changing(name string) bool {
	groups, _ := tc.newestRun(name).leadership.Snapshot()
	return groups[0].Changing
}
