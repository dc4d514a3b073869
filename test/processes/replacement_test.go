package processes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRollingReplacement replaces all instances one after the other. Requests
// may fail only with an error that says that they did not run, and sessions may
// be ended only while they are idle.
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
	for event, times := range load.history.attempts {
		interrupted := strings.HasPrefix(event, string(unknown)) || strings.HasPrefix(event, "transaction cut")
		require.False(t, interrupted && event != "transaction cut 53000", "%d requests were cut off: %s", times, event)
	}
}

// stopWithTransactionOpen stops an instance gracefully. A transaction that was
// opened before the stop must still commit after the instance has stopped being
// ready.
func (c *cluster) stopWithTransactionOpen(old *instance, h *history) {
	c.t.Helper()
	s := mustConnect(c.t, old, "")
	s.mustExec(c.t, "BEGIN")
	s.mustExec(c.t, insert("open-"+old.id, "open"))
	left := make(chan struct{})
	go func() {
		defer close(left)
		eventually(c.t, drainBound, func() bool { return !old.ready() }, "the instance is still ready after the stop signal")
		s.mustExec(c.t, insert("open-"+old.id, "open"))
		require.Equal(c.t, "COMMIT", s.mustExec(c.t, "COMMIT"))
		h.record("open-"+old.id, done, 2)
	}()
	old.stop(c.t)
	<-left
}
