package council

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// scarceOptions describes databases that accept fewer connections than there are
// instances.
func scarceOptions() standin.Options {
	options := groupOptions()
	options.MaxConnections, options.ConnectTime = 18, 12*time.Millisecond
	return options
}

const scarceFleet = 30

func runScarce(t *testing.T, body func(tc *testCluster)) {
	t.Helper()
	runWith(t, scarceOptions(), fleet(scarceFleet), testLog, body)
}

// tally counts outcomes and remembers the ids of writes by their outcome.
type tally struct {
	mu      sync.Mutex
	codes   map[state.ErrorCode]int
	notRun  []string
	done    []string
	details []string
}

func (c *tally) add(id string, reply state.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes[reply.Code]++
	switch {
	case reply.Code == state.CodeNone:
		c.done = append(c.done, id)
	case reply.Code.HasNoEffect():
		c.notRun = append(c.notRun, id)
	}
	if reply.Code != state.CodeNone {
		c.details = append(c.details, fmt.Sprint(reply.Code, " ", reply.Detail))
	}
}

// load sends reads, writes and transactions through the named instances until the
// time is over, far less than the group's databases can do.
func (tc *testCluster) load(names []string, during time.Duration) *tally {
	counted := &tally{codes: make(map[state.ErrorCode]int)}
	var wait sync.WaitGroup
	until := time.Now().Add(during)
	for n, name := range names {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
			for step := n; time.Now().Before(until); step++ {
				tc.oneOperation(name, step, counted)
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return counted
}

func (tc *testCluster) oneOperation(name string, step int, counted *tally) {
	route := []string{"desk", "portal", "cab"}[step%3]
	session, _ := tc.newestRun(name).engine.Open(route, identity.Credential{})
	if session == nil {
		return
	}
	defer session.Close()
	c := &client{session: session, cluster: tc}
	switch {
	case step%3 == 1:
		_, reply := c.read("k")
		counted.add("", reply)
	case step%2 == 0:
		id, reply := c.write(fmt.Sprint("k", step%7), name)
		counted.add(id, reply)
	default:
		_, _ = c.do(state.StatementBegin, "BEGIN")
		if id, reply := c.write(fmt.Sprint("t", step%7), name); reply.Code != state.CodeNone {
			counted.add(id, reply)
			_, _ = c.do(state.StatementRollback, "ROLLBACK")
			return
		}
		time.Sleep(20 * time.Millisecond)
		id, reply := c.do(state.StatementCommit, "COMMIT")
		counted.add(id, reply)
	}
}

// requireTrueReplies checks that writes reported as not run left no commit and that
// those reported as done left one.
func (tc *testCluster) requireTrueReplies(counted *tally) {
	committed := make(map[string]bool)
	for _, commit := range tc.group.Commits() {
		for _, id := range commit.IDs {
			require.False(tc.t, committed[id], "write %s was committed twice", id)
			committed[id] = true
		}
	}
	for _, id := range counted.notRun {
		require.False(tc.t, committed[id], "write %s was reported as not run", id)
	}
}

// requireWithinCap checks that the primary has refused no connection since before.
func (tc *testCluster) requireWithinCap(before standin.Load) {
	load := tc.group.Database(1).Load()
	require.Equal(tc.t, before.Rejected, load.Rejected, "connections over the cap of the primary")
}

// More instances than connections send a moderate load. No
// connection exceeds the cap, and nothing is refused.
func TestManyInstancesShareFewConnections(t *testing.T) {
	runScarce(t, func(tc *testCluster) {
		time.Sleep(3 * time.Second)
		counted := tc.load(fleet(scarceFleet), 8*time.Second)
		require.Empty(tc.t, counted.details)
		require.Greater(tc.t, len(counted.done), 500)
		tc.requireWithinCap(standin.Load{})
		tc.requireTrueReplies(counted)
	})
}

// holdersOf returns the names of the instances that hold connections to the primary,
// and of one that holds none to any database.
func (tc *testCluster) holdersOf() (holders []string, sender string) {
	for name, i := range tc.instances {
		holds := false
		for n := 1; n <= tc.options.Databases; n++ {
			placed := i.placement.Of(tc.group.Database(n).Server())
			holds = holds || placed.Holds
			if placed.Holds && n == 1 {
				holders = append(holders, name)
			}
		}
		if !holds && (sender == "" || name < sender) {
			sender = name
		}
	}
	slices.Sort(holders)
	return holders, sender
}

// A holder is killed, cut off, or stops, with statements in hand. What is reported as
// not run left nothing, no write runs twice, and the others serve within a second.
func TestHolderIsLostWithStatementsInHand(t *testing.T) {
	faults := map[string]func(tc *testCluster, holder string, rest []string){
		"killed": func(tc *testCluster, holder string, _ []string) { tc.instances[holder].kill() },
		"cut":    func(tc *testCluster, holder string, rest []string) { tc.partition(between([]string{holder}, rest)) },
		"stops":  func(tc *testCluster, holder string, _ []string) { tc.instances[holder].holder.Stop() },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			runScarce(t, func(tc *testCluster) {
				time.Sleep(3 * time.Second)
				holders, _ := tc.holdersOf()
				require.NotEmpty(t, holders)
				rest := slices.DeleteFunc(fleet(scarceFleet), func(name string) bool { return name == holders[0] })
				time.AfterFunc(1003*time.Millisecond, func() { fault(tc, holders[0], rest) })
				counted := tc.load(rest, 4*time.Second)
				tc.requireTrueReplies(counted)
				if name == "stops" {
					require.Empty(t, counted.details)
				}
				require.Less(t, len(counted.details), scarceFleet, "%v", counted.details)
				require.Empty(t, tc.load(rest, time.Second).details, "served again")
			})
		})
	}
}

// A sender dies with an open transaction. The holder rolls it back, and its
// connection serves others.
func TestSenderDiesInATransaction(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("silent ", silent), func(t *testing.T) {
			runScarce(t, func(tc *testCluster) {
				time.Sleep(3 * time.Second)
				holders, sender := tc.holdersOf()
				require.NotEmpty(t, sender)
				c := tc.instances[sender].open("desk")
				_, _ = c.do(state.StatementBegin, "BEGIN")
				id, reply := c.write("k", "v")
				require.Equal(t, state.CodeNone, reply.Code)
				require.Equal(t, 1, tc.openForOthers(holders))
				if silent {
					tc.partition(between([]string{sender}, fleet(scarceFleet)))
				} else {
					tc.instances[sender].kill()
				}
				tc.eventually(3*time.Second, "rolled back", func() bool { return tc.openForOthers(holders) == 0 })
				for _, commit := range tc.group.Commits() {
					require.NotContains(t, commit.IDs, id)
				}
				other := tc.instances[holders[0]].open("desk")
				_, reply = other.read("k")
				require.Equal(t, state.CodeNone, reply.Code)
				require.NotContains(t, reply.Rows, "v")
			})
		})
	}
}

func (tc *testCluster) openForOthers(holders []string) int {
	open := 0
	for _, name := range holders {
		open += tc.instances[name].holder.Open()
	}
	return open
}

// A transaction of a sender goes on at its holder over pauses, with the session's
// values, and ends with the session's commit or rollback.
func TestTransactionThroughAHolder(t *testing.T) {
	runScarce(t, func(tc *testCluster) {
		time.Sleep(3 * time.Second)
		holders, sender := tc.holdersOf()
		c := tc.instances[sender].open("desk")
		for _, end := range []string{"COMMIT", "ROLLBACK"} {
			_, _ = c.do(state.StatementBegin, "BEGIN")
			value := "v" + end
			_, reply := c.write("k", value)
			require.Equal(t, state.CodeNone, reply.Code)
			time.Sleep(2500 * time.Millisecond)
			_, reply = c.read("k")
			require.Equal(t, []string{value}, reply.Rows)
			_, reply = c.do(map[string]state.StatementKind{"COMMIT": state.StatementCommit, "ROLLBACK": state.StatementRollback}[end], end)
			require.Equal(t, state.CodeNone, reply.Code)
			time.Sleep(100 * time.Millisecond)
			require.Zero(t, tc.openForOthers(holders))
		}
		_, reply := c.read("k")
		require.Equal(t, []string{"vCOMMIT"}, reply.Rows)
	})
}

// The whole fleet is killed and starts again under load. No connection exceeds the
// cap, although each instance has forgotten the holders.
func TestFleetRestartsWithinTheCap(t *testing.T) {
	runScarce(t, func(tc *testCluster) {
		time.Sleep(3 * time.Second)
		tc.load(fleet(scarceFleet), time.Second)
		for _, name := range fleet(scarceFleet) {
			tc.instances[name].kill()
		}
		time.Sleep(4 * time.Second) // until the databases have dropped the connections of before
		before := tc.group.Database(1).Load()
		for _, name := range fleet(scarceFleet) {
			tc.start(name)
		}
		counted := tc.load(fleet(scarceFleet), 4*time.Second)
		tc.requireTrueReplies(counted)
		tc.requireWithinCap(before)
	})
}

// Instances are added. The holders change without a connection over the cap and
// without a refusal. If the databases had room for each instance before, those that
// know of the others only later still hold connections for a moment.
func TestInstancesAreAdded(t *testing.T) {
	for before, settling := range map[int]time.Duration{18: time.Second, 17: 4 * time.Second} {
		t.Run(fmt.Sprint(before), func(t *testing.T) {
			runWith(t, scarceOptions(), fleet(scarceFleet)[:before], testLog, func(tc *testCluster) {
				time.Sleep(3 * time.Second)
				for _, name := range fleet(scarceFleet)[before:] {
					tc.start(name)
				}
				time.Sleep(500 * time.Millisecond)
				tc.requireTrueReplies(tc.load(fleet(scarceFleet), settling))
				opened := tc.group.Database(1).Load()
				counted := tc.load(fleet(scarceFleet), 6*time.Second)
				require.Empty(t, counted.details)
				tc.requireWithinCap(opened)
				tc.requireTrueReplies(counted)
			})
		})
	}
}
