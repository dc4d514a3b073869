package entry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// logRing is how many lines wait at most for standard output.
	logRing = 4096
	// logPeriod is the period of the budgets, and of the line that tells what
	// they left out.
	logPeriod = time.Second
	// ordinaryLines and failureLines bound the lines of a second that tell of
	// requests; beliefLines bounds those on what the instance believes. Their
	// sum keeps a busy instance below 200 KB/s.
	ordinaryLines = 25
	failureLines  = 150
	beliefLines   = 200
)

// logs are the loggers of an instance: lines never wait for standard output,
// and their number is bounded. Lines on requests have budgets of their own, so
// that a flood of them hides nothing that the instance came to believe.
type logs struct {
	zerolog.Logger
	requests requestLog
	ring     diode.Writer
	ordinary *budget
	failures *budget
	beliefs  *budget
	lost     atomic.Int64
}

// requestLog is the logger of lines on requests.
type requestLog struct {
	zerolog.Logger
}

// preciseTimes makes the times of all lines precise enough to order them.
var preciseTimes = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

func newLogs(output io.Writer, instance state.InstanceID, run int64) *logs {
	preciseTimes()
	l := &logs{ordinary: newBudget(ordinaryLines), failures: newBudget(failureLines), beliefs: newBudget(beliefLines)}
	l.ring = diode.NewWriter(output, logRing, 0, func(missed int) { l.lost.Add(int64(missed)) })
	sampler := zerolog.LevelSampler{
		DebugSampler: l.ordinary, InfoSampler: l.ordinary, WarnSampler: l.failures, ErrorSampler: l.failures,
	}
	base := zerolog.New(l.ring).With().Timestamp().Str("instance", string(instance)).Int64("run", run).Logger()
	l.Logger = base.Sample(l.beliefs)
	l.requests = requestLog{Logger: base.Sample(sampler)}
	return l
}

// report tells how many lines were left out since the last report.
func (l *logs) report() {
	ordinary, failures := l.ordinary.takeLeftOut(), l.failures.takeLeftOut()
	beliefs, lost := l.beliefs.takeLeftOut(), l.lost.Swap(0)
	all := ordinary + failures + beliefs + lost
	if all == 0 {
		return
	}
	metrics.GetOrCreateCounter(`cyclamenpin_log_lines_left_out_total`).Add(int(all))
	unsampled := l.Sample(nil)
	unsampled.Info().Int64("ordinary", ordinary).Int64("failures", failures).Int64("beliefs", beliefs).Int64("lost", lost).Msg("log lines left out")
}

// budget is a sampler that passes a number of lines each period and counts the
// others.
type budget struct {
	burst   zerolog.BurstSampler
	leftOut atomic.Int64
}

func newBudget(lines uint32) *budget {
	return &budget{burst: zerolog.BurstSampler{Burst: lines, Period: logPeriod}}
}

// Sample implements zerolog.Sampler.
func (b *budget) Sample(level zerolog.Level) bool {
	if b.burst.Sample(level) {
		return true
	}
	b.leftOut.Add(1)
	return false
}

func (b *budget) takeLeftOut() int64 {
	return b.leftOut.Swap(0)
}
