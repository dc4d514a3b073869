package today

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// table writes rows of Markdown tables.
type table struct {
	writer *tabwriter.Writer
	former index
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

// figure formats a value, with its ratio to the former run's if there is one.
func (t *table) figure(key, format string, value float64) string {
	text := fmt.Sprintf(format, value)
	if former, found := t.former[key]; found && former != 0 {
		text += fmt.Sprintf(" (x%.2f)", value/former)
	}
	return text
}

// index holds the main figures of a former report by what they are of.
type index map[string]float64

func newIndex(report *Report) index {
	figures := index{}
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
	for _, one := range r.Reads {
		t.row(one.Deployment, one.Lag, one.Policy, fmt.Sprint(one.Reads),
			t.figure("share "+one.key(), "%.1f", 100*one.ReplicaShare),
			t.figure("median "+one.key(), "%.1f", one.MedianMS), t.figure("p99 "+one.key(), "%.1f", one.P99MS),
			fmt.Sprintf("%.1f", one.WriteMedianMS), fmt.Sprint(one.ReadYourWritesViolations), fmt.Sprint(one.Failed))
	}
}

func (r *Report) writeFailover(t *table) {
	if len(r.Failover) == 0 {
		return
	}
	t.heading("Failover gap, ms (median / worst)", "deployment", "primary", "changes of faults", "client's gap",
		"detection", "claim", "fencing", "promotion", "routing", "failed attempts", "rows lost", "not healed")
	for _, one := range r.Failover {
		t.row(one.Deployment, one.Fault, fmt.Sprintf("%d of %d", one.Changes, one.Faults),
			t.figure("gap "+one.key(), "%.0f", one.ClientGap.MedianMS)+" / "+t.figure("worst "+one.key(), "%.0f", one.ClientGap.WorstMS),
			one.Detection.String(), one.Claim.String(), one.Fencing.String(), one.Promotion.String(), one.Routing.String(),
			fmt.Sprint(one.FailedAttempts), fmt.Sprint(one.LostRows), fmt.Sprint(one.Unrecovered))
	}
}

// String writes both figures.
func (s Spread) String() string {
	return fmt.Sprintf("%.0f / %.0f", s.MedianMS, s.WorstMS)
}

func (r *Report) writeFlood(t *table) {
	if len(r.Flood) == 0 {
		return
	}
	t.heading("Flood", "deployment", "load", "policy", "goodput by capacity", "Jain", "others' good answers %",
		"others' p99 ms", "flood's p99 ms", "refusal median ms")
	for _, one := range r.Flood {
		t.row(one.Deployment, one.Load, one.Policy,
			t.figure("goodput "+one.key(), "%.2f", one.GoodputShare), t.figure("jain "+one.key(), "%.2f", one.JainIndex),
			fmt.Sprintf("%.0f", 100*one.OthersGoodShare), t.figure("p99 "+one.key(), "%.0f", one.OthersP99MS),
			fmt.Sprintf("%.0f", one.FloodP99MS), fmt.Sprintf("%.0f", one.RefusalMedianMS))
	}
}

func (r *Report) writeCost(t *table) {
	if len(r.Cost) == 0 {
		return
	}
	t.heading("Cost of the proxy", "deployment", "request", "straight us", "through us", "ratio", "added ms",
		"straight /s", "through /s", "allocations added")
	for _, one := range r.Cost {
		t.row(one.Deployment, one.Request, fmt.Sprintf("%.0f", one.DirectUS), fmt.Sprintf("%.0f", one.ProxiedUS),
			t.figure("ratio "+one.key(), "%.2f", one.Ratio), fmt.Sprintf("%.2f", one.AddedMS()),
			fmt.Sprintf("%.0f", one.DirectRate), t.figure("rate "+one.key(), "%.0f", one.ProxiedRate),
			t.figure("allocations "+one.key(), "%.0f", one.ExtraAllocations))
	}
}
