package processes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRollingReplacement replaces all instances one after the other. Nothing
// may fail but what was surely not run, and sessions ended while idle.
func TestRollingReplacement(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 2)
	for _, old := range c.live() {
		load.awaitAcknowledged(t, 30, primaryBound)
		c.remove(old)
		c.stopWithTransactionOpen(old, load.history)
		next := c.startInstance(old.id, old.dataCentre)
		c.awaitReady(next, configurationBound)
		c.add(next)
	}
	load.awaitAcknowledged(t, 30, primaryBound)
	load.stop(t)
	for kind, times := range load.history.attempts {
		cut := strings.HasPrefix(kind, string(unknown)) || strings.HasPrefix(kind, "transaction cut")
		require.False(t, cut && kind != "transaction cut 53000", "%d requests were cut off: %s", times, kind)
	}
}

// stopWithTransactionOpen stops an instance gracefully. A transaction that was
// open before the stop is committed after the instance began to leave.
func (c *cluster) stopWithTransactionOpen(old *instance, h *history) {
	c.t.Helper()
	s := mustConnect(c.t, old, "")
	s.mustExec(c.t, "BEGIN")
	s.mustExec(c.t, insert("open-"+old.id, "open"))
	left := make(chan struct{})
	go func() {
		defer close(left)
		eventually(c.t, drainBound, func() bool { return !old.ready() }, "the instance does not leave")
		s.mustExec(c.t, insert("open-"+old.id, "open"))
		require.Equal(c.t, "COMMIT", s.mustExec(c.t, "COMMIT"))
		h.record("open-"+old.id, done, 2)
	}()
	old.stop(c.t)
	<-left
}
