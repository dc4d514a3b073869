package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cyclamenpin/cyclamenpin/internal/entry"
)

const entryHelp = `Runs an entry instance on the council platform until it is told to stop.

--config names the platform's settings file, which is read again when it
changes and on SIGHUP. SIGTERM starts a graceful stop.

Every flag can be given as an environment variable: --config is
CYCLAMENPIN_CONFIG.`

// entryCommand returns the subcommand that runs an entry instance on the council
// platform.
func entryCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	var options entry.Options
	flags.StringVar(&options.SettingsPath, "config", "", "path of the platform's settings file")
	flags.IntVar(&options.MetricsPort, "metrics-port", 0, "port for metrics and the state dump on the machine's address; 0: beside the readiness probe only")
	flags.StringVar(&options.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	return &ffcli.Command{
		Name:       "entry",
		ShortUsage: "cyclamenpin entry [flags]",
		ShortHelp:  "run an entry instance on the council platform",
		LongHelp:   entryHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("entry takes no arguments")
			}
			if options.SettingsPath == "" {
				return usageError("--config is missing")
			}
			return runEntry(ctx, options, stdout)
		},
	}
}

func runEntry(ctx context.Context, options entry.Options, stdout io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	instance, err := entry.Start(ctx, options, stdout)
	if err != nil {
		return err
	}
	for received := range signals {
		if received == syscall.SIGHUP {
			instance.Reload("SIGHUP")
			continue
		}
		instance.Stop(ctx)
		return nil
	}
	return nil
}
