package processes

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pauseLength is how long an instance is frozen: longer than the waits, probes
// and timeouts with which instances and databases follow a request.
const pauseLength = 12 * time.Second

// request runs a statement in the background; its answer arrives on the
// channel.
func request(s *session, sql string) <-chan answer {
	answers := make(chan answer, 1)
	go func() {
		a, _ := s.exec(sql)
		answers <- a
	}()
	return answers
}

func mustAnswer(t *testing.T, answers <-chan answer) answer {
	t.Helper()
	select {
	case a := <-answers:
		return a
	case <-time.After(requestBound):
		require.Fail(t, "a request has no outcome")
		return answer{}
	}
}

// otherThan returns a live instance that is not the given one.
func (c *cluster) otherThan(not *instance) *instance {
	for _, instance := range c.live() {
		if instance != not {
			return instance
		}
	}
	return not
}

func TestOwnerKilledInTheMiddle(t *testing.T) {
	c := startCluster(t)
	primary := c.databases[0]
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	owner := c.owner(primary)
	other := c.otherThan(owner)
	h := load.history

	// One transaction and one write run through another entry, one of each
	// through the owner itself, and all are in the middle at the kill.
	entries := []*instance{other, owner}
	var transactions, writes []*session
	tokens := make([]string, len(entries))
	for number, entry := range entries {
		before := mustConnect(t, entry, "")
		before.mustExec(t, insert("before-"+entry.id, "before-"+entry.id))
		h.record("before-"+entry.id, done, 1)
		tokens[number] = before.token()
		transaction := mustConnect(t, entry, "")
		transaction.mustExec(t, "BEGIN")
		transaction.mustExec(t, insert("middle-"+entry.id, "middle"))
		transactions = append(transactions, transaction)
		writes = append(writes, mustConnect(t, entry, ""))
	}
	c.turn(primary, "/statement-time?for=2s", "")
	var answers []<-chan answer
	for number, write := range writes {
		answers = append(answers, request(write, insert("write-"+entries[number].id, "middle")))
	}
	eventually(t, primaryBound, func() bool { return c.slotsHeld(owner, primary) > 0 }, "no write is in the middle")
	c.remove(owner)
	owner.kill()
	c.turn(primary, "/statement-time?for=1ms", "")

	for number, entry := range entries {
		a := mustAnswer(t, answers[number])
		t.Logf("write through %s: %s %v", entry.id, a.outcome, a.err)
		h.record("write-"+entry.id, a.outcome, 1)
		a, _ = transactions[number].exec(insert("middle-"+entry.id, "middle"))
		require.NotEqual(t, done, a.outcome, "the transaction was lost with the owner")
		a, tag := transactions[number].exec("COMMIT")
		require.False(t, a.outcome == done && tag == "COMMIT", "a lost transaction was committed")
		h.record("middle-"+entry.id, notRun, 2)
		again := mustConnect(t, other, tokens[number])
		seen, err := again.count("before-"+entry.id, primaryBound)
		require.NoError(t, err)
		require.Equal(t, 1, seen, "the session's write is not seen elsewhere")
	}
	load.awaitAcknowledged(t, 30, primaryBound)
	load.stop(t)
}

func TestPausedInstanceContradictsNobody(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	paused := c.owner(c.databases[0])
	h := load.history

	// A write through the paused instance is in the middle of the pause, and a
	// session on it waits with a request until it is resumed.
	writing, idle := mustConnect(t, paused, ""), mustConnect(t, paused, "")
	idle.mustExec(t, insert("idle-1", "idle"))
	h.record("idle-1", done, 1)
	c.turn(c.databases[0], "/statement-time?for=2s", "")
	answers := request(writing, insert("paused-1", "paused"))
	eventually(t, primaryBound, func() bool { return c.slotsHeld(paused, c.databases[0]) > 0 }, "no write is in the middle")
	c.remove(paused)
	paused.pause(t)
	pausedAt := time.Now()
	resumed := false
	defer func() {
		if !resumed {
			_ = paused.cmd.Process.Kill()
		}
	}()

	// The primary dies while its owner is frozen, perhaps as its promoter.
	c.databases[0].kill()
	killed := time.Now()
	eventually(t, primaryBound, func() bool { _, term := c.primary(); return term > 1 }, "no new primary")
	load.awaitAcknowledged(t, 30, primaryBound-time.Since(killed))
	next, term := c.primary()
	late := request(idle, insert("idle-2", "idle"))
	time.Sleep(pauseLength - time.Since(pausedAt)) // the length of the fault itself

	paused.resume(t)
	resumed = true
	a := mustAnswer(t, answers)
	t.Logf("write of before the pause: %s %v", a.outcome, a.err)
	h.record("paused-1", a.outcome, 1)
	a = mustAnswer(t, late)
	t.Logf("write sent during the pause: %s %v", a.outcome, a.err)
	h.record("idle-2", a.outcome, 1)
	// It serves again, and has changed nothing.
	eventually(t, primaryBound, func() bool {
		s, err := connect(paused, "")
		if err != nil {
			return false
		}
		defer s.close()
		seen, err := s.count("idle", time.Second)
		return err == nil && seen >= 1
	}, "the resumed instance does not serve")
	load.awaitAcknowledged(t, 30, primaryBound)
	after, termAfter := c.primary()
	require.Equal(t, next.id, after.id)
	require.Equal(t, term, termAfter, "the resumed instance changed the primary")
	load.stop(t)
}
