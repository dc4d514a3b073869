package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// standinHeaderTimeout limits the time to read a request's header.
const standinHeaderTimeout = 10 * time.Second

func standinCommand(stdout, stderr io.Writer) *ffcli.Command {
	return &ffcli.Command{
		Name:        "standin",
		ShortUsage:  "cyclamenpin standin platform|database [flags]",
		ShortHelp:   "run a stand-in for an outside system, for tests",
		FlagSet:     flag.NewFlagSet("cyclamenpin standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{standinPlatformCommand(stdout, stderr), standinDatabaseCommand(stdout, stderr)},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}

func standinPlatformCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin standin platform", flag.ContinueOnError)
	flags.SetOutput(stderr)
	listen := flags.String("listen", "127.0.0.1:0", "host:port of the platform's service")
	switches := flags.String("switches", "127.0.0.1:0", "host:port that makes it fail on request")
	groups := flags.String("groups", "", "JSON file with a list of database groups to record")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "cyclamenpin standin platform [flags]", ShortHelp: "the platform's service, in memory",
		FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			server := platform.NewServer()
			if err := recordGroups(server, *groups); err != nil {
				return err
			}
			return serveUntilSignal(ctx, stdout, []namedServer{
				{name: "platform", address: *listen, handler: server.Handler()},
				{name: "switches", address: *switches, handler: server.SwitchHandler()},
			})
		},
	}
}

// recordGroups writes the database groups of a JSON file to the stand-in of the
// platform. It does nothing if path is empty.
func recordGroups(server *platform.Server, path string) error {
	if path == "" {
		return nil
	}
	document, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return eris.Wrap(err, "read the groups file")
	}
	var groups []state.Group
	if err := json.Unmarshal(document, &groups); err != nil {
		return eris.Wrap(err, "decode the groups file")
	}
	for _, group := range groups {
		record, err := json.Marshal(group)
		if err != nil {
			return eris.Wrap(err, "encode the group")
		}
		server.Put(configuration.GroupKey(group.ID), record)
	}
	return nil
}

func standinDatabaseCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin standin database", flag.ContinueOnError)
	flags.SetOutput(stderr)
	var options database.Options
	id := flags.String("id", "", "name of the database")
	dataCentre := flags.String("data-centre", "", "data centre of the backend server")
	flags.StringVar(&options.Address, "listen", "127.0.0.1:0", "host:port for the PostgreSQL protocol")
	flags.BoolVar(&options.Primary, "primary", false, "start as the primary of term 1")
	flags.IntVar(&options.Slots, "slots", 3, "statements at once")
	flags.IntVar(&options.MaxConnections, "max-connections", 20, "connections accepted")
	flags.DurationVar(&options.OpenDelay, "open-delay", 12*time.Millisecond, "time to open a connection")
	flags.DurationVar(&options.ReplicationLag, "lag", 5*time.Millisecond, "replication lag")
	flags.DurationVar(&options.StatementTime, "statement-time", time.Millisecond, "time of each statement")
	follow := flags.String("follow", "", "primary to follow in term 1, as id=host:port")
	switches := flags.String("switches", "127.0.0.1:0", "host:port that makes it fail on request")
	return &ffcli.Command{
		Name: "database", ShortUsage: "cyclamenpin standin database [flags]", ShortHelp: "one database of a group, in memory",
		FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, _ []string) error {
			options.ID = state.DatabaseID(*id)
			options.DataCentre = state.DataCentre(*dataCentre)
			server, err := database.Start(ctx, options)
			if err != nil {
				return err
			}
			defer server.Close()
			if err := followPrimary(server, *follow); err != nil {
				return err
			}
			fmt.Fprintf(stdout, "database %s\n", server.Addr())
			return serveUntilSignal(ctx, stdout, []namedServer{
				{name: "switches", address: *switches, handler: server.SwitchHandler()},
			})
		},
	}
}

// followPrimary makes a new database follow a primary, given as id=host:port, in
// the current term. It does nothing if primary is empty.
func followPrimary(server *database.Server, primary string) error {
	if primary == "" {
		return nil
	}
	id, address, found := cutPair(primary)
	if !found {
		return usageError("--follow: want id=host:port")
	}
	_, err := server.Follow(server.Status().Term, state.DatabaseID(id), address)
	return eris.Wrap(err, "follow the primary")
}

type namedServer struct {
	name    string
	address string
	handler http.Handler
}

// serveUntilSignal serves HTTP until the process receives SIGTERM or SIGINT, or
// ctx ends. It prints the address of each server.
func serveUntilSignal(ctx context.Context, stdout io.Writer, servers []namedServer) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	for _, server := range servers {
		listener, err := net.Listen("tcp", server.address)
		if err != nil {
			return eris.Wrapf(err, "listen for %s", server.name)
		}
		httpServer := &http.Server{Handler: server.handler, ReadHeaderTimeout: standinHeaderTimeout}
		defer httpServer.Close() //nolint:errcheck // the process ends
		go func() {
			if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				fmt.Fprintf(stdout, "%s ended: %v\n", server.name, err)
			}
		}()
		fmt.Fprintf(stdout, "%s %s\n", server.name, listener.Addr())
	}
	<-ctx.Done()
	return nil
}
