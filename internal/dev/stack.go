// Package dev runs a small complete installation in one process, on loopback:
// the platform stand-in, a group of three stand-in databases and two proxy
// instances. It lets a new user try the proxy without any set-up, and contains
// a self test of that installation.
package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

// Names and credentials of the installation.
const (
	GroupName        = "orders"
	UserName         = "demo"
	Password         = "demo"
	planName         = "demo"
	firstDataCentre  = state.DataCentre("canterbury")
	secondDataCentre = state.DataCentre("otago")
	thirdDataCentre  = state.DataCentre("wellington")
	peerKey          = "a key for development only"
	firstEditID      = "development-1"
)

// Limits, delays and timeouts of the installation.
const (
	slots           = 3
	maxConnections  = 20
	openDelay       = 12 * time.Millisecond
	replicationLag  = 20 * time.Millisecond
	statementTime   = time.Millisecond
	queueTimeout    = 500 * time.Millisecond
	primaryWait     = 10 * time.Second
	drainTimeout    = 10 * time.Second
	readyTimeout    = 10 * time.Second
	readyInterval   = 20 * time.Millisecond
	startupTimeout  = 15 * time.Second
	headerTimeout   = 10 * time.Second
	demoConnections = 8
	demoStalenessMS = 5000
)

// Stack is the running installation.
type Stack struct {
	Platform    *platform.Server
	Group       *database.Group
	Instances   []*app.Instance
	platformURL string
	platformAPI *http.Server
	options     Options
}

// Options configure the installation.
type Options struct {
	// Log receives the log lines of the instances at LogLevel and above.
	Log      io.Writer
	LogLevel string
	// Configure, if not nil, modifies the settings of each instance before it
	// starts.
	Configure func(*app.Settings)
}

// Start starts the installation and waits until its instances are ready.
func Start(ctx context.Context, options Options) (*Stack, error) {
	stack := &Stack{Platform: platform.NewServer(), options: options}
	if err := stack.start(ctx); err != nil {
		stack.Close()
		return nil, err
	}
	return stack, nil
}

func (s *Stack) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startupTimeout)
	defer cancel()
	if err := s.startPlatform(); err != nil {
		return err
	}
	if err := s.startGroup(ctx); err != nil {
		return err
	}
	if err := s.putConfiguration(ctx); err != nil {
		return err
	}
	for number, dataCentre := range []state.DataCentre{firstDataCentre, secondDataCentre} {
		instance, err := s.startInstance(ctx, number+1, dataCentre)
		if err != nil {
			return err
		}
		s.Instances = append(s.Instances, instance)
	}
	return s.awaitReady(ctx)
}

func (s *Stack) startPlatform() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen for the platform stand-in")
	}
	s.platformURL = "http://" + listener.Addr().String()
	s.platformAPI = &http.Server{Handler: s.Platform.Handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.platformAPI.Serve(listener) }()
	return nil
}

func (s *Stack) startGroup(ctx context.Context) error {
	var options []database.Options
	for _, dataCentre := range []state.DataCentre{firstDataCentre, secondDataCentre, thirdDataCentre} {
		options = append(options, database.Options{
			DataCentre: dataCentre, Slots: slots, MaxConnections: maxConnections,
			OpenDelay: openDelay, ReplicationLag: replicationLag, StatementTime: statementTime,
		})
	}
	// The databases run until Close, so the end of the start-up context must not
	// stop them.
	group, err := database.StartGroup(context.WithoutCancel(ctx), database.GroupOptions{ID: GroupName, Databases: options})
	if err != nil {
		return eris.Wrap(err, "start database group")
	}
	s.Group = group
	record, err := json.Marshal(group.Describe())
	if err != nil {
		return eris.Wrap(err, "describe database group")
	}
	s.Platform.Put(configuration.GroupKey(GroupName), record)
	return s.createRequestTable(ctx, group)
}

// createRequestTable creates the table of request ids, which operators create
// once in a real group.
func (s *Stack) createRequestTable(ctx context.Context, group *database.Group) error {
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://operator@%s/%s", group.Servers()[0].Addr(), GroupName))
	if err != nil {
		return eris.Wrap(err, "connect to the primary")
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, execution.RequestTableDDL)
	return eris.Wrap(err, "create table of request ids")
}

// putConfiguration stores the first configuration, the demonstration plan and
// its limits, as an operator would.
func (s *Stack) putConfiguration(ctx context.Context) error {
	verifier, err := configuration.NewVerifier(Password, firstEditID, planName)
	if err != nil {
		return eris.Wrap(err, "make verifier")
	}
	client, err := platformclient.New(platformclient.Options{BaseURL: s.platformURL}, zerolog.Nop())
	if err != nil {
		return eris.Wrap(err, "reach the platform stand-in")
	}
	defer client.Close()
	change := configuration.Change{
		PutPlans: []state.Plan{{
			ID: planName, User: UserName, PasswordVerifier: verifier, Description: "demonstration",
		}},
		PutLimits: []state.Limit{{
			Plan: planName, MaxConnections: demoConnections, MaxStalenessMillis: demoStalenessMS,
			Databases: []state.GroupID{GroupName},
		}},
	}
	edit := configuration.Edit{ID: firstEditID, Change: change}
	_, err = configuration.NewStore(client).Edit(ctx, edit, nil, []state.GroupID{GroupName})
	return eris.Wrap(err, "make the first edit")
}

func (s *Stack) startInstance(ctx context.Context, number int, dataCentre state.DataCentre) (*app.Instance, error) {
	settings := app.Settings{
		InstanceID: state.InstanceID(fmt.Sprintf("dev-%d", number)), DataCentre: dataCentre,
		ClientListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AdminListen: "127.0.0.1:0",
		PlatformURL: s.platformURL, PeerKeys: []string{peerKey}, BackendUser: "cyclamenpin",
		MaxClients: 1000, QueueTimeout: queueTimeout, PrimaryWait: primaryWait,
		IdleInTransaction: time.Minute, DrainTimeout: drainTimeout, LogLevel: s.options.LogLevel,
	}
	if s.options.Configure != nil {
		s.options.Configure(&settings)
	}
	return app.Start(ctx, settings, app.NewLogger(settings, zerolog.SyncWriter(s.options.Log)))
}

// awaitReady waits until all instances are ready to serve clients.
func (s *Stack) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range s.Instances {
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

// URL returns the connection string of one instance for the demonstration
// plan.
func (s *Stack) URL(instance *app.Instance) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s", UserName, Password, instance.ClientAddr(), GroupName)
}

// Close stops the instances, the databases and the platform stand-in.
func (s *Stack) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for _, instance := range s.Instances {
		_ = instance.Stop(ctx)
	}
	if s.Group != nil {
		s.Group.Close()
	}
	if s.platformAPI != nil {
		_ = s.platformAPI.Close()
	}
}
