package council

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// timeline is what the log says of a request and of what was believed meanwhile.
type timeline struct {
	request map[string]any
	events []string
}

func readTimeline(t *testing.T, log, id string) timeline {
	var s timeline
	for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		switch fields["request"] {
		case id:
			s.request = fields
		case nil:
			s.events = append(s.events, fields["message"].(string))
		}
	}
	require.NotNil(t, s.request, "no line on %s", id)
	return s
}

// Three failures, whose causes are read from log lines alone: refused at once,
// unknown after it was sent, and served late by a place nobody expected.
func TestCausesCanBeReadFromTheLog(t *testing.T) {
	log := &lockedBuffer{}
	logger := func(*testing.T) zerolog.Logger { return zerolog.New(log) }
	runWithLogger(t, fourInstances, logger, func(w *testCluster) {
		time.Sleep(25 * time.Second)
		w.refusedAtOnce(log)
		w.unknownOutcome(log)
		w.servedLate(log)
	})
}

func (w *testCluster) refusedAtOnce(log *lockedBuffer) {
	leader := string(w.group.Leader().ID)
	w.partition(between([]string{"d"}, []string{leader}))
	var id string
	w.eventually(5*time.Second, "a refusal", func() bool {
		c := w.instances["d"].open("desk")
		defer c.session.Close()
		var reply state.Reply
		id, reply = c.write("k", "v")
		return reply.Code == state.CodeBusy
	})
	time.Sleep(3 * time.Second)
	found := readTimeline(w.t, log.String(), id)
	require.Equal(w.t, "d", found.request["instance"])
	require.Equal(w.t, leader, found.request["database"])
	require.Contains(w.t, found.request["last_failure"], leader)
	require.Contains(w.t, found.events, "opinion of the primary changed")
	require.NotContains(w.t, found.events, "primary's record changed", "one instance alone changes no primary")
	w.partition(nil)
	w.eventually(4*time.Second, "the way is back", func() bool { return w.instances["d"].writable() })
}

func (w *testCluster) unknownOutcome(log *lockedBuffer) {
	leader := w.group.Leader()
	leader.DropReplies(1)
	c := w.instances["b"].open("desk")
	defer c.session.Close()
	id, reply := c.write("k", "v")
	require.Equal(w.t, state.CodeTimeout, reply.Code)
	found := readTimeline(w.t, log.String(), id)
	require.Equal(w.t, "timeout", found.request["outcome"])
	require.Equal(w.t, string(leader.ID), found.request["database"])
	require.Equal(w.t, "primary", found.request["role"])
	require.GreaterOrEqual(w.t, found.request["ran_ms"], 700.0)
	require.NotEmpty(w.t, found.request["last_failure"])
}

func (w *testCluster) servedLate(log *lockedBuffer) {
	for n := 1; n <= 3; n++ {
		w.group.Database(n).SetApplyDelay(300 * time.Millisecond)
	}
	c := w.instances["c"].open("cab")
	defer c.session.Close()
	_, reply := c.write("k", "v")
	require.Equal(w.t, state.CodeNone, reply.Code)
	id, reply := c.read("k")
	require.Equal(w.t, state.CodeNone, reply.Code)
	found := readTimeline(w.t, log.String(), id)
	require.Equal(w.t, "primary", found.request["role"], "a read that a replica was expected to serve")
	require.Contains(w.t, found.request["last_failure"], "lagging")
	require.NotEqual(w.t, "0/0", found.request["need"])
	require.Greater(w.t, found.request["tries"], 1.0)
}
