package cli

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/cyclamenpin/cyclamenpin/internal/app"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/pgserver"
)

const proxyHelp = `Runs an entry instance until it is told to stop.

SIGTERM or SIGINT starts a graceful stop: no new clients, idle sessions end,
requests and transactions in progress finish. A second signal, or the end of
--drain-timeout, ends what is left.

Every flag can be given as an environment variable: --peer-listen is
CYCLAMENPIN_PEER_LISTEN.`

// proxyCommand returns the subcommand that runs an entry instance.
func proxyCommand(stderr io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("cyclamenpin proxy", flag.ContinueOnError)
	flags.SetOutput(stderr)
	settings := proxyFlags(flags)
	return &ffcli.Command{
		Name:       "proxy",
		ShortUsage: "cyclamenpin proxy [flags]",
		ShortHelp:  "run an entry instance",
		LongHelp:   proxyHelp,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usageError("proxy takes no arguments")
			}
			return runProxy(ctx, settings(), stderr)
		},
	}
}

// proxyFlags registers the flags of an instance's settings. The returned
// function returns the settings once the flags are parsed.
func proxyFlags(flags *flag.FlagSet) func() app.Settings {
	var s app.Settings
	defaults := pgserver.DefaultOptions()
	instance := flags.String("instance-id", "", "name of this instance, unique among all")
	dataCentre := flags.String("data-centre", "", "data centre in which this instance runs")
	flags.StringVar(&s.ClientListen, "listen", "127.0.0.1:6432", "host:port for PostgreSQL clients")
	flags.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:6433", "host:port for other instances")
	flags.StringVar(&s.PeerAdvertise, "peer-advertise", "", "host:port at which peers reach this instance; default: peer-listen")
	flags.StringVar(&s.AdminListen, "admin-listen", "127.0.0.1:6434", "host:port for operators, metrics and health")
	flags.StringVar(&s.AdminToken, "admin-token", "", "operators' credential; needed when admin-listen is not loopback")
	flags.StringVar(&s.PlatformURL, "platform", "", "URL of the platform's service")
	peerKeys := flags.String("peer-keys", "", "comma-separated keys shared by all instances; the first signs, all are accepted")
	seeds := flags.String("seeds", "", "comma-separated peers known from the start, each id=data-centre=host:port")
	flags.StringVar(&s.ClientTLS.Certificate, "client-tls-cert", "", "PEM file of the certificate shown to clients; none: no encryption")
	flags.StringVar(&s.ClientTLS.Key, "client-tls-key", "", "PEM file of its key")
	flags.StringVar(&s.PeerTLS.Certificate, "peer-tls-cert", "", "PEM file of the certificate shown to peers; none: no encryption")
	flags.StringVar(&s.PeerTLS.Key, "peer-tls-key", "", "PEM file of its key")
	flags.StringVar(&s.PeerTLSAuthority, "peer-tls-authority", "", "PEM file of the certificates that sign all peers'")
	flags.StringVar(&s.BackendUser, "backend-user", "cyclamenpin", "user name towards backend servers")
	flags.StringVar(&s.BackendPassword, "backend-password", "", "password towards backend servers")
	flags.IntVar(&s.MaxClients, "max-clients", defaults.MaxClients, "client connections that this instance accepts")
	flags.DurationVar(&s.QueueTimeout, "queue-timeout", defaults.QueueTimeout, "longest wait of a request for a connection or slot")
	flags.DurationVar(&s.PrimaryWait, "primary-wait", 5*time.Second, "longest wait of a write while the primary is being changed")
	flags.DurationVar(&s.IdleInTransaction, "idle-in-transaction", defaults.IdleInTransaction, "longest idle time within a transaction, where the plan sets none")
	flags.DurationVar(&s.DrainTimeout, "drain-timeout", 30*time.Second, "bound of a graceful stop")
	flags.StringVar(&s.LogLevel, "log-level", "info", "trace, debug, info, warn or error")
	return func() app.Settings {
		s.InstanceID = state.InstanceID(*instance)
		s.DataCentre = state.DataCentre(*dataCentre)
		s.PeerKeys = splitList(*peerKeys)
		s.Seeds = splitList(*seeds)
		return s
	}
}

// splitList splits a comma-separated list. It returns nil for an empty text.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

func runProxy(ctx context.Context, settings app.Settings, stderr io.Writer) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	instance, err := app.Start(ctx, settings, app.NewLogger(settings, stderr))
	if err != nil {
		return err
	}
	<-stopping.Done()
	return drain(ctx, instance, settings.DrainTimeout)
}

// drain stops an instance gracefully. A second signal or the end of the timeout
// ends the requests and sessions that are left.
func drain(ctx context.Context, instance *app.Instance, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	secondSignal := make(chan os.Signal, 1)
	signal.Notify(secondSignal, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(secondSignal)
	go func() {
		select {
		case <-secondSignal:
			cancel()
		case <-ctx.Done():
		}
	}()
	return instance.Stop(ctx)
}
