package today

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// table writes the headings and rows of Markdown tables.
type table struct {
	writer   *tabwriter.Writer
	previous figureIndex
}

func (t *table) heading(title string, columns ...string) {
	fmt.Fprintf(t.writer, "\n%s\n\n", title)
	t.row(columns...)
	rules := make([]string, len(columns))
	for i := range rules {
		rules[i] = "---"
	}
	t.row(rules...)
}

func (t *table) row(cells ...string) {
	fmt.Fprintf(t.writer, "| %s\t|\n", strings.Join(cells, "\t| "))
}

// figure formats a value, followed by its ratio to the previous report's value
// if there is one.
func (t *table) figure(key, format string, value float64) string {
	text := fmt.Sprintf(format, value)
	if previous, found := t.previous[key]; found && previous != 0 {
		text += fmt.Sprintf(" (x%.2f)", value/previous)
	}
	return text
}

// figureIndex holds the main figures of a report by name and result key.
type figureIndex map[string]float64

func newFigureIndex(report *Report) figureIndex {
	figures := figureIndex{}
	if report == nil {
		return figures
	}
	for _, r := range report.Reads {
		figures["share "+r.key()] = 100 * r.ReplicaShare
		figures["median "+r.key()] = r.MedianMS
		figures["p99 "+r.key()] = r.P99MS
	}
	for _, r := range report.Failover {
		figures["gap "+r.key()] = r.ClientGap.MedianMS
		figures["worst "+r.key()] = r.ClientGap.WorstMS
	}
	for _, r := range report.Flood {
		figures["goodput "+r.key()] = r.GoodputShare
		figures["jain "+r.key()] = r.JainIndex
		figures["p99 "+r.key()] = r.OthersP99MS
	}
	for _, r := range report.Cost {
		figures["ratio "+r.key()] = r.Ratio
		figures["rate "+r.key()] = r.ProxiedRate
		figures["allocations "+r.key()] = r.ExtraAllocations
	}
	return figures
}

func (r ReadResult) key() string     { return r.Deployment + "/" + r.Lag + "/" + r.Policy }
func (r FailoverResult) key() string { return r.Deployment + "/" + r.Fault }
func (r FloodResult) key() string    { return r.Deployment + "/" + r.Load + "/" + r.Policy }
func (r CostResult) key() string     { return r.Deployment + "/" + r.Request }

func (r *Report) writeReads(t *table) {
	if len(r.Reads) == 0 {
		return
	}
	t.heading("Reads", "deployment", "replication lag", "policy", "reads", "by replicas %", "median ms", "p99 ms",
		"write median ms", "own write not seen", "failed")
	for _, result := range r.Reads {
		t.row(result.Deployment, result.Lag, result.Policy, fmt.Sprint(result.Reads),
			t.figure("share "+result.key(), "%.1f", 100*result.ReplicaShare),
			t.figure("median "+result.key(), "%.1f", result.MedianMS), t.figure("p99 "+result.key(), "%.1f", result.P99MS),
			fmt.Sprintf("%.1f", result.WriteMedianMS), fmt.Sprint(result.ReadYourWritesViolations), fmt.Sprint(result.Failed))
	}
}

func (r *Report) writeFailover(t *table) {
	if len(r.Failover) == 0 {
		return
	}
	t.heading("Failover gap, ms (median / worst)", "deployment", "primary", "changes of faults", "client's gap",
		"detection", "claim", "fencing", "promotion", "routing", "failed attempts", "rows lost", "not healed")
	for _, result := range r.Failover {
		t.row(result.Deployment, result.Fault, fmt.Sprintf("%d of %d", result.Changes, result.Faults),
			t.figure("gap "+result.key(), "%.0f", result.ClientGap.MedianMS)+" / "+t.figure("worst "+result.key(), "%.0f", result.ClientGap.WorstMS),
			result.Detection.String(), result.Claim.String(), result.Fencing.String(), result.Promotion.String(), result.Routing.String(),
			fmt.Sprint(result.FailedAttempts), fmt.Sprint(result.LostRows), fmt.Sprint(result.Unrecovered))
	}
}

// String formats the median and the worst sample.
func (s Spread) String() string {
	return fmt.Sprintf("%.0f / %.0f", s.MedianMS, s.WorstMS)
}

func (r *Report) writeFlood(t *table) {
	if len(r.Flood) == 0 {
		return
	}
	t.heading("Flood", "deployment", "load", "policy", "goodput by capacity", "Jain", "others' good answers %",
		"others' p99 ms", "flood's p99 ms", "refusal median ms")
	for _, result := range r.Flood {
		t.row(result.Deployment, result.Load, result.Policy,
			t.figure("goodput "+result.key(), "%.2f", result.GoodputShare), t.figure("jain "+result.key(), "%.2f", result.JainIndex),
			fmt.Sprintf("%.0f", 100*result.OthersGoodShare), t.figure("p99 "+result.key(), "%.0f", result.OthersP99MS),
			fmt.Sprintf("%.0f", result.FloodP99MS), fmt.Sprintf("%.0f", result.RefusalMedianMS))
	}
}

func (r *Report) writeCost(t *table) {
	if len(r.Cost) == 0 {
		return
	}
	t.heading("Cost of the proxy", "deployment", "request", "straight us", "through us", "ratio", "added ms",
		"straight /s", "through /s", "allocations added")
	for _, result := range r.Cost {
		t.row(result.Deployment, result.Request, fmt.Sprintf("%.0f", result.DirectUS), fmt.Sprintf("%.0f", result.ProxiedUS),
			t.figure("ratio "+result.key(), "%.2f", result.Ratio), fmt.Sprintf("%.2f", result.AddedMS()),
			fmt.Sprintf("%.0f", result.DirectRate), t.figure("rate "+result.key(), "%.0f", result.ProxiedRate),
			t.figure("allocations "+result.key(), "%.0f", result.ExtraAllocations))
	}
}
