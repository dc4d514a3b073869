package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cyclamenpin/cyclamenpin/internal/app"
)

// Exit codes of every subcommand.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Run executes the subcommand given in args and returns its exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	root := rootCommand(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintln(stderr, "cyclamenpin:", err)
		return ExitUsage
	}
	return exitCode(root.Run(context.Background()), stderr)
}

// exitCode prints an error, if any, and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	if !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(stderr, "cyclamenpin:", err)
	}
	if _, isSettings := app.AsSettingsError(err); isSettings {
		return ExitUsage
	}
	return ExitCode(err)
}

func rootCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin", flag.ContinueOnError)
	flags.SetOutput(stderr)
	return &ffcli.Command{
		Name:       "cyclamenpin",
		ShortUsage: "cyclamenpin SUBCOMMAND [flags]",
		ShortHelp:  "a database proxy with session consistency",
		FlagSet:    flags,
		Subcommands: []*ffcli.Command{
			proxyCommand(stderr),
			entryCommand(stdout, stderr),
			explainCommand(os.Stdin, stdout, stderr),
			devCommand(stdout, stderr),
			PlansCommand(stdout, stderr),
			LimitsCommand(stdout, stderr),
			dumpCommand(stdout, stderr),
			standinCommand(stdout, stderr),
			measureCommand(stdout, stderr),
			versionCommand(stdout),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usageError(fmt.Sprintf("unknown subcommand %q; see cyclamenpin -h", args[0]))
			}
			return flag.ErrHelp
		},
	}
}

func versionCommand(stdout io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "cyclamenpin version",
		ShortHelp:  "print the version",
		FlagSet:    flag.NewFlagSet("cyclamenpin version", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			fmt.Fprintln(stdout, version())
			return nil
		},
	}
}

// version returns the module's version, or devel if the build has none.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}
