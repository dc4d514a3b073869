package app

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/admission"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/membership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ownership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/routing"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/backend"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/peerlink"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/pgserver"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

// stateModule provides the instance's description and the plan limits in force.
func stateModule() fx.Option {
	return fx.Module("state", fx.Provide(newSelf, newLimitsInForce))
}

// newSelf returns the description of this run of the instance. Its incarnation
// is the start time, so that a later run has a higher one. If the clock was set
// back since an earlier run, it is one above the incarnation that the platform
// lists.
func newSelf(settings Settings, client *platformclient.Client) state.Instance {
	advertised := settings.PeerAdvertise
	if advertised == "" {
		advertised = settings.PeerListen
	}
	return state.Instance{
		ID: settings.InstanceID, Incarnation: newIncarnation(settings.InstanceID, client),
		DataCentre: settings.DataCentre, PeerAddress: advertised,
	}
}

// incarnationTimeout is the maximum time for reading the platform's instance
// list at startup.
const incarnationTimeout = time.Second

func newIncarnation(id state.InstanceID, client *platformclient.Client) state.Incarnation {
	ctx, cancel := context.WithTimeout(context.Background(), incarnationTimeout)
	defer cancel()
	incarnation := state.Incarnation(time.Now().UnixNano())
	instances, err := client.Instances(ctx)
	if err != nil {
		return incarnation
	}
	for _, instance := range instances {
		if instance.ID == id {
			incarnation = max(incarnation, instance.Incarnation+1)
		}
	}
	return incarnation
}

// protocolModule provides the keys for the peer link's handshake.
func protocolModule() fx.Option {
	return fx.Module("protocol", fx.Provide(newKeyRing))
}

func newKeyRing(settings Settings) (*peerproto.KeyRing, error) {
	keys := make([][]byte, len(settings.PeerKeys))
	for i, key := range settings.PeerKeys {
		keys[i] = []byte(key)
	}
	return peerproto.NewKeyRing(keys...)
}

// transportModule provides the clients and servers of the network.
func transportModule() fx.Option {
	return fx.Module("transport", fx.Provide(
		newPlatformClient, newBackendDialer, newLinkEncryption, newPeerClient, newPeerCaller, newPeerServer, newClientServer,
	))
}

// operatorStore is the configuration store for operators' requests. It has a
// separate budget of platform calls, so that operators' requests do not delay
// this instance's polls.
type operatorStore struct {
	*configuration.Store
	client *platformclient.Client
}

func newOperatorStore(settings Settings, network Network, log zerolog.Logger) (operatorStore, error) {
	client, err := newPlatformClient(settings, network, log)
	if err != nil {
		return operatorStore{}, err
	}
	return operatorStore{Store: configuration.NewStore(client), client: client}, nil
}

func newPlatformClient(settings Settings, network Network, log zerolog.Logger) (*platformclient.Client, error) {
	options := platformclient.Options{BaseURL: settings.PlatformURL}
	if network != nil {
		options.Transport = &http.Transport{DialContext: network.DialContext}
	}
	return platformclient.New(options, log)
}

func newBackendDialer(settings Settings, network Network) *backend.Dialer {
	dialer := &backend.Dialer{User: settings.BackendUser, Password: settings.BackendPassword}
	if network != nil {
		dialer.DialFunc = network.DialContext
	}
	return dialer
}

func newPeerClient(self state.Instance, keys *peerproto.KeyRing, members *membership.Membership, network Network, encryption linkEncryption, log zerolog.Logger) *peerlink.Client {
	config := peerlink.Config{Self: self, Keys: keys, Evidence: members, ClientTLS: encryption.config, Logger: log}
	if network != nil {
		config.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return network.DialContext(ctx, "tcp", address)
		}
	}
	return peerlink.NewClient(config)
}

// linkEncryption is the TLS configuration of links between instances.
type linkEncryption struct {
	config *tls.Config // nil if the links are not encrypted
}

func newLinkEncryption(settings Settings) (linkEncryption, error) {
	config, err := peerTLS(settings)
	return linkEncryption{config: config}, err
}

func newPeerCaller(client *peerlink.Client, members *membership.Membership) peerCaller {
	return peerCaller{client: client, membership: members}
}

func newPeerServer(self state.Instance, keys *peerproto.KeyRing, handler *peerHandler, encryption linkEncryption, log zerolog.Logger) *peerlink.Server {
	return peerlink.NewServer(peerlink.Config{Self: self, Keys: keys, ServerTLS: encryption.config, Logger: log}, handler)
}

func newClientServer(settings Settings, follower *configuration.Follower, sessions *sessionFactory, caller peerCaller, log zerolog.Logger) (*pgserver.Server, error) {
	encryption, err := clientTLS(settings)
	if err != nil {
		return nil, err
	}
	options := pgserver.DefaultOptions()
	options.TLS = encryption
	options.Instance = settings.InstanceID
	options.MaxClients = settings.MaxClients
	options.QueueTimeout = settings.QueueTimeout
	options.IdleInTransaction = settings.IdleInTransaction
	return pgserver.New(options, follower, sessions, caller, log), nil
}

// coordinationModule provides the coordination components, such as membership,
// configuration, ownership and routing.
func coordinationModule() fx.Option {
	return fx.Module("coordination", fx.Provide(
		newMembership, newGroups, newStore, newOperatorStore, newFollower, newOwner, newRunnerFactory, newOwnership, newRouter,
		newRetryBudget, newSessionFactory, newPeerHandler,
	))
}

func newMembership(settings Settings, self state.Instance, client *platformclient.Client, log zerolog.Logger) (*membership.Membership, error) {
	seeds, err := settings.SeedInstances()
	if err != nil {
		return nil, err
	}
	return membership.New(membership.Config{Self: self, Seeds: seeds, Lister: platformLister{client: client}, Logger: log}), nil
}

// platformLister reads the platform's instance list.
type platformLister struct {
	client *platformclient.Client
}

// List implements membership.Lister.
func (l platformLister) List(ctx context.Context) ([]state.Instance, error) {
	return l.client.Instances(ctx)
}

func newFollowerOptions(members *membership.Membership) configuration.FollowerOptions {
	return configuration.FollowerOptions{Instances: func() int { return len(members.Peers()) + 1 }}
}

func newGroups(client *platformclient.Client, members *membership.Membership, log zerolog.Logger) *configuration.Groups {
	return configuration.NewGroups(client, newFollowerOptions(members), log)
}

func newStore(client *platformclient.Client) *configuration.Store {
	return configuration.NewStore(client)
}

func newFollower(store *configuration.Store, caller peerCaller, groups *configuration.Groups, members *membership.Membership, log zerolog.Logger) *configuration.Follower {
	return configuration.NewFollower(store, caller, groups, newFollowerOptions(members), log)
}

func newOwner(dialer *backend.Dialer) *execution.Owner {
	return execution.NewOwner(backendDialer{dialer: dialer}, execution.DefaultOptions())
}

func newRunnerFactory(self state.Instance, dialer *backend.Dialer, groups *configuration.Groups, caller peerCaller,
	members *membership.Membership, limits *limitsInForce, log zerolog.Logger,
) *runnerFactory {
	return &runnerFactory{
		self: self, dialer: dialer, claims: platformClaims{groups: groups},
		observers:  failover.Observers(groupObservers{caller: caller, groups: groups}),
		membership: members, limits: limits, log: log,
	}
}

func newOwnership(groups *configuration.Groups, members *membership.Membership, factory *runnerFactory, owner *execution.Owner, log zerolog.Logger) *ownership.Manager {
	return ownership.NewManager(groups, members, factory, owner, ownership.DefaultOptions(), log)
}

func newRouter(settings Settings, groups *configuration.Groups, members *membership.Membership, caller peerCaller, manager *ownership.Manager) *routing.Router {
	options := routing.DefaultOptions()
	options.PrimaryWait = settings.PrimaryWait
	return routing.New(groups, members, caller, manager, options)
}

// Retry budget of an instance: a share of the successful requests, plus a fixed
// number per second.
const (
	retryRatio     = 0.1
	retryPerSecond = 10
	retryBurst     = 100
)

func newRetryBudget() *admission.RetryBudget {
	return admission.NewRetryBudget(retryRatio, retryPerSecond, retryBurst)
}

func newPeerHandler(manager *ownership.Manager, follower *configuration.Follower, clients *pgserver.Server) *peerHandler {
	return &peerHandler{ownership: manager, follower: follower, clients: clients}
}
