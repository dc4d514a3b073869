package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func trimLineEnd(text string) string {
	return strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")
}

func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write the output")
}

// plansFile and limitsFile are the JSON output of one list. The command apply
// accepts the same format.
type plansFile struct {
	Revision state.Revision `json:"revision"`
	Plans    []state.Plan   `json:"plans"`
}

type limitsFile struct {
	Revision state.Revision `json:"revision"`
	Limits   []state.Limit  `json:"limits"`
}

func writePlansTable(w io.Writer, plans []state.Plan) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PLAN\tUSER\tDESCRIPTION")
	for _, plan := range plans {
		fmt.Fprintf(table, "%s\t%s\t%s\n", plan.ID, plan.User, plan.Description)
	}
	return eris.Wrap(table.Flush(), "write the output")
}

func writeLimitsTable(w io.Writer, limits []state.Limit) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PLAN\tCONNECTIONS\tSTALENESS\tWEIGHT\tIDLE IN TRANSACTION\tSESSION SCOPE\tDATABASES")
	for _, limit := range limits {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%s\t%s\t%s\n", limit.Plan, limit.MaxConnections, limit.MaxStaleness(),
			max(limit.Weight, 1), formatMillisOrDefault(limit.IdleInTransactionMillis), effectiveScope(limit), joinGroups(limit.Databases))
	}
	return eris.Wrap(table.Flush(), "write the output")
}

func formatMillisOrDefault(milliseconds int64) string {
	if milliseconds == 0 {
		return "default"
	}
	return (time.Duration(milliseconds) * time.Millisecond).String()
}

func effectiveScope(limit state.Limit) state.SessionScope {
	if limit.SessionScope == "" {
		return state.ScopeConnection
	}
	return limit.SessionScope
}

func joinGroups(groups []state.GroupID) string {
	names := make([]string, len(groups))
	for i, group := range groups {
		names[i] = string(group)
	}
	return strings.Join(names, ",")
}

// writeChange writes a change with one entry per line.
func writeChange(w io.Writer, change configuration.Change) {
	for _, plan := range change.PutPlans {
		fmt.Fprintf(w, "+ %s/%s %s\n", configuration.ListPlans, plan.ID, compactJSON(plan))
	}
	for _, id := range change.RemovePlans {
		fmt.Fprintf(w, "- %s/%s\n", configuration.ListPlans, id)
	}
	for _, limit := range change.PutLimits {
		fmt.Fprintf(w, "+ %s/%s %s\n", configuration.ListLimits, limit.Plan, compactJSON(limit))
	}
	for _, id := range change.RemoveLimits {
		fmt.Fprintf(w, "- %s/%s\n", configuration.ListLimits, id)
	}
}

// redactedChange returns a copy of a change in which KeptVerifier replaces the
// plans' new password verifiers.
func redactedChange(change configuration.Change) configuration.Change {
	plans := &state.Configuration{Plans: change.PutPlans}
	change.PutPlans = configuration.Redacted(plans).Plans
	return change
}

func compactJSON(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

// historyEntry is one accepted edit and the entries that it changed.
type historyEntry struct {
	Revision state.Revision        `json:"revision"`
	EditID   string                `json:"edit_id"`
	Changed  []configuration.Entry `json:"changed"`
}

// historyEntries returns what each configuration changed from the one before it,
// newest first. The oldest has none to compare with, so it is left out unless it
// is revision 1.
func historyEntries(configurations []*state.Configuration, list configuration.EntryList) []historyEntry {
	entries := make([]historyEntry, 0, len(configurations))
	for i, accepted := range configurations {
		before := &state.Configuration{}
		if i+1 < len(configurations) {
			before = configurations[i+1]
		} else if accepted.Revision > 1 {
			break
		}
		changed := make([]configuration.Entry, 0)
		for _, entry := range configuration.Diff(before, accepted).Entries() {
			if entry.List == list {
				changed = append(changed, entry)
			}
		}
		entries = append(entries, historyEntry{Revision: accepted.Revision, EditID: accepted.EditID, Changed: changed})
	}
	return entries
}

func writeHistoryTable(w io.Writer, entries []historyEntry) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tEDIT\tCHANGED")
	for _, entry := range entries {
		names := make([]string, len(entry.Changed))
		for i, changed := range entry.Changed {
			names[i] = changed.String()
		}
		fmt.Fprintf(table, "%d\t%s\t%s\n", entry.Revision, entry.EditID, strings.Join(names, ", "))
	}
	return eris.Wrap(table.Flush(), "write the output")
}
