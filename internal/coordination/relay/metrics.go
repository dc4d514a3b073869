package relay

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// outcome holds the labels of the statement counter.
type outcome struct {
	route state.Consistency
	kind  state.StatementKind
	code  state.ErrorCode
}

// durations holds the histograms of the routes with one consistency.
type durations struct {
	queue, run, whole *metrics.Histogram
}

// Metrics are cached, because looking one up by its formatted name takes
// longer than updating it.
var (
	outcomeCounters sync.Map // outcome -> *metrics.Counter
	routeDurations  sync.Map // state.Consistency -> durations
)

func countOutcome(of outcome) {
	counter, ok := outcomeCounters.Load(of)
	if !ok {
		name := fmt.Sprintf(`cyclamenpin_statements_total{route=%q,kind=%q,code=%q}`, of.route, of.kind, of.code)
		counter, _ = outcomeCounters.LoadOrStore(of, metrics.GetOrCreateCounter(name))
	}
	counter.(*metrics.Counter).Inc()
}

func observeDurations(route state.Consistency, queued, ran, whole time.Duration) {
	found, ok := routeDurations.Load(route)
	if !ok {
		histogram := func(step string) *metrics.Histogram {
			return metrics.GetOrCreateHistogram(fmt.Sprintf(`cyclamenpin_statement_seconds{route=%q,step=%q}`, route, step))
		}
		found, _ = routeDurations.LoadOrStore(route, durations{queue: histogram("queue"), run: histogram("run"), whole: histogram("whole")})
	}
	of := found.(durations)
	of.queue.Update(queued.Seconds())
	of.run.Update(ran.Seconds())
	of.whole.Update(whole.Seconds())
}
