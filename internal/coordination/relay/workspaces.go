package relay

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// maxNamedWorkspaces is how many workspaces have metrics of their own: those with
	// the highest limits. All others are counted together.
	maxNamedWorkspaces = 20
	otherWorkspaces    = "other"
)

// workspaceResults are the values of the result label of the workspaces' counters.
var workspaceResults = []string{"served", "refused", "failed"}

// workspaceMetrics counts the statements of workspaces. Its lock is a leaf.
type workspaceMetrics struct {
	mu    sync.Mutex
	set   *metrics.Set
	table *state.RoutingTable
	named map[state.WorkspaceID]bool
}

func newWorkspaceMetrics() workspaceMetrics {
	return workspaceMetrics{set: metrics.NewSet(), named: make(map[state.WorkspaceID]bool)}
}

// count counts a statement of a workspace.
func (w *workspaceMetrics) count(table *state.RoutingTable, workspace state.WorkspaceID, code state.ErrorCode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.table == nil || w.table.Version < table.Version {
		w.useTable(table)
	}
	label := string(workspace)
	if !w.named[workspace] {
		label = otherWorkspaces
	}
	w.set.GetOrCreateCounter(workspaceCounter(label, resultOf(code))).Inc()
}

// useTable names the workspaces of a table and forgets the counters of those that are
// no longer named. The lock must be held.
func (w *workspaceMetrics) useTable(table *state.RoutingTable) {
	named := largestWorkspaces(table)
	for workspace := range w.named {
		if named[workspace] {
			continue
		}
		for _, result := range workspaceResults {
			w.set.UnregisterMetric(workspaceCounter(string(workspace), result))
		}
	}
	w.table, w.named = table, named
}

// largestWorkspaces returns the workspaces with the highest limits.
func largestWorkspaces(table *state.RoutingTable) map[state.WorkspaceID]bool {
	all := slices.SortedFunc(maps.Values(table.Workspaces), func(a, b state.Workspace) int {
		return cmp.Or(cmp.Compare(b.Limit.PerSecond, a.Limit.PerSecond), cmp.Compare(a.ID, b.ID))
	})
	named := make(map[state.WorkspaceID]bool)
	for _, workspace := range all[:min(len(all), maxNamedWorkspaces)] {
		named[workspace.ID] = true
	}
	return named
}

func workspaceCounter(workspace, result string) string {
	return fmt.Sprintf(`cyclamenpin_workspace_statements_total{workspace=%q,result=%q}`, workspace, result)
}

func resultOf(code state.ErrorCode) string {
	switch {
	case code == state.CodeNone:
		return "served"
	case code.HasNoEffect(), code == state.CodeNotAuthorized:
		return "refused"
	default:
		return "failed"
	}
}

// WriteMetrics writes the counters of workspaces.
func (e *Engine) WriteMetrics(w io.Writer) {
	e.workspaces.set.WritePrometheus(w)
}
