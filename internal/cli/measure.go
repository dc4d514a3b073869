package cli

import (
	"context"
	"errors"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"
)

// measureCommand returns the command that groups the measurements.
func measureCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin measure", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "measure",
		ShortUsage: "cyclamenpin measure SUBCOMMAND [flags]",
		ShortHelp:  "measure the product on this machine",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			measureCapacityCommand(stdout, stderr),
			measureTodayCommand(stdout, stderr),
		},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}

// jsonReport is the result of a measurement.
type jsonReport interface {
	WriteJSON(output io.Writer) error
}

// saveReport writes a report to the file at path, if path is not empty.
func saveReport(path string, report jsonReport) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "create the report file")
	}
	return eris.Wrap(errors.Join(report.WriteJSON(file), file.Close()), "write the report")
}
