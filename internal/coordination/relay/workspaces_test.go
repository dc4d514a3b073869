package relay

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Workspaces come and go with the days. Their counters stay few: those of the largest
// and one for all others.
func TestCountersOfWorkspacesAreBounded(t *testing.T) {
	w := newWorkspaceMetrics()
	for version := range uint64(10) {
		table := &state.RoutingTable{Version: version + 1, Workspaces: make(map[state.WorkspaceID]state.Workspace)}
		for n := range 200 {
			id := state.WorkspaceID(fmt.Sprintf("v%d-w%d", version, n))
			table.Workspaces[id] = state.Workspace{ID: id, Limit: state.RateLimit{PerSecond: float64(n)}}
		}
		for id := range table.Workspaces {
			for _, code := range []state.ErrorCode{state.CodeNone, state.CodeBusy, state.CodeFailed} {
				w.count(table, id, code)
			}
		}
	}
	var written bytes.Buffer
	w.set.WritePrometheus(&written)
	require.Equal(t, (maxNamedWorkspaces+1)*len(workspaceResults), strings.Count(written.String(), "\n"))
	require.Contains(t, written.String(), `cyclamenpin_workspace_statements_total{workspace="v9-w199",result="refused"} 1`)
	require.Contains(t, written.String(), `{workspace="other",result="served"} 1800`)
}
