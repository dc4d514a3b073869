package processes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silenceBound is how soon a silent connection is found and its request
// answered. docs/OPERATIONS.md states 4 s for the connection; the rest is for
// the wait for a new one.
const silenceBound = 15 * time.Second

// databaseIdleBound is after how long the stand-in ends an idle transaction by
// itself. Locks must be freed before, by the owner.
const databaseIdleBound = 10 * time.Second

func TestSilentConnectionIsFound(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	primary := c.databases[0]
	owner := c.owner(primary)
	s := mustConnect(t, c.otherThan(owner), "")
	c.turn(primary, "/statement-time?for=500ms", "")
	answers := request(s, insert("silent-1", "silent"))
	eventually(t, primaryBound, func() bool { return c.slotsHeld(owner, primary) > 0 }, "no write is in the middle")
	started := time.Now()
	c.turn(primary, "/silence", "")
	c.turn(primary, "/statement-time?for=1ms", "")
	a := mustAnswer(t, answers)
	t.Logf("the write in the middle: %s %s", a.outcome, describe(a.err))
	require.Less(t, time.Since(started), silenceBound)
	load.history.record("silent-1", a.outcome, 1)
	_, term := c.primary()
	require.EqualValues(t, 1, term, "the server was blamed for its connections")

	// Requests that follow succeed, in the same session too.
	eventually(t, silenceBound, func() bool { a, _ := s.exec("SELECT 1"); return a.outcome == done }, "no answer after silence")
	load.awaitAcknowledged(t, 30, silenceBound)
	load.stop(t)
}

// TestLocksOfASilentConnectionAreFreed silences the connection of a transaction
// that holds what another write waits for.
func TestLocksOfASilentConnectionAreFreed(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	load.stop(t)
	primary := c.databases[0]
	transaction, other := mustConnect(t, c.live()[0], ""), mustConnect(t, c.live()[1], "")
	transaction.mustExec(t, "BEGIN")
	transaction.mustExec(t, insert("locking-1", "locks"))
	c.turn(primary, "/silence", "")
	started := time.Now()
	a, _ := transaction.exec(insert("locking-1", "locks"))
	require.NotEqual(t, done, a.outcome)
	load.history.record("locking-1", notRun, 2)
	t.Logf("%s until the silent connection was found", time.Since(started).Round(time.Millisecond))
	a, _ = other.exec(insert("waiting-1", "locks"))
	t.Logf("%s until the waiting write was answered: %s %s", time.Since(started).Round(time.Millisecond), a.outcome, describe(a.err))
	_, term := c.primary()
	require.EqualValues(t, 1, term, "the server was blamed for its connections")
	require.Less(t, time.Since(started), databaseIdleBound)
	load.history.record("waiting-1", a.outcome, 1)
	load.history.check(t, c)
}
