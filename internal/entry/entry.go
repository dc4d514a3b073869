// Package entry runs an entry instance on the council platform: it connects the
// platform's adapter with the relay and the coordination layer, and starts and
// stops them.
package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/freshness"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/levels"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ratelimit"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/relay"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/renewals"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/datagram"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/forward"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/lineserver"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/tunnel"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

const (
	// memoryLimitShare is the share of the process's memory limit that is set
	// as the Go runtime's soft limit. The rest is for the kernel's buffers,
	// which count towards the process's limit too.
	memoryLimitShare = 0.7
	// gcPercent is the garbage collector's target percentage, Go's default: the heap
	// of the largest number of sessions must fit into the memory limit twice.
	gcPercent = 100
	// balancerRemovalTime is how long the balancer needs to stop sending new
	// connections: it probes readiness once a second and removes an instance
	// after two negative responses.
	balancerRemovalTime = 2300 * time.Millisecond
	// isolationCheckInterval is the time between two checks whether the
	// instance is isolated.
	isolationCheckInterval = 250 * time.Millisecond
	// stopTimeReserve is the part of the stop's grace period that is reserved
	// for its last steps.
	stopTimeReserve = 600 * time.Millisecond
	// startTimeout bounds the start hooks of fx.
	startTimeout = 10 * time.Second
)

// Options are the settings that are not in the platform's settings file.
type Options struct {
	// SettingsPath is the platform's settings file.
	SettingsPath string
	// MetricsPort is the port on the machine's address for metrics and the
	// dump. If it is 0, they are served only by the readiness probe's listener.
	MetricsPort int
	LogLevel    string
}

// Instance is a running entry instance.
type Instance struct {
	options  Options
	settings atomic.Pointer[platform.Settings]
	run      int64
	started  time.Time
	logs     *logs
	fx       *fx.App
	cancel   context.CancelFunc

	directory    *directory.Directory
	engine       *relay.Engine
	leadership   *leadership.Manager
	pools        *pooling.Manager
	server       *lineserver.Server
	clock        state.Clock
	followers    *followers
	positions    *freshness.Exchange
	limits       *ratelimit.Limiter
	levels       *levels.Gate
	renewals     *renewals.Collector
	tunnelServer *tunnel.Server
	placement    *placement.Table
	holder       *forwarding.Holder
	links        *forward.Client
	linkServer   *forward.Server

	clients   net.Listener
	readiness net.Listener
	metrics   net.Listener
	peers     *datagram.Socket
	tunnels   net.Listener
	stopping  atomic.Bool
}

// Start starts an instance, which logs to output.
func Start(ctx context.Context, options Options, output io.Writer) (*Instance, error) {
	settings, err := platform.LoadSettings(options.SettingsPath)
	if err != nil {
		return nil, err
	}
	run := time.Now().UnixNano()
	i := &Instance{options: options, run: run, started: time.Now(), logs: newLogs(output, settings.Instance, run)}
	level, err := zerolog.ParseLevel(options.LogLevel)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", options.LogLevel)
	}
	i.logs.Logger = i.logs.Level(level)
	i.logs.requests.Logger = i.logs.requests.Level(level)
	i.settings.Store(&settings)
	limitMemory(settings)
	if err := i.listen(settings); err != nil {
		return nil, err
	}
	background, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout),
		fx.Supply(settings, i),
		fx.Provide(func() context.Context { return background }, func() (zerolog.Logger, requestLog) { return i.logs.Logger, i.logs.requests }),
		modules(),
		fx.Populate(&i.directory, &i.engine, &i.leadership, &i.pools, &i.server, &i.clock, &i.followers, &i.positions, &i.limits, &i.levels, &i.renewals, &i.tunnelServer, &i.placement, &i.holder, &i.links, &i.linkServer),
		fx.Invoke(func(lifecycle fx.Lifecycle) {
			lifecycle.Append(fx.Hook{OnStart: func(context.Context) error { i.startServices(background); return nil }})
		}),
	)
	if err := i.fx.Start(ctx); err != nil {
		cancel()
		i.closeListeners()
		return nil, eris.Wrap(err, "start the entry instance")
	}
	i.logs.Info().Str("data_centre", string(settings.DataCentre)).Str("listen", settings.ClientListen).Str("store", settings.StoreAddress).
		Int64("memory_limit_bytes", settings.MemoryLimitBytes).Int("max_descriptors", settings.MaxDescriptors).Msg("started")
	return i, nil
}

// limitMemory configures the garbage collector for the memory limit.
func limitMemory(settings platform.Settings) {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryLimitBytes)))
}

// listen opens all listeners. On an error it closes those already opened.
func (i *Instance) listen(settings platform.Settings) error {
	var err error
	if i.clients, err = net.Listen("tcp", settings.ClientListen); err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	if i.readiness, err = net.Listen("tcp", settings.ReadyListen); err != nil {
		i.closeListeners()
		return eris.Wrap(err, "listen for readiness probes")
	}
	if i.tunnels, err = net.Listen("tcp", peerAddress(settings)); err != nil {
		i.closeListeners()
		return eris.Wrap(err, "listen for tunnels")
	}
	if i.peers, err = datagram.Listen(peerAddress(settings), i.logs.Logger); err != nil {
		i.closeListeners()
		return err
	}
	if i.options.MetricsPort == 0 {
		return nil
	}
	address := net.JoinHostPort(settings.IP, strconv.Itoa(i.options.MetricsPort))
	if i.metrics, err = net.Listen("tcp", address); err != nil {
		i.closeListeners()
		return eris.Wrap(err, "listen for metrics")
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, listener := range []net.Listener{i.clients, i.readiness, i.metrics, i.tunnels} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if i.peers != nil {
		_ = i.peers.Close()
	}
}

func peerAddress(settings platform.Settings) string {
	return net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort))
}

// startServices starts the background loops and the servers of the instance.
func (i *Instance) startServices(ctx context.Context) {
	i.followers.run(ctx)
	go i.leadership.Run(ctx)
	go i.pools.Run(ctx)
	go i.limits.Run(ctx)
	go i.levels.Run(ctx)
	go i.server.Serve(i.clients)
	go i.serveHTTP(i.readiness)
	go i.tunnelServer.Serve(i.tunnels)
	go i.followPlacement(ctx)
	go i.links.Run(ctx)
	go i.peers.Serve(map[datagram.Topic]func([]byte) []byte{
		topicConfirmations: i.leadership.Receive, topicPositions: i.positions.Receive, topicRegistrations: i.followers.servers.Sharing.Receive,
		topicLimits: i.limits.Receive, topicRenewals: i.renewals.Receive,
	})
	if i.metrics != nil {
		go i.serveHTTP(i.metrics)
	}
	go i.housekeeping(ctx)
	go i.closeIdleWhileIsolated(ctx)
}

// closeIdleWhileIsolated ends idle sessions while the instance is isolated, so
// that their clients connect to another instance. It does so only after the
// balancer has had time to stop sending new connections here.
func (i *Instance) closeIdleWhileIsolated(ctx context.Context) {
	var isolatedSince time.Time
	state.Every(ctx, isolationCheckInterval, func() {
		isolated := i.leadership.Isolated()
		if isolated != !isolatedSince.IsZero() {
			i.logs.Info().Bool("isolated", isolated).Int("clients", i.server.Clients()).Msg("isolation from the store and the other instances changed")
		}
		switch {
		case !isolated:
			isolatedSince = time.Time{}
		case isolatedSince.IsZero():
			isolatedSince = time.Now()
		case time.Since(isolatedSince) > balancerRemovalTime:
			if closed := i.server.CloseIdle(); closed > 0 {
				i.logs.Info().Int("closed", closed).Msg("idle sessions closed because this instance is isolated")
			}
		}
	})
}

// housekeeping reports dropped log lines and reloads the settings when their
// file changes.
func (i *Instance) housekeeping(ctx context.Context) {
	modified := modificationTime(i.options.SettingsPath)
	state.Every(ctx, logPeriod, func() {
		i.logs.report()
		if now := modificationTime(i.options.SettingsPath); !now.Equal(modified) {
			modified = now
			i.Reload("the file changed")
		}
	})
}

func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // Reload reports a file that can't be read
	}
	return info.ModTime()
}

// Reload reads the settings file again. If it is invalid, the last valid
// settings stay in force. Changed addresses and names take effect at the next
// start.
func (i *Instance) Reload(cause string) {
	settings, err := platform.LoadSettings(i.options.SettingsPath)
	if err != nil {
		i.logs.Error().Err(err).Str("cause", cause).Msg("settings refused, the last good ones stay in force")
		return
	}
	i.settings.Store(&settings)
	limitMemory(settings)
	i.logs.Info().Str("cause", cause).Int64("memory_limit_bytes", settings.MemoryLimitBytes).Msg("settings in force")
}

// Ready reports whether the instance can serve new sessions: it is neither
// stopping nor isolated, and has a usable configuration and a registered database.
func (i *Instance) Ready() bool {
	if i.stopping.Load() || !i.engine.Serviceable() || i.leadership.Isolated() {
		return false
	}
	return len(i.directory.Groups()) > 0
}

// Stop ends the instance gracefully. It first reports not ready until the
// balancer sends no new connections, then ends sessions between two operations.
// Transactions have until half of the platform's grace period has passed.
func (i *Instance) Stop(ctx context.Context) {
	stopStarted := time.Now()
	grace := i.settings.Load().StopGrace
	i.stopping.Store(true)
	i.holder.Stop()
	i.logs.Info().Int("clients", i.server.Clients()).Dur("grace_ms", grace).Msg("stopping")
	ctx, cancel := context.WithDeadline(ctx, stopStarted.Add(grace-stopTimeReserve))
	defer cancel()
	state.Pause(ctx, min(balancerRemovalTime, grace/2))
	_ = i.clients.Close()
	forceClosed := i.server.Drain(ctx, stopStarted.Add(grace/2))
	i.awaitForwarded(ctx, stopStarted.Add(grace/2))
	i.limits.Leave()
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), stopTimeReserve/2)
	i.leadership.Leave(leaveCtx)
	cancelLeave()
	i.logs.Info().Int("cut_off", forceClosed).Dur("held_ms", time.Since(stopStarted)).Msg("stopped")
	i.close()
}

// close cancels the background loops and closes the listeners and the log.
func (i *Instance) close() {
	i.cancel()
	i.closeListeners()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeReserve/2)
	defer cancel()
	if err := i.fx.Stop(ctx); err != nil {
		i.logs.Error().Err(err).Msg("stop hooks failed")
	}
	_ = i.logs.buffer.Close()
}

func (i *Instance) serveHTTP(listener net.Listener) {
	server := &http.Server{Handler: i.handler(), ReadHeaderTimeout: time.Second}
	if err := server.Serve(listener); err != nil && !i.stopping.Load() {
		i.logs.Error().Err(err).Stringer("address", listener.Addr()).Msg("HTTP server ended")
	}
}
