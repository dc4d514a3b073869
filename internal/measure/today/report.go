package today

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Report holds the results of one run.
type Report struct {
	Commit    string           `json:"commit"`
	StartedAt time.Time        `json:"taken"`
	Cores     int              `json:"cores"`
	Quick     bool             `json:"quick"`
	Seconds   float64          `json:"seconds"`
	Reads     []ReadResult     `json:"reads"`
	Failover  []FailoverResult `json:"failover"`
	Flood     []FloodResult    `json:"flood"`
	Cost      []CostResult     `json:"cost"`
}

// Options selects what to measure and how thoroughly.
type Options struct {
	// Quick takes fewer and shorter samples.
	Quick bool
	// Only names the sections to measure; all if empty.
	Only []string
	// Commit identifies the version of the code that is measured.
	Commit string
	// Progress receives a line of text at the start of each section.
	Progress io.Writer
}

// Durations of the measurements, and the number of failover rounds.
const (
	readsTime      = 2500 * time.Millisecond
	readsTimeQuick = time.Second
	failoverRounds = 2
	floodTime      = 2000 * time.Millisecond
	floodTimeQuick = 1500 * time.Millisecond
	costTime       = 700 * time.Millisecond
	costTimeQuick  = 400 * time.Millisecond
)

// section is one part of the report.
type section struct {
	name    string
	measure func(context.Context, Options, *Report) error
}

func sections() []section {
	return []section{
		{"reads", runReadsSection}, {"failover", runFailoverSection}, {"flood", runFloodSection}, {"cost", runCostSection},
	}
}

// Sections returns the names of the sections, which Options.Only may list.
func Sections() []string {
	var names []string
	for _, section := range sections() {
		names = append(names, section.name)
	}
	return names
}

// Run measures the selected sections.
func Run(ctx context.Context, options Options) (*Report, error) {
	began := time.Now()
	report := &Report{Commit: options.Commit, StartedAt: began.UTC(), Cores: runtime.GOMAXPROCS(0), Quick: options.Quick}
	selected := map[string]bool{}
	for _, name := range options.Only {
		selected[name] = true
	}
	for _, section := range sections() {
		if len(selected) > 0 && !selected[section.name] {
			continue
		}
		fmt.Fprintf(options.Progress, "measuring %s\n", section.name)
		if err := section.measure(ctx, options, report); err != nil {
			return nil, eris.Wrapf(err, "measure %s", section.name)
		}
	}
	report.Seconds = time.Since(began).Seconds()
	return report, nil
}

// runReadsSection measures both deployments concurrently, because the load is
// light.
func runReadsSection(ctx context.Context, options Options, report *Report) error {
	duration := pick(options.Quick, readsTimeQuick, readsTime)
	results, err := measureBoth(ctx, func(ctx context.Context, deployment Deployment) ([]ReadResult, error) {
		return measureReads(ctx, deployment, duration, options.Quick)
	})
	report.Reads = results
	return err
}

func runFailoverSection(ctx context.Context, options Options, report *Report) error {
	rounds := pick(options.Quick, 1, failoverRounds)
	results, err := measureBoth(ctx, func(ctx context.Context, deployment Deployment) ([]FailoverResult, error) {
		return measureFailover(ctx, deployment, rounds, options.Quick)
	})
	report.Failover = results
	return err
}

// runFloodSection measures one deployment after the other, because each needs
// all processors.
func runFloodSection(ctx context.Context, options Options, report *Report) error {
	duration := pick(options.Quick, floodTimeQuick, floodTime)
	for _, deployment := range pick(options.Quick, []Deployment{Waitaha()}, []Deployment{Waitaha(), Abay()}) {
		results, err := measureFlood(ctx, deployment, duration, options.Quick)
		if err != nil {
			return err
		}
		report.Flood = append(report.Flood, results...)
	}
	return nil
}

func runCostSection(ctx context.Context, options Options, report *Report) error {
	duration := pick(options.Quick, costTimeQuick, costTime)
	for _, deployment := range []Deployment{noLatencyDeployment(), Waitaha(), Abay()} {
		results, err := measureCost(ctx, deployment, duration)
		if err != nil {
			return err
		}
		report.Cost = append(report.Cost, results...)
	}
	return nil
}

// measureBoth measures the two deployments concurrently.
func measureBoth[T any](ctx context.Context, measure func(context.Context, Deployment) ([]T, error)) ([]T, error) {
	deployments := []Deployment{Waitaha(), Abay()}
	results := make([][]T, len(deployments))
	running, ctx := errgroup.WithContext(ctx)
	for i, deployment := range deployments {
		running.Go(func() (err error) {
			results[i], err = measure(ctx, deployment)
			return err
		})
	}
	if err := running.Wait(); err != nil {
		return nil, err
	}
	return append(results[0], results[1]...), nil
}

func pick[T any](first bool, a, b T) T {
	if first {
		return a
	}
	return b
}

// WriteJSON writes the report as a JSON document.
func (r *Report) WriteJSON(output io.Writer) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(r), "encode report")
}

// ReadReport reads a report that WriteJSON wrote.
func ReadReport(input io.Reader) (*Report, error) {
	var report Report
	if err := json.NewDecoder(input).Decode(&report); err != nil {
		return nil, eris.Wrap(err, "decode report")
	}
	return &report, nil
}

// WriteTable writes the report as Markdown tables. If there is a previous
// report, each of the main figures is followed by its ratio to the previous one.
func (r *Report) WriteTable(output io.Writer, previous *Report) error {
	fmt.Fprintf(output, "commit %s, %s, %d cores, quick: %t, %.0f s\n", r.Commit, r.StartedAt.Format(time.DateTime), r.Cores, r.Quick, r.Seconds)
	t := &table{writer: tabwriter.NewWriter(output, 0, 0, 1, ' ', 0), previous: newFigureIndex(previous)}
	r.writeReads(t)
	r.writeFailover(t)
	r.writeFlood(t)
	r.writeCost(t)
	return eris.Wrap(t.writer.Flush(), "write tables")
}
