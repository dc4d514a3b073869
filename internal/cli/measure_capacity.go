package cli

import (
	"context"
	"flag"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cyclamenpin/cyclamenpin/internal/measure/capacity"
)

const measureCapacityHelp = `Measures what the parts of an instance cost at three or more sizes, fits a line
through the points, and prints a table. It takes less than two minutes and uses
stand-ins on loopback only. Processor time is that of the whole process: each
line says what else is in it.`

func measureCapacityCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin measure capacity", flag.ContinueOnError)
	flags.SetOutput(stderr)
	only := flags.String("only", "", "measure only these, by commas: "+strings.Join(capacity.Sections(), ", "))
	jsonPath := flags.String("json", "", "file for the same as JSON")
	return &ffcli.Command{
		Name:       "capacity",
		ShortUsage: "cyclamenpin measure capacity [flags]",
		ShortHelp:  "measure what each part costs as the system grows",
		LongHelp:   measureCapacityHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			report, err := capacity.Run(ctx, splitList(*only))
			if err != nil {
				return err
			}
			if err := saveReport(*jsonPath, report); err != nil {
				return err
			}
			return report.WriteTable(stdout)
		},
	}
}
