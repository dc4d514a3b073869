package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/measure/today"
)

const measureTodayHelp = `Runs an installation of the size of each of today's deployments on loopback,
with their latencies, and prints the share of reads that replicas serve, the
failover gap, goodput and fairness under a flood, and the cost of the proxy,
each beside baselines in the same run. It takes less than four minutes, with
--quick less than one. With --baseline, a document that --output json wrote,
each main figure is followed by its ratio to that run's.`

func measureTodayCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin measure today", flag.ContinueOnError)
	flags.SetOutput(stderr)
	quick := flags.Bool("quick", false, "fewer and shorter samples")
	only := flags.String("only", "", "measure only these, by commas: "+strings.Join(today.Sections(), ", "))
	output := flags.String("output", "table", "table or json")
	savePath := flags.String("save", "", "file for the JSON document, beside the output")
	baselinePath := flags.String("baseline", "", "JSON document of a former run to compare with")
	return &ffcli.Command{
		Name:       "today",
		ShortUsage: "cyclamenpin measure today [flags]",
		ShortHelp:  "measure both deployments at their sizes of today",
		LongHelp:   measureTodayHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			if *output != "table" && *output != "json" {
				return usageError("--output: want table or json")
			}
			baseline, err := readBaseline(*baselinePath)
			if err != nil {
				return err
			}
			options := today.Options{Quick: *quick, Only: splitList(*only), Commit: version(), Progress: stderr}
			report, err := today.Run(ctx, options)
			if err != nil {
				return err
			}
			if err := saveReport(*savePath, report); err != nil {
				return err
			}
			if *output == "json" {
				return report.WriteJSON(stdout)
			}
			return report.WriteTable(stdout, baseline)
		},
	}
}

// readBaseline reads the report of an earlier run. It returns nil if path is
// empty.
func readBaseline(path string) (*today.Report, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, eris.Wrap(err, "open the baseline")
	}
	defer file.Close() //nolint:errcheck // it was only read
	return today.ReadReport(file)
}
