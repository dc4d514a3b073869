package today

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/app"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/network"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

// Settings of a measured installation.
const (
	password        = "measure"
	peerKey         = "a key for measuring only"
	editID          = "measure-1"
	queueTimeout    = 400 * time.Millisecond
	longPrimaryWait = 15 * time.Second // so that writes outlast a change of primary
	drainTimeout    = 2 * time.Second
	startTimeout    = 20 * time.Second
	readyInterval   = 20 * time.Millisecond
	headerTimeout   = 10 * time.Second
	maxClients      = 20000
	stalenessMillis = 5000
)

// installationOptions say what to start.
type installationOptions struct {
	deployment    Deployment
	plans         int
	statementTime time.Duration
	lag           time.Duration // of replication, beside the network's latency
	// primaryWait is how long writes wait for a primary; longPrimaryWait if zero.
	primaryWait time.Duration
}

// installation is a running deployment.
type installation struct {
	installationOptions
	network     *network.Network
	platform    *platform.Server
	platformAPI *http.Server
	groups      []*database.Group
	instances   []*app.Instance
	// sites are the data centres of the instances, as indices.
	sites []int
}

// startInstallation starts databases, platform and instances, and waits until
// all instances serve.
func startInstallation(ctx context.Context, options installationOptions) (*installation, error) {
	in := &installation{
		installationOptions: options, network: options.deployment.newNetwork(), platform: platform.NewServer(),
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{
		in.startPlatform, in.startGroups, in.putConfiguration, in.startInstances, in.createTables,
	} {
		if err := step(ctx); err != nil {
			in.close()
			return nil, err
		}
	}
	return in, nil
}

func (in *installation) startPlatform(context.Context) error {
	listener, err := net.Listen("tcp", platformIP+":0")
	if err != nil {
		return eris.Wrap(err, "listen for the platform stand-in")
	}
	in.platformAPI = &http.Server{
		Addr: listener.Addr().String(), Handler: in.platform.Handler(), ReadHeaderTimeout: headerTimeout,
	}
	go func() { _ = in.platformAPI.Serve(listener) }()
	return nil
}

// startGroups starts the groups. The primary of each is in another data
// centre.
func (in *installation) startGroups(ctx context.Context) error {
	for number := range groups {
		id := groupID(number)
		var options []database.Options
		for offset := range databases {
			site := (number + offset) % databases
			options = append(options, database.Options{
				Address: ip(site) + ":0", DataCentre: in.deployment.DataCentres[site], Slots: slots,
				MaxConnections: in.deployment.MaxConnections, OpenDelay: openDelay, StatementTime: in.statementTime,
			})
		}
		group, err := database.StartGroup(context.WithoutCancel(ctx), database.GroupOptions{ID: id, Databases: options})
		if err != nil {
			return eris.Wrap(err, "start database group")
		}
		in.groups = append(in.groups, group)
		record, err := json.Marshal(group.Describe())
		if err != nil {
			return eris.Wrap(err, "describe database group")
		}
		in.platform.Put(configuration.GroupKey(id), record)
	}
	in.setLag(in.lag)
	return nil
}

// setLag sets the replication lag of all databases. The network's latency
// from the first primary is added, because the stand-ins replicate without it.
func (in *installation) setLag(lag time.Duration) {
	for number, group := range in.groups {
		for offset, server := range group.Servers() {
			server.SetReplicationLag(lag + in.deployment.distance(number, (number+offset)%databases))
		}
	}
}

func groupID(number int) state.GroupID {
	return state.GroupID(fmt.Sprintf("group%d", number+1))
}

func planID(number int) state.PlanID {
	return state.PlanID(fmt.Sprintf("plan%d", number+1))
}

// putConfiguration makes the plans. Each may use all groups, and as many
// connections as one backend server accepts.
func (in *installation) putConfiguration(ctx context.Context) error {
	client, err := platformclient.New(platformclient.Options{BaseURL: "http://" + in.platformAPI.Addr}, zerolog.Nop())
	if err != nil {
		return eris.Wrap(err, "reach the platform stand-in")
	}
	defer client.Close()
	var all []state.GroupID
	for number := range in.groups {
		all = append(all, groupID(number))
	}
	var change configuration.Change
	for number := range in.plans {
		id := planID(number)
		verifier, err := configuration.NewVerifier(password, editID, id)
		if err != nil {
			return eris.Wrap(err, "make verifier")
		}
		change.PutPlans = append(change.PutPlans, state.Plan{ID: id, User: string(id), PasswordVerifier: verifier, Description: "measured"})
		change.PutLimits = append(change.PutLimits, state.Limit{
			Plan: id, MaxConnections: in.deployment.MaxConnections, MaxStalenessMillis: stalenessMillis, Databases: all,
		})
	}
	_, err = configuration.NewStore(client).Edit(ctx, configuration.Edit{ID: editID, Change: change}, nil, all)
	return eris.Wrap(err, "make the first edit")
}

func (in *installation) startInstances(ctx context.Context) error {
	for number := range instances {
		site := number % len(in.deployment.DataCentres)
		dataCentre := in.deployment.DataCentres[site]
		listen := ip(site) + ":0"
		settings := app.Settings{
			InstanceID: state.InstanceID(fmt.Sprintf("entry%d", number+1)), DataCentre: dataCentre,
			ClientListen: listen, PeerListen: listen, AdminListen: listen,
			PlatformURL: "http://" + in.platformAPI.Addr, PeerKeys: []string{peerKey}, BackendUser: "cyclamenpin",
			MaxClients: maxClients, QueueTimeout: queueTimeout, PrimaryWait: cmp.Or(in.primaryWait, longPrimaryWait),
			IdleInTransaction: time.Minute, DrainTimeout: drainTimeout, LogLevel: "error",
		}
		instance, err := app.StartWithNetwork(ctx, settings, in.networkOf(dataCentre), zerolog.Nop())
		if err != nil {
			return err
		}
		in.instances = append(in.instances, instance)
		in.sites = append(in.sites, site)
	}
	return in.awaitReady(ctx)
}

// networkOf returns the network of an instance, nil for the operating system's.
func (in *installation) networkOf(dataCentre state.DataCentre) app.Network {
	if in.deployment.bare() {
		return nil
	}
	return in.network.From(network.Place(dataCentre))
}

// awaitReady waits until all instances serve and know each other.
func (in *installation) awaitReady(ctx context.Context) error {
	for _, instance := range in.instances {
		for !instance.Ready() {
			select {
			case <-time.After(readyInterval):
			case <-ctx.Done():
				return eris.Wrapf(ctx.Err(), "wait for instance %s", instance.Self().ID)
			}
		}
	}
	return nil
}

// createTables makes the tables that the workloads use, through the proxy.
func (in *installation) createTables(ctx context.Context) error {
	for number := range in.groups {
		conn, err := in.connect(ctx, 0, 0, number)
		if err != nil {
			return err
		}
		for _, statement := range []string{
			execution.RequestTableDDL,
			"CREATE TABLE notes (id bigint PRIMARY KEY, version bigint)",
		} {
			if _, err := conn.Exec(ctx, statement, pgx.QueryExecModeSimpleProtocol); err != nil {
				return eris.Wrap(err, "create table")
			}
		}
		_ = conn.Close(ctx)
	}
	return nil
}

// connect opens a client session of a plan on an instance, from the clients
// near it.
func (in *installation) connect(ctx context.Context, instance, plan, group int) (*pgx.Conn, error) {
	id := planID(plan)
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", id, password, in.instances[instance].ClientAddr(), groupID(group))
	return in.dial(ctx, in.sites[instance], url)
}

// connectStraight opens a connection to a database from the clients near a
// data centre, without the proxy.
func (in *installation) connectStraight(ctx context.Context, site int, server *database.Server) (*pgx.Conn, error) {
	return in.dial(ctx, site, fmt.Sprintf("postgres://operator@%s/straight?sslmode=disable", server.Addr()))
}

func (in *installation) dial(ctx context.Context, site int, url string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, eris.Wrap(err, "read connection string")
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	if !in.deployment.bare() {
		config.DialFunc = in.network.From(clientsOf(in.deployment.DataCentres[site])).DialContext
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	return conn, eris.Wrap(err, "connect")
}

// primary returns the database that is the primary of the highest term.
func (in *installation) primary(group int) *database.Server {
	return in.groups[group].Server(in.groups[group].Describe().Primary)
}

func (in *installation) close() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for _, instance := range in.instances {
		_ = instance.Stop(ctx)
	}
	for _, group := range in.groups {
		group.Close()
	}
	if in.platformAPI != nil {
		_ = in.platformAPI.Close()
	}
}
