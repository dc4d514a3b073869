package app

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/membership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ownership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/admin"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/peerlink"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/pgserver"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

// Instance is a running instance of the proxy.
type Instance struct {
	settings   Settings
	log        zerolog.Logger
	fx         *fx.App
	started    time.Time
	draining   atomic.Bool
	membership *membership.Membership
	groups     *configuration.Groups
	follower   *configuration.Follower
	store      operatorStore
	owner      *execution.Owner
	ownership  *ownership.Manager
	limits     *limitsInForce
	platform   *platformclient.Client
	peerClient *peerlink.Client
	peerServer *peerlink.Server
	clients    *pgserver.Server
	caller     peerCaller

	clientListener net.Listener
	peerListener   net.Listener
	adminListener  net.Listener
	admin          *http.Server

	// background tracks the goroutines of the servers and of the loops that run
	// until cancel is called.
	background sync.WaitGroup
	cancel     context.CancelFunc
}

// NewLogger returns the logger of an instance. Its level is that of the
// settings, or info if they name none that is known.
func NewLogger(settings Settings, output io.Writer) zerolog.Logger {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	return zerolog.New(output).Level(level).With().Timestamp().Str("instance", string(settings.InstanceID)).Logger()
}

// Start starts an instance. If a component fails to start, those that were
// already started are stopped.
func Start(ctx context.Context, settings Settings, log zerolog.Logger) (*Instance, error) {
	return StartWithNetwork(ctx, settings, nil, log)
}

// StartWithNetwork starts an instance whose outgoing connections are opened by
// network, or by the operating system if network is nil.
func StartWithNetwork(ctx context.Context, settings Settings, network Network, log zerolog.Logger) (*Instance, error) {
	instance := &Instance{settings: settings, log: log, started: time.Now()}
	if err := instance.listen(); err != nil {
		instance.closeListeners()
		return nil, err
	}
	// A port of 0 in the settings is replaced by the one that the system chose.
	instance.settings.PeerListen = instance.peerListener.Addr().String()
	instance.fx = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(instance.settings, log),
		fx.Provide(func() Network { return network }),
		stateModule(), protocolModule(), transportModule(), coordinationModule(),
		fx.Populate(
			&instance.membership, &instance.groups, &instance.follower, &instance.store, &instance.owner,
			&instance.ownership, &instance.limits, &instance.platform, &instance.peerClient,
			&instance.peerServer, &instance.clients, &instance.caller,
		),
		fx.Invoke(func(lifecycle fx.Lifecycle) {
			lifecycle.Append(fx.Hook{OnStart: instance.run, OnStop: instance.drain})
		}),
	)
	if err := instance.fx.Start(ctx); err != nil {
		instance.closeListeners()
		return nil, eris.Wrap(err, "start instance")
	}
	return instance, nil
}

func (i *Instance) listen() error {
	var err error
	if i.clientListener, err = net.Listen("tcp", i.settings.ClientListen); err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	if i.peerListener, err = net.Listen("tcp", i.settings.PeerListen); err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if i.adminListener, err = net.Listen("tcp", i.settings.AdminListen); err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	return nil
}

func (i *Instance) closeListeners() {
	for _, listener := range []net.Listener{i.clientListener, i.peerListener, i.adminListener} {
		if listener != nil {
			listener.Close()
		}
	}
}

// run starts all loops and servers.
func (i *Instance) run(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.background.Go(func() { i.applyConfigurations(ctx) })
	i.background.Go(func() { i.membership.Run(ctx) })
	i.background.Go(func() { i.updatePlatformBudgets(ctx) })
	i.background.Go(func() { i.groups.Run(ctx) })
	i.background.Go(func() { i.follower.Run(ctx) })
	i.background.Go(func() { i.ownership.Run(ctx) })
	i.background.Go(func() { i.announce(ctx) })
	i.background.Go(func() { i.logServeError("serve peers", i.peerServer.Serve(i.peerListener)) })
	i.background.Go(func() { i.logServeError("serve clients", i.clients.Serve(i.clientListener)) })
	i.admin = i.newAdminServer()
	i.background.Go(func() { i.logServeError("serve operators", i.admin.Serve(i.adminListener)) })
	i.log.Info().Str("step", "start").Str("clients", i.ClientAddr()).Str("peers", i.peerListener.Addr().String()).
		Str("admin", i.AdminAddr()).Msg("instance started")
	return nil
}

func (i *Instance) logServeError(step string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.log.Error().Err(err).Str("step", step).Msg("server stopped unexpectedly")
	}
}

// adminTimeout is the maximum time for reading a request's header on the admin
// server.
const adminTimeout = 10 * time.Second

func (i *Instance) newAdminServer() *http.Server {
	loopback := isLoopback(i.settings.AdminListen)
	handler := admin.NewHandler(admin.Endpoints{
		Dump:          func() any { return i.Dump() },
		Ready:         i.ready,
		Metrics:       i.newMetrics(),
		Configuration: i.configurationHandler(),
	}, admin.RequireToken(i.settings.AdminToken, loopback))
	return &http.Server{Handler: handler, ReadHeaderTimeout: adminTimeout}
}

// configurationHandler returns the handler of operators' requests about the
// plans and limits.
func (i *Instance) configurationHandler() http.Handler {
	mux := http.NewServeMux()
	admin.NewConfigurationHandler(i.store.Store, i.follower, i.groups.IDs, i.log).Register(mux)
	return mux
}

// ready returns nil if the instance can serve clients, or the reason why it
// cannot.
func (i *Instance) ready() error {
	switch {
	case i.draining.Load():
		return errors.New("leaving")
	case i.follower.Current() == nil:
		return errors.New("no configuration yet")
	case len(i.groups.IDs()) == 0:
		return errors.New("no groups yet")
	default:
		return nil
	}
}

// applyConfigurations applies each newer configuration: it updates the limits of
// the gates and ends the sessions whose plan may no longer access their group.
func (i *Instance) applyConfigurations(ctx context.Context) {
	configurations, stop := i.follower.Subscribe()
	defer stop()
	for {
		select {
		case configuration := <-configurations:
			i.limits.apply(configuration)
			i.clients.EndSessions(func(plan state.PlanID, group state.GroupID) bool {
				limit, found := configuration.LimitOf(plan)
				return found && limit.Allows(group)
			})
		case <-ctx.Done():
			return
		}
	}
}

// platformBudgetInterval is the time between two adjustments of the platform
// budgets.
const platformBudgetInterval = 5 * time.Second

// operatorBudgetDivisor makes the budget of operators' calls to the platform a
// quarter of the budget of the instance's own calls.
const operatorBudgetDivisor = 4

// updatePlatformBudgets periodically adjusts this instance's budgets of calls to
// the platform to its share among all instances.
func (i *Instance) updatePlatformBudgets(ctx context.Context) {
	ticker := time.NewTicker(platformBudgetInterval)
	defer ticker.Stop()
	for {
		instances := len(i.membership.Peers()) + 1
		i.platform.DivideBudget(instances)
		i.store.client.DivideBudget(instances * operatorBudgetDivisor)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// announceInterval is the delay between attempts to announce the instance.
const announceInterval = 2 * time.Second

// announce registers this instance with the platform and retries until that
// succeeds.
func (i *Instance) announce(ctx context.Context) {
	for {
		err := i.platform.Announce(ctx, i.Self())
		if err == nil {
			return
		}
		i.log.Warn().Err(err).Str("step", "announce instance").Msg("announcing the instance to the platform failed; retrying")
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
			return
		}
	}
}

// Self describes this run of the instance.
func (i *Instance) Self() state.Instance {
	return i.membership.Self()
}

// ClientAddr returns the address on which clients are accepted.
func (i *Instance) ClientAddr() string {
	return i.clientListener.Addr().String()
}

// AdminAddr returns the address of the admin server.
func (i *Instance) AdminAddr() string {
	return i.adminListener.Addr().String()
}

// Ready reports whether the instance can serve clients.
func (i *Instance) Ready() bool {
	return i.ready() == nil
}

// Stop stops the instance gracefully. If ctx ends first, the remaining sessions
// and streams are ended and an error is returned.
func (i *Instance) Stop(ctx context.Context) error {
	return i.fx.Stop(ctx)
}

// leaveTimeout is the maximum time for reporting a graceful stop to the
// platform.
const leaveTimeout = time.Second

// drain performs the graceful stop. It notifies the peers and the platform, then
// ends the clients' sessions, then the streams of peers, and finally stops
// everything else.
func (i *Instance) drain(ctx context.Context) error {
	i.draining.Store(true)
	i.membership.SetLeaving()
	i.background.Go(func() { i.announceLeaving() })
	clientsErr := i.clients.Shutdown(ctx)
	peersErr := i.peerServer.Shutdown(ctx)
	i.cancel()
	i.peerClient.Close()
	_ = i.admin.Close()
	i.background.Wait()
	i.owner.Close()
	i.platform.Close()
	i.store.client.Close()
	i.log.Info().Str("step", "stop").Msg("instance stopped")
	return errors.Join(clientsErr, peersErr)
}

func (i *Instance) announceLeaving() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	self := i.Self()
	if err := i.platform.Leave(ctx, self.ID, self.Incarnation); err != nil {
		i.log.Warn().Err(err).Str("step", "leave").Msg("reporting the instance's departure to the platform failed")
	}
}

// Revision returns the configuration revision in force on this instance, or zero
// if there is none yet.
func (i *Instance) Revision() state.Revision {
	configuration := i.follower.Current()
	if configuration == nil {
		return 0
	}
	return configuration.Revision
}

// Edit submits an operator's edit to the platform and, if it is accepted, puts
// the resulting configuration in force on this instance.
func (i *Instance) Edit(ctx context.Context, edit configuration.Edit) (configuration.EditResult, error) {
	accepted, err := i.store.Edit(ctx, edit, i.follower.Current(), i.groups.IDs())
	if err == nil {
		i.follower.Offer(ctx, accepted.Configuration, configuration.SourceEdit)
	}
	return accepted, err
}
