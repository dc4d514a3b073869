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
	// logBufferLines is the maximum number of lines that wait for standard
	// output.
	logBufferLines = 4096
	// logPeriod is the period of the budgets, and of the line that reports how
	// many lines were dropped.
	logPeriod = time.Second
	// ordinaryLines and failureLines bound the lines per second on requests,
	// stateLines those on changes of the instance's state, such as its view of
	// the primaries. Their sum keeps a busy instance below 200 KB/s.
	ordinaryLines = 25
	failureLines  = 150
	stateLines    = 200
)

// logs are the loggers of an instance. Writing a line never blocks on standard
// output, and the number of lines per second is bounded. Lines on requests have
// budgets of their own, so that many of them don't displace lines on changes of
// the instance's state.
type logs struct {
	zerolog.Logger
	requests     requestLog
	buffer       diode.Writer
	ordinary     *budget
	failures     *budget
	stateChanges *budget
	lost         atomic.Int64
}

// requestLog is the logger of lines on requests.
type requestLog struct {
	zerolog.Logger
}

// setPreciseTimes makes log times precise enough to order lines by them.
var setPreciseTimes = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

func newLogs(output io.Writer, instance state.InstanceID, run int64) *logs {
	setPreciseTimes()
	l := &logs{ordinary: newBudget(ordinaryLines), failures: newBudget(failureLines), stateChanges: newBudget(stateLines)}
	l.buffer = diode.NewWriter(output, logBufferLines, 0, func(missed int) { l.lost.Add(int64(missed)) })
	sampler := zerolog.LevelSampler{
		DebugSampler: l.ordinary, InfoSampler: l.ordinary, WarnSampler: l.failures, ErrorSampler: l.failures,
	}
	base := zerolog.New(l.buffer).With().Timestamp().Str("instance", string(instance)).Int64("run", run).Logger()
	l.Logger = base.Sample(l.stateChanges)
	l.requests = requestLog{Logger: base.Sample(sampler)}
	return l
}

// report logs how many lines were dropped since the last report.
func (l *logs) report() {
	ordinary, failures := l.ordinary.takeDropped(), l.failures.takeDropped()
	stateChanges, lost := l.stateChanges.takeDropped(), l.lost.Swap(0)
	all := ordinary + failures + stateChanges + lost
	if all == 0 {
		return
	}
	metrics.GetOrCreateCounter(`cyclamenpin_log_lines_left_out_total`).Add(int(all))
	unsampled := l.Sample(nil)
	unsampled.Info().Int64("ordinary", ordinary).Int64("failures", failures).Int64("beliefs", stateChanges).Int64("lost", lost).Msg("log lines left out")
}

// budget is a sampler that passes a limited number of lines in each logPeriod
// and counts those that it drops.
type budget struct {
	burst   zerolog.BurstSampler
	dropped atomic.Int64
}

func newBudget(lines uint32) *budget {
	return &budget{burst: zerolog.BurstSampler{Burst: lines, Period: logPeriod}}
}

// Sample implements zerolog.Sampler.
func (b *budget) Sample(level zerolog.Level) bool {
	if b.burst.Sample(level) {
		return true
	}
	b.dropped.Add(1)
	return false
}

// takeDropped returns the number of dropped lines and resets it.
func (b *budget) takeDropped() int64 {
	return b.dropped.Swap(0)
}
