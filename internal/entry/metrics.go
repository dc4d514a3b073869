package entry

import (
	"fmt"
	"io"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ratelimit"
)

// limitMetrics is how many workspaces have limit metrics of their own.
const limitMetrics = 8

// writeLimitMetrics writes the metrics of the largest limits and the sum of the others.
func (i *Instance) writeLimitMetrics(w io.Writer) {
	for _, of := range ratelimit.Summarise(i.limits.Stats(), limitMetrics) {
		labels := fmt.Sprintf("{workspace=%q}", of.Workspace)
		fmt.Fprintf(w, "cyclamenpin_limit_operations_per_second%s %g\n", labels, of.PerSecond)
		fmt.Fprintf(w, "cyclamenpin_limit_demand_per_second%s %g\n", labels, of.Demand)
		fmt.Fprintf(w, "cyclamenpin_limit_permits%s %d\n", labels, of.Permits)
		fmt.Fprintf(w, "cyclamenpin_limit_home_weight%s %g\n", labels, of.Weight)
		fmt.Fprintf(w, "cyclamenpin_limit_admitted_total%s %d\n", labels, of.Admitted)
		fmt.Fprintf(w, "cyclamenpin_limit_admitted_unaided_total%s %d\n", labels, of.Unaided)
		fmt.Fprintf(w, "cyclamenpin_limit_refused_total%s %d\n", labels, of.Refused)
	}
}

// writeGroupMetrics writes the gauges of primaries and pools, whose labels
// change with the registered databases.
func (i *Instance) writeGroupMetrics(w io.Writer) {
	primaries, _ := i.leadership.Snapshot()
	for _, primary := range primaries {
		changing := 0
		if primary.Changing {
			changing = 1
		}
		fmt.Fprintf(w, "cyclamenpin_entry_primary_epoch{group=%q} %d\n", primary.Group, primary.Epoch)
		fmt.Fprintf(w, "cyclamenpin_entry_primary_changing{group=%q} %d\n", primary.Group, changing)
		fmt.Fprintf(w, "cyclamenpin_entry_primary_term{group=%q} %d\n", primary.Group, primary.Term)
		if newest, known := i.positions.Newest(primary.Group); known {
			fmt.Fprintf(w, "cyclamenpin_entry_position_age_seconds{group=%q} %g\n", primary.Group, i.clock.Now().Sub(newest).Seconds())
		}
	}
	for _, pool := range i.pools.Stats() {
		labels := fmt.Sprintf("{group=%q,database=%q}", pool.Group, pool.Database)
		fmt.Fprintf(w, "cyclamenpin_entry_connections_open%s %d\n", labels, pool.Open)
		fmt.Fprintf(w, "cyclamenpin_entry_connections_idle%s %d\n", labels, pool.Idle)
		fmt.Fprintf(w, "cyclamenpin_entry_connections_share%s %d\n", labels, pool.Share)
		fmt.Fprintf(w, "cyclamenpin_entry_statements_limit%s %g\n", labels, pool.Limit)
		fmt.Fprintf(w, "cyclamenpin_entry_requests_waiting%s %d\n", labels, pool.Waiting)
		fmt.Fprintf(w, "cyclamenpin_entry_requests_running%s %d\n", labels, pool.Running)
		fmt.Fprintf(w, "cyclamenpin_entry_latency_seconds%s %g\n", labels, pool.Latency.Seconds())
	}
}
