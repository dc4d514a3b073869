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

// awaitPrimaryChange waits until a new primary acknowledges writes. The limit
// counts from since, the time of the fault.
func awaitPrimaryChange(t *testing.T, c *cluster, load *workload, since time.Time) {
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

// recordedGroup returns the group as recorded at the platform.
func (c *cluster) recordedGroup() state.Group {
	c.t.Helper()
	response, err := http.Post("http://"+c.platform.addresses["platform"]+platformapi.PathGet, "application/json",
		strings.NewReader(`{"keys":["groups/`+groupName+`"]}`))
	require.NoError(c.t, err)
	defer response.Body.Close()
	var body struct{ Records []tables.Record }
	require.NoError(c.t, json.NewDecoder(response.Body).Decode(&body))
	require.Len(c.t, body.Records, 1)
	var group state.Group
	require.NoError(c.t, json.Unmarshal(body.Records[0].Value, &group))
	return group
}

// TestPrimaryFailsUnderLoad kills and restarts the primary, then suspends and
// resumes the process of the new primary.
func TestPrimaryFailsUnderLoad(t *testing.T) {
	c := startCluster(t)
	load := startWorkload(c, 2)
	load.awaitAcknowledged(t, 60, primaryBound)
	first := c.databases[0]
	since := time.Now()
	c.setSwitch(first, "/kill", "")
	awaitPrimaryChange(t, c, load, since)
	c.setSwitch(first, "/restart", "")
	eventually(t, primaryBound, func() bool { _, role, _ := first.status(); return role == "replica" }, "the old primary does not follow")

	second, term := c.primary()
	since = time.Now()
	second.suspend(t)
	eventually(t, primaryBound, func() bool { _, now := c.primary(); return now > term }, "the suspended primary is not replaced")
	load.awaitAcknowledged(t, 30, primaryBound-time.Since(since))
	t.Logf("%s from the suspension to the thirtieth write after the change", time.Since(since).Round(time.Millisecond))
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
	awaitPrimaryChange(t, c, load, since)

	started := time.Now()
	code, output := command(t, "limits", "edit", "app", "--max-connections", "7", "--admin", c.live()[0].adminURL())
	require.Equal(t, 1, code, output)
	require.Contains(t, output, "platform")
	require.Less(t, time.Since(started), editRefusalBound)

	c.setPlatformDown(false)
	eventually(t, configurationBound, func() bool {
		primary, term := c.primary()
		record := c.recordedGroup()
		return record.Term == term && string(record.Primary) == primary.id
	}, "the platform's record is not corrected")
	load.stop(t)
}
