package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/app"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Names of the database group and its user, and the user's password.
const (
	groupName = "orders"
	userName  = "measurement"
	password  = "measurement"
)

// startTimeout limits the start of the installation, and its stop.
const startTimeout = 15 * time.Second

// node is an instance and the traffic of the connections that it opened.
type node struct {
	*app.Instance
	traffic *traffic
}

// installation is a platform stand-in, a group of three databases in one data
// centre, an instance that owns them and, optionally, an entry instance in
// another data centre that owns no database.
type installation struct {
	platform *platformService
	group    *database.Group
	owner    node
	entry    node
}

func startInstallation(ctx context.Context, withEntry bool) (*installation, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	i := &installation{}
	err := i.start(ctx, withEntry)
	if err != nil {
		i.close()
		return nil, err
	}
	return i, nil
}

func (i *installation) start(ctx context.Context, withEntry bool) error {
	var err error
	if i.platform, err = startPlatform(); err != nil {
		return err
	}
	if i.group, err = startGroup(ctx, groupName); err != nil {
		return err
	}
	if err := i.provision(ctx); err != nil {
		return err
	}
	if i.owner, err = i.startNode(ctx, "owner", dataCentre(0)); err != nil {
		return err
	}
	if !withEntry {
		return nil
	}
	if err := i.awaitOwnerListed(ctx); err != nil {
		return err
	}
	i.entry, err = i.startNode(ctx, "entry", dataCentre(1))
	return err
}

// provision stores the group record, the plan and its limit on the platform, and
// creates the request table and the table that statements write to.
func (i *installation) provision(ctx context.Context) error {
	record, err := json.Marshal(i.group.Describe())
	if err != nil {
		return eris.Wrap(err, "encode group record")
	}
	i.platform.server.Put(configuration.GroupKey(groupName), record)
	verifier, err := configuration.NewVerifier(password, "measurement-1", userName)
	if err != nil {
		return err
	}
	change := configuration.Change{
		PutPlans: []state.Plan{{ID: userName, User: userName, PasswordVerifier: verifier}},
		PutLimits: []state.Limit{{
			Plan: userName, MaxConnections: standinConnections, Databases: []state.GroupID{groupName},
		}},
	}
	edit := configuration.Edit{ID: "measurement-1", Change: change}
	if _, err := configuration.NewStore(i.platform.client).Edit(ctx, edit, nil, []state.GroupID{groupName}); err != nil {
		return err
	}
	direct, err := i.connectDirectly(ctx)
	if err != nil {
		return err
	}
	defer func() { _ = direct.Close(ctx) }()
	for _, sql := range []string{execution.RequestTableDDL, "CREATE TABLE written (id bigint, note text)"} {
		if _, err := direct.Exec(ctx, sql).ReadAll(); err != nil {
			return eris.Wrap(err, "create table")
		}
	}
	return nil
}

func (i *installation) startNode(ctx context.Context, id state.InstanceID, centre state.DataCentre) (node, error) {
	const timeout = 10 * time.Second
	settings := app.Settings{
		InstanceID: id, DataCentre: centre,
		ClientListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		PlatformURL: i.platform.url, PeerKeys: []string{"a key for measurements only"}, BackendUser: "cyclamenpin",
		MaxClients: unlimited, QueueTimeout: timeout, PrimaryWait: timeout,
		IdleInTransaction: time.Minute, DrainTimeout: timeout, LogLevel: "error",
	}
	started := node{traffic: newTraffic()}
	var err error
	started.Instance, err = app.StartWithNetwork(ctx, settings, started.traffic, app.NewLogger(settings, io.Discard))
	if err != nil {
		return node{}, err
	}
	for !started.Ready() {
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return started, eris.Wrapf(err, "wait until instance %s is ready", id)
		}
	}
	return started, nil
}

// awaitOwnerListed waits until the platform lists the owner. An entry instance
// that started earlier would find no other instance and consider itself the
// owner.
func (i *installation) awaitOwnerListed(ctx context.Context) error {
	for {
		listed, err := i.platform.client.Instances(ctx)
		if err != nil || len(listed) > 0 {
			return err
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return eris.Wrap(err, "wait until the platform lists the owner")
		}
	}
}

// connect opens a client session at an instance.
func (i *installation) connect(ctx context.Context, to node) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s", userName, password, to.ClientAddr(), groupName))
}

// connectDirectly opens a connection to the primary that bypasses the instances.
func (i *installation) connectDirectly(ctx context.Context) (*pgconn.PgConn, error) {
	return pgconn.Connect(ctx, fmt.Sprintf("postgres://operator@%s/%s", i.group.Servers()[0].Addr(), groupName))
}

// databaseAddresses returns the addresses that the databases listen on.
func (i *installation) databaseAddresses() []string {
	var addresses []string
	for _, server := range i.group.Servers() {
		addresses = append(addresses, server.Addr())
	}
	return addresses
}

func (i *installation) close() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for _, node := range []node{i.entry, i.owner} {
		if node.Instance != nil {
			_ = node.Stop(ctx)
		}
	}
	if i.group != nil {
		i.group.Close()
	}
	if i.platform != nil {
		i.platform.close()
	}
}
