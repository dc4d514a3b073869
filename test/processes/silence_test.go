package processes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silenceBound is the time within which a silent connection must be detected and
// its request must get a reply. docs/OPERATIONS.md states 4 s for the detection;
// the rest is for the wait for a new connection.
const silenceBound = 15 * time.Second

// databaseIdleBound is the time after which the database stand-in itself ends an
// idle transaction. The owner must free the locks earlier.
const databaseIdleBound = 10 * time.Second

func TestSilentConnectionIsFound(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	primary := c.databases[0]
	owner := c.owner(primary)
	s := mustConnect(t, c.otherThan(owner), "")
	c.setSwitch(primary, "/statement-time?for=500ms", "")
	replies := execInBackground(s, insert("silent-1", "silent"))
	eventually(t, primaryBound, func() bool { return c.slotsHeld(owner, primary) > 0 }, "no write is in progress")
	started := time.Now()
	c.setSwitch(primary, "/silence", "")
	c.setSwitch(primary, "/statement-time?for=1ms", "")
	r := awaitReply(t, replies)
	t.Logf("the write in progress: %s %s", r.outcome, describe(r.err))
	require.Less(t, time.Since(started), silenceBound)
	load.history.record("silent-1", r.outcome, 1)
	_, term := c.primary()
	require.EqualValues(t, 1, term, "the primary was replaced because of its silent connections")

	// Later requests succeed, including those of the same session.
	eventually(t, silenceBound, func() bool { r, _ := s.exec("SELECT 1"); return r.outcome == done }, "no statement succeeds after the connection went silent")
	load.awaitAcknowledged(t, 30, silenceBound)
	load.stop(t)
}

// TestLocksOfASilentConnectionAreFreed silences the connection of a transaction
// that holds a lock for which another write waits.
func TestLocksOfASilentConnectionAreFreed(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	load.stop(t)
	primary := c.databases[0]
	transaction, other := mustConnect(t, c.live()[0], ""), mustConnect(t, c.live()[1], "")
	transaction.mustExec(t, "BEGIN")
	transaction.mustExec(t, insert("locking-1", "locks"))
	c.setSwitch(primary, "/silence", "")
	started := time.Now()
	r, _ := transaction.exec(insert("locking-1", "locks"))
	require.NotEqual(t, done, r.outcome)
	load.history.record("locking-1", notRun, 2)
	t.Logf("%s until the silent connection was detected", time.Since(started).Round(time.Millisecond))
	r, _ = other.exec(insert("waiting-1", "locks"))
	t.Logf("%s until the waiting write got its reply: %s %s", time.Since(started).Round(time.Millisecond), r.outcome, describe(r.err))
	_, term := c.primary()
	require.EqualValues(t, 1, term, "the primary was replaced because of its silent connections")
	require.Less(t, time.Since(started), databaseIdleBound)
	load.history.record("waiting-1", r.outcome, 1)
	load.history.check(t, c)
}
