package processes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// suspendTime is how long an instance is suspended. It exceeds the waits, probes
// and timeouts by which instances and databases monitor a request.
const suspendTime = 12 * time.Second

// execInBackground runs a statement in the background and sends its reply on the
// returned channel.
func execInBackground(s *session, sql string) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		r, _ := s.exec(sql)
		replies <- r
	}()
	return replies
}

func awaitReply(t *testing.T, replies <-chan reply) reply {
	t.Helper()
	select {
	case r := <-replies:
		return r
	case <-time.After(requestBound):
		require.Fail(t, "a request has no outcome")
		return reply{}
	}
}

// otherThan returns a live instance other than excluded, or excluded itself if
// there is no other.
func (c *cluster) otherThan(excluded *instance) *instance {
	for _, instance := range c.live() {
		if instance != excluded {
			return instance
		}
	}
	return excluded
}

func TestOwnerKilledDuringRequests(t *testing.T) {
	c := startCluster(t)
	primary := c.databases[0]
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	owner := c.owner(primary)
	other := c.otherThan(owner)
	h := load.history

	// One transaction and one write run through another instance and one of each
	// through the owner itself. All are in progress when the owner is killed.
	instances := []*instance{other, owner}
	var transactions, writes []*session
	tokens := make([]string, len(instances))
	for number, instance := range instances {
		earlier := mustConnect(t, instance, "")
		earlier.mustExec(t, insert("before-"+instance.id, "before-"+instance.id))
		h.record("before-"+instance.id, done, 1)
		tokens[number] = earlier.token()
		transaction := mustConnect(t, instance, "")
		transaction.mustExec(t, "BEGIN")
		transaction.mustExec(t, insert("middle-"+instance.id, "middle"))
		transactions = append(transactions, transaction)
		writes = append(writes, mustConnect(t, instance, ""))
	}
	c.setSwitch(primary, "/statement-time?for=2s", "")
	var replies []<-chan reply
	for number, write := range writes {
		replies = append(replies, execInBackground(write, insert("write-"+instances[number].id, "middle")))
	}
	eventually(t, primaryBound, func() bool { return c.slotsHeld(owner, primary) > 0 }, "no write is in progress")
	c.remove(owner)
	owner.kill()
	c.setSwitch(primary, "/statement-time?for=1ms", "")

	for number, instance := range instances {
		r := awaitReply(t, replies[number])
		t.Logf("write through %s: %s %v", instance.id, r.outcome, r.err)
		h.record("write-"+instance.id, r.outcome, 1)
		r, _ = transactions[number].exec(insert("middle-"+instance.id, "middle"))
		require.NotEqual(t, done, r.outcome, "the transaction was lost with the owner")
		r, tag := transactions[number].exec("COMMIT")
		require.False(t, r.outcome == done && tag == "COMMIT", "a lost transaction was committed")
		h.record("middle-"+instance.id, notRun, 2)
		later := mustConnect(t, other, tokens[number])
		seen, err := later.count("before-"+instance.id, primaryBound)
		require.NoError(t, err)
		require.Equal(t, 1, seen, "the session's write is not seen elsewhere")
	}
	load.awaitAcknowledged(t, 30, primaryBound)
	load.stop(t)
}

func TestSuspendedInstanceChangesNothing(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	suspended := c.owner(c.databases[0])
	h := load.history

	// A write through the instance is in progress when it is suspended, and a
	// session on it sends a request during the suspension.
	writing, idle := mustConnect(t, suspended, ""), mustConnect(t, suspended, "")
	idle.mustExec(t, insert("idle-1", "idle"))
	h.record("idle-1", done, 1)
	c.setSwitch(c.databases[0], "/statement-time?for=2s", "")
	replies := execInBackground(writing, insert("paused-1", "paused"))
	eventually(t, primaryBound, func() bool { return c.slotsHeld(suspended, c.databases[0]) > 0 }, "no write is in progress")
	c.remove(suspended)
	suspended.suspend(t)
	suspendedAt := time.Now()
	resumed := false
	defer func() {
		if !resumed {
			_ = suspended.cmd.Process.Kill()
		}
	}()

	// The primary is killed while its owner is suspended. The owner may also be
	// the instance with the right to promote.
	c.databases[0].kill()
	killed := time.Now()
	eventually(t, primaryBound, func() bool { _, term := c.primary(); return term > 1 }, "no new primary")
	load.awaitAcknowledged(t, 30, primaryBound-time.Since(killed))
	newPrimary, term := c.primary()
	lateReplies := execInBackground(idle, insert("idle-2", "idle"))
	time.Sleep(suspendTime - time.Since(suspendedAt)) // the duration of the fault

	suspended.resume(t)
	resumed = true
	r := awaitReply(t, replies)
	t.Logf("write sent before the suspension: %s %v", r.outcome, r.err)
	h.record("paused-1", r.outcome, 1)
	r = awaitReply(t, lateReplies)
	t.Logf("write sent during the suspension: %s %v", r.outcome, r.err)
	h.record("idle-2", r.outcome, 1)
	// The resumed instance serves again and has not changed the primary.
	eventually(t, primaryBound, func() bool {
		s, err := connect(suspended, "")
		if err != nil {
			return false
		}
		defer s.close()
		seen, err := s.count("idle", time.Second)
		return err == nil && seen >= 1
	}, "the resumed instance does not serve")
	load.awaitAcknowledged(t, 30, primaryBound)
	finalPrimary, finalTerm := c.primary()
	require.Equal(t, newPrimary.id, finalPrimary.id)
	require.Equal(t, term, finalTerm, "the resumed instance changed the primary")
	load.stop(t)
}
