package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/freshness"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/health"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/levels"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ratelimit"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/relay"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/renewals"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/datagram"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/forward"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/linebackend"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/lineserver"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/tunnel"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

// The topics of datagrams between instances.
const (
	topicConfirmations datagram.Topic = 'v'
	topicPositions     datagram.Topic = 'p'
	topicRegistrations datagram.Topic = 'r'
	topicLimits        datagram.Topic = 'l'
	topicRenewals      datagram.Topic = 'c'
)

const (
	// reservedDescriptors is how many file descriptors are reserved for files
	// and for connections to the store and the databases.
	reservedDescriptors = 600
	// minMaxClients is the least limit of clients, even if the limit of
	// descriptors is very low.
	minMaxClients = 100
	// healthRetention is how long the health record of a database is kept
	// after the directory has removed the database.
	healthRetention = time.Minute
	// connectionName is the user name with which connections to databases are
	// made.
	connectionName = "cyclamenpin"
)

// modules returns the constructors of all components, by layer.
func modules() fx.Option {
	return fx.Options(
		fx.Module("state", fx.Provide(func() state.Clock { return state.BootClock{} })),
		fx.Module("platform", fx.Provide(
			func() platform.Codec { return platform.Codec{} },
			func(s platform.Settings, log zerolog.Logger) *rowstore.EraStore {
				return rowstore.NewEraStore(platform.NewStore(s.StoreAddress), log)
			},
			func(s platform.Settings) *platform.Promoter { return platform.NewPromoter(s.PromoteAddress) },
		)),
		fx.Module("coordination", fx.Provide(
			rowstore.NewAvailability, health.NewTracker, newFollowers, newExchange, newDirectory, newPools, newLeadership, newLimits, newEngine,
			newPlacement, newHolder, newLevels, newRenewals,
		)),
		fx.Module("transport", fx.Provide(newDialer, newTunnelServer, newServer, newForwardClient, newForwardServer)),
	)
}

func newDialer(instance *Instance, codec platform.Codec, log zerolog.Logger) *linebackend.Dialer {
	tunnelInstances := func(group state.GroupID) []string { return instance.leadership.PeersReachingPrimary(group) }
	return &linebackend.Dialer{Codec: codec, User: connectionName, TunnelInstances: tunnelInstances, Log: log}
}

func newTunnelServer(dir *directory.Directory, forwarded *forward.Server, log zerolog.Logger) *tunnel.Server {
	server := tunnel.NewServer(dir.AddressOf, log)
	server.Others = forwarded.Serve
	return server
}

func newDirectory(instance *Instance, codec platform.Codec, clock state.Clock, tracker *health.Tracker, log zerolog.Logger) *directory.Directory {
	return directory.New(codec, rowstore.Row{Table: platform.ConfigurationTable, Key: platform.ConfigurationRow}, clock, log, func(id state.DatabaseID) {
		instance.pools.Remove(id)
		// A primary whose registration is gone must still count as suspected,
		// so its health record is kept for a while.
		time.AfterFunc(healthRetention, func() { tracker.Remove(id) })
	})
}

func newPools(instance *Instance, settings platform.Settings, dialer *linebackend.Dialer, tracker *health.Tracker, dir *directory.Directory,
	table *placement.Table, links *forward.Client, log zerolog.Logger,
) *pooling.Manager {
	divisionOf := func(group state.GroupID) pooling.Division {
		instances, own, all := instance.leadership.DemandOf(group)
		return pooling.Division{Instances: instances, OwnDemand: own, TotalDemand: all}
	}
	pools := pooling.NewManager(dialer, tracker, maxConnections(dir), divisionOf, log)
	sender := forwarding.NewSender(forwarding.SenderConfig{
		Self: settings.Instance, Placement: table, Links: links, Local: func() *forwarding.Holder { return instance.holder }, Log: log,
	})
	sender.Place(pools)
	return pools
}

// maxConnections returns a function that looks up how many connections each database
// of a group accepts.
func maxConnections(dir *directory.Directory) func(state.GroupID) int {
	return func(group state.GroupID) int {
		routes := dir.Routes()
		if routes == nil {
			return 1
		}
		return routes.Groups[group].MaxConnections
	}
}

func newLeadership(instance *Instance, settings platform.Settings, store *rowstore.EraStore, promoter *platform.Promoter, dir *directory.Directory,
	pools *pooling.Manager, tracker *health.Tracker, availability *rowstore.Availability, collector *renewals.Collector, clock state.Clock, log zerolog.Logger,
) *leadership.Manager {
	options := leadership.DefaultOptions()
	options.DutyReleaseDelay = settings.DutyReleaseDelay
	manager := leadership.New(leadership.Config{
		Self: settings.Instance, Run: instance.run, Options: options, Store: store, Level: levels.Newest, Renewals: collector, Availability: availability, Directory: dir, Databases: pools,
		OnPrimaryPosition: func(group state.GroupID, requestedAt state.Instant, position state.Position) {
			instance.positions.Observe(group, requestedAt, position)
		},
		PositionAfter: func(group state.GroupID, since state.Instant) (state.Position, bool) {
			return instance.positions.MinPosition(group, since)
		},
		Acknowledged: func(group state.GroupID) state.Position { return instance.positions.Acknowledged(group) },
		MarksInUse:   func() bool { return instance.levels.Uses(levels.ReplicaSets) },
		WatchedRows:  instance.watchedRows, OnWatchedRowChange: func() { instance.followers.configuration.Refresh() },
		OnWatchedRowsCurrent: dir.ConfirmConfiguration, ConfigurationInForce: dir.KeysVersion,
		Promoter: promoter, Health: tracker, Demand: pools.Demand, Messenger: instance.peers.Sender(topicConfirmations), Address: peerAddress(settings),
		DataCentre: settings.DataCentre, Clock: clock, Log: log,
	})
	store.OnNewEra(manager.BeginEra)
	store.OnNewEra(dir.BeginEra)
	return manager
}

func newLevels(leaders *leadership.Manager, clock state.Clock, log zerolog.Logger) *levels.Gate {
	return levels.NewGate(leaders, leadership.DefaultOptions().MaxLease, clock, log)
}

func newRenewals(instance *Instance, settings platform.Settings, store *rowstore.EraStore, clock state.Clock, log zerolog.Logger) *renewals.Collector {
	return renewals.New(renewals.Config{
		Self: settings.Instance, Store: store, Participant: func() renewals.Participant { return instance.leadership },
		Membership: func() renewals.Membership { return instance.leadership },
		InUse:      func() bool { return instance.levels.Uses(levels.CollectedRenewals) },
		Messenger:  instance.peers.Sender(topicRenewals), Clock: clock, Log: log,
	})
}

func newExchange(instance *Instance, leaders *leadership.Manager, clock state.Clock, log zerolog.Logger) *freshness.Exchange {
	return freshness.NewExchange(freshness.NewTracker(), leaders, clock, leaders, instance.peers.Sender(topicPositions), log)
}

func newLimits(instance *Instance, settings platform.Settings, dir *directory.Directory, leaders *leadership.Manager, clock state.Clock, log zerolog.Logger, requests requestLog) *ratelimit.Limiter {
	tolerance := settings.LimitTolerance
	return ratelimit.New(ratelimit.Config{
		Self: settings.Instance, Run: instance.run, Tolerance: ratelimit.Tolerance{Window: tolerance.Window, Excess: tolerance.Excess, Slack: tolerance.Slack},
		Membership: leaders, Routes: dir.Routes, Messenger: instance.peers.Sender(topicLimits), Clock: clock, Log: log, RequestLog: requests.Logger,
	})
}

func newEngine(ctx context.Context, settings platform.Settings, codec platform.Codec, dir *directory.Directory, leaders *leadership.Manager, exchange *freshness.Exchange,
	pools *pooling.Manager, limits *ratelimit.Limiter, tracker *health.Tracker, clock state.Clock, log requestLog,
) *relay.Engine {
	return relay.New(ctx, relay.Config{
		Limits:    limits,
		Directory: dir, Leadership: leaders, Freshness: exchange, Pools: pools, Health: tracker, Statements: codec,
		Identity: identity.Policy(settings.Revocation),
		Region:   func(dc state.DataCentre) string { return settings.Regions[dc] }, OwnRegion: settings.Region, Clock: clock, Log: log.Logger,
	})
}

func newServer(settings platform.Settings, codec platform.Codec, engine *relay.Engine, clock state.Clock, log requestLog) *lineserver.Server {
	options := lineserver.Options{
		MaxClients:      max(minMaxClients, settings.MaxDescriptors-reservedDescriptors),
		MaxMessageError: platform.ErrMessageTooBig,
	}
	return lineserver.New(codec, engine, clock, options, log.Logger)
}
