package entry

import (
	"fmt"
	"io"
)

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
