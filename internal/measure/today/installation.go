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
	password           = "measure"
	peerKey            = "a key for measuring only"
	editID             = "measure-1"
	queueTimeout       = 400 * time.Millisecond
	defaultPrimaryWait = 15 * time.Second // longer than a change of primary, so that writes succeed after it
	drainTimeout       = 2 * time.Second
	startTimeout       = 20 * time.Second
	readyInterval      = 20 * time.Millisecond
	headerTimeout      = 10 * time.Second
	maxClients         = 20000
	stalenessMillis    = 5000
)

// installationOptions configures a measured installation.
type installationOptions struct {
	deployment    Deployment
	plans         int
	statementTime time.Duration
	lag           time.Duration // of replication, in addition to the network's latency
	// primaryWait is how long writes wait for a primary; defaultPrimaryWait if
	// zero.
	primaryWait time.Duration
}

// installation is a running deployment, with stand-ins for network, platform
// and databases.
type installation struct {
	installationOptions
	network     *network.Network
	platform    *platform.Server
	platformAPI *http.Server
	groups      []*database.Group
	instances   []*app.Instance
	// sites holds the data centre of each instance, as an index in
	// Deployment.DataCentres.
	sites []int
}

// startInstallation starts platform, databases and instances, waits until all
// instances are ready, and creates the tables.
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

// startGroups starts the database groups. Their primaries are in different data
// centres.
func (in *installation) startGroups(ctx context.Context) error {
	for number := range groups {
		id := groupID(number)
		var options []database.Options
		for offset := range databases {
			site := (number + offset) % databases
			options = append(options, database.Options{
				Address: listenIP(site) + ":0", DataCentre: in.deployment.DataCentres[site], Slots: slots,
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
			return eris.Wrap(err, "encode description of database group")
		}
		in.platform.Put(configuration.GroupKey(id), record)
	}
	in.setReplicationLag(in.lag)
	return nil
}

// setReplicationLag sets the replication lag of all databases. It adds the
// network's latency from the group's first primary, because replication between
// the stand-ins has none.
func (in *installation) setReplicationLag(lag time.Duration) {
	for number, group := range in.groups {
		for offset, server := range group.Servers() {
			server.SetReplicationLag(lag + in.deployment.oneWayLatency(number, (number+offset)%databases))
		}
	}
}

func groupID(number int) state.GroupID {
	return state.GroupID(fmt.Sprintf("group%d", number+1))
}

func planID(number int) state.PlanID {
	return state.PlanID(fmt.Sprintf("plan%d", number+1))
}

// putConfiguration stores the plans and their limits. Each plan may use all
// groups, and as many connections as one backend server accepts.
func (in *installation) putConfiguration(ctx context.Context) error {
	client, err := platformclient.New(platformclient.Options{BaseURL: "http://" + in.platformAPI.Addr}, zerolog.Nop())
	if err != nil {
		return eris.Wrap(err, "create client of the platform stand-in")
	}
	defer client.Close()
	var groupIDs []state.GroupID
	for number := range in.groups {
		groupIDs = append(groupIDs, groupID(number))
	}
	var change configuration.Change
	for number := range in.plans {
		id := planID(number)
		verifier, err := configuration.NewVerifier(password, editID, id)
		if err != nil {
			return eris.Wrap(err, "create password verifier")
		}
		change.PutPlans = append(change.PutPlans, state.Plan{ID: id, User: string(id), PasswordVerifier: verifier, Description: "measured"})
		change.PutLimits = append(change.PutLimits, state.Limit{
			Plan: id, MaxConnections: in.deployment.MaxConnections, MaxStalenessMillis: stalenessMillis, Databases: groupIDs,
		})
	}
	_, err = configuration.NewStore(client).Edit(ctx, configuration.Edit{ID: editID, Change: change}, nil, groupIDs)
	return eris.Wrap(err, "store plans and limits")
}

func (in *installation) startInstances(ctx context.Context) error {
	for number := range instances {
		site := number % len(in.deployment.DataCentres)
		dataCentre := in.deployment.DataCentres[site]
		listen := listenIP(site) + ":0"
		settings := app.Settings{
			InstanceID: state.InstanceID(fmt.Sprintf("entry%d", number+1)), DataCentre: dataCentre,
			ClientListen: listen, PeerListen: listen, AdminListen: listen,
			PlatformURL: "http://" + in.platformAPI.Addr, PeerKeys: []string{peerKey}, BackendUser: "cyclamenpin",
			MaxClients: maxClients, QueueTimeout: queueTimeout, PrimaryWait: cmp.Or(in.primaryWait, defaultPrimaryWait),
			IdleInTransaction: time.Minute, DrainTimeout: drainTimeout, LogLevel: "error",
		}
		instance, err := app.StartWithNetwork(ctx, settings, in.instanceNetwork(dataCentre), zerolog.Nop())
		if err != nil {
			return err
		}
		in.instances = append(in.instances, instance)
		in.sites = append(in.sites, site)
	}
	return in.awaitReady(ctx)
}

// instanceNetwork returns the network for an instance in a data centre, or nil
// for the operating system's.
func (in *installation) instanceNetwork(dataCentre state.DataCentre) app.Network {
	if in.deployment.hasNoLatency() {
		return nil
	}
	return in.network.From(network.Place(dataCentre))
}

// awaitReady waits until all instances are ready to serve clients.
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

// createTables creates the tables of the workloads through the proxy.
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

// connect opens a client session of a plan on an instance. The client is placed
// near the instance's data centre.
func (in *installation) connect(ctx context.Context, instance, plan, group int) (*pgx.Conn, error) {
	id := planID(plan)
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", id, password, in.instances[instance].ClientAddr(), groupID(group))
	return in.dial(ctx, in.sites[instance], url)
}

// connectDirect opens a connection to a database without the proxy. The client
// is placed near the given data centre.
func (in *installation) connectDirect(ctx context.Context, site int, server *database.Server) (*pgx.Conn, error) {
	return in.dial(ctx, site, fmt.Sprintf("postgres://operator@%s/straight?sslmode=disable", server.Addr()))
}

func (in *installation) dial(ctx context.Context, site int, url string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, eris.Wrap(err, "parse connection string")
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	if !in.deployment.hasNoLatency() {
		config.DialFunc = in.network.From(clientPlace(in.deployment.DataCentres[site])).DialContext
	}
	conn, err := pgx.ConnectConfig(ctx, config)
	return conn, eris.Wrap(err, "open PostgreSQL connection")
}

// primary returns the group's database that is the primary of the highest term.
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
