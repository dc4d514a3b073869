package cli

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// measureCommand holds what measures the product on this machine.
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
