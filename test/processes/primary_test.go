package processes

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/platformapi"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// changed waits until another primary acknowledges writes.
func changed(t *testing.T, c *cluster, load *workload, since time.Time) {
	t.Helper()
	_, before := c.primary()
	if before == 0 {
		before = 1
	}
	eventually(t, primaryBound-time.Since(since), func() bool {
		_, term := c.primary()
		return term > 1
	}, "no new primary after term %d", before)
	load.awaitAcknowledged(t, 30, primaryBound-time.Since(since))
	t.Logf("%s from the fault to the thirtieth write after the change", time.Since(since).Round(time.Millisecond))
}

// recorded returns the group's record at the platform.
func (c *cluster) recorded() state.Group {
	c.t.Helper()
	response, err := http.Post("http://"+c.platform.addresses["platform"]+platformapi.PathGet, "application/json",
		strings.NewReader(`{"keys":["groups/`+groupName+`"]}`))
	require.NoError(c.t, err)
	defer response.Body.Close()
	var answer struct{ Records []tables.Record }
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&answer))
	require.Len(c.t, answer.Records, 1)
	var group state.Group
	require.NoError(c.t, json.Unmarshal(answer.Records[0].Value, &group))
	return group
}

// TestPrimaryFailsUnderLoad kills the primary and lets it return, then freezes
// its successor's whole process and lets that return.
func TestPrimaryFailsUnderLoad(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 2)
	load.awaitAcknowledged(t, 60, primaryBound)
	first := c.databases[0]
	since := time.Now()
	c.turn(first, "/kill", "")
	changed(t, c, load, since)
	c.turn(first, "/restart", "")
	eventually(t, primaryBound, func() bool { _, role, _ := first.status(); return role == "replica" }, "the old primary does not follow")

	second, term := c.primary()
	since = time.Now()
	second.pause(t)
	eventually(t, primaryBound, func() bool { _, now := c.primary(); return now > term }, "the frozen primary is not replaced")
	load.awaitAcknowledged(t, 30, primaryBound-time.Since(since))
	t.Logf("%s from the freeze to the thirtieth write after the change", time.Since(since).Round(time.Millisecond))
	second.resume(t)
	load.awaitAcknowledged(t, 30, primaryBound)
	load.stop(t)
	c.awaitCaughtUp(primaryBound)
}

func TestPrimaryFailsWhileThePlatformIsDown(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 1)
	load.awaitAcknowledged(t, 30, primaryBound)
	c.setPlatformDown(true)
	since := time.Now()
	c.databases[0].kill()
	changed(t, c, load, since)

	started := time.Now()
	code, output := command(t, "limits", "edit", "app", "--max-connections", "7", "--admin", c.live()[0].adminURL())
	require.Equal(t, 1, code, output)
	require.Contains(t, output, "platform")
	require.Less(t, time.Since(started), editRefusalBound)

	c.setPlatformDown(false)
	eventually(t, configurationBound, func() bool {
		primary, term := c.primary()
		record := c.recorded()
		return record.Term == term && string(record.Primary) == primary.id
	}, "the platform's record is not corrected")
	load.stop(t)
}
