package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cyclamenpin/cyclamenpin/internal/dev"
)

const devHelp = `Runs a whole small installation in this process, on loopback: stand-ins for
the platform and for a group of three databases, and two entry instances.
Nothing is kept when it ends.

With --selftest it runs a short workload against itself, prints one line a
step, and exits with 0 only if every step held.`

func devCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin dev", flag.ContinueOnError)
	flags.SetOutput(stderr)
	selfTest := flags.Bool("selftest", false, "run the self test and exit")
	logLevel := flags.String("log-level", "warn", "trace, debug, info, warn or error")
	return &ffcli.Command{
		Name:       "dev",
		ShortUsage: "cyclamenpin dev [--selftest]",
		ShortHelp:  "run a whole installation on loopback, for trying it out",
		LongHelp:   devHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			stack, err := dev.Start(ctx, dev.Options{Log: stderr, LogLevel: *logLevel})
			if err != nil {
				return err
			}
			defer stack.Close()
			if *selfTest {
				return dev.SelfTest(ctx, stack, stdout)
			}
			printWelcome(stdout, stack)
			stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			<-stopping.Done()
			return nil
		},
	}
}

func printWelcome(stdout io.Writer, stack *dev.Stack) {
	fmt.Fprintln(stdout, "Two entry instances in front of one group of three databases. Connect with either:")
	for _, instance := range stack.Instances {
		fmt.Fprintf(stdout, "  psql '%s'\n", stack.URL(instance))
	}
	fmt.Fprintln(stdout, "See the state of the first with:")
	fmt.Fprintf(stdout, "  cyclamenpin dump --admin http://%s\n", stack.Instances[0].AdminAddr())
	fmt.Fprintln(stdout, "Stop with Ctrl-C.")
}
