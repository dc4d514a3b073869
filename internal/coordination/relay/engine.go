package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Directory provides the routing table and the registered databases.
type Directory interface {
	Routes() *state.RoutingTable
	// ConfigurationAge returns how long ago the routing table was last known to be
	// the newest one.
	ConfigurationAge() time.Duration
	Servers(group state.GroupID) []directory.Entry
	Server(group state.GroupID, id state.DatabaseID) (directory.Entry, bool)
}

// Leadership grants access to primaries.
type Leadership interface {
	Acquire(group state.GroupID) (*leadership.Grant, error)
	Changed() <-chan struct{}
	Primary(group state.GroupID) (state.DatabaseID, bool)
	// DoubtPrimary reports that a primary refused to run a statement as one.
	DoubtPrimary(group state.GroupID, database state.DatabaseID)
	TermStart(group state.GroupID) state.Position
	// PeersReachingPrimary returns other instances that can use the primary.
	PeersReachingPrimary(group state.GroupID) []string
	// Ready reports whether this instance has acquired its first lease and read
	// the rows of the other instances.
	Ready() bool
	// NewestConfiguration returns the newest version of the configuration that
	// another instance states. known is false while that can't be told yet.
	NewestConfiguration() (version uint64, known bool)
}

// Freshness tracks the log positions that cover acknowledged commits.
type Freshness interface {
	// NewestPosition returns the last known position of a group's primary. Acknowledge
	// records that a commit was acknowledged that was sent when that was before, with the
	// position in its reply.
	NewestPosition(group state.GroupID) state.Position
	Acknowledge(group state.GroupID, before, reply state.Position)
	Observe(group state.GroupID, requestedAt state.Instant, position state.Position)
	MinPosition(group state.GroupID, notBefore state.Instant) (state.Position, bool)
	// RequestPosition requests such a position from other instances without
	// waiting. MinPosition returns it some milliseconds later if one has it.
	RequestPosition(group state.GroupID, notBefore state.Instant)
	// AwaitPosition requests such a position from instances nearby and waits
	// briefly for it.
	AwaitPosition(ctx context.Context, group state.GroupID, notBefore state.Instant)
}

// Pools provides the connection pool of each database.
type Pools interface {
	Pool(server state.Server) *pooling.Pool
}

// Health reports the health of databases.
type Health interface {
	Suspected(id state.DatabaseID) bool
	Degraded(id state.DatabaseID) bool
}

// Statements changes the name in the text of EXECUTE statements.
type Statements interface {
	ExecuteText(text, name string) string
}

// Config holds the dependencies of an engine.
type Config struct {
	Directory  Directory
	Leadership Leadership
	Freshness  Freshness
	Pools      Pools
	Health     Health
	Identity   Identity
	Statements Statements
	// Limits may be nil: no workspace has a limit then.
	Limits Limits
	// Region returns the region of a data centre. OwnRegion is the region of
	// this instance.
	Region    func(state.DataCentre) string
	OwnRegion string
	Clock     state.Clock
	Log       zerolog.Logger
}

// Engine serves all client sessions of an instance.
type Engine struct {
	Config
	ctx        context.Context
	sessions   atomic.Uint64
	wasReady   atomic.Bool
	behind     behind
	workspaces workspaceMetrics
	replicas   replicaPositions
}

// New returns an engine that stops waiting for primaries, connections and its
// configuration when ctx ends.
func New(ctx context.Context, config Config) *Engine {
	return &Engine{Config: config, ctx: ctx, replicas: newReplicaPositions(), workspaces: newWorkspaceMetrics()}
}

const (
	// queueShare is the part of a route's latency objective that a statement
	// may wait for a connection or a primary. The rest is left for a new
	// attempt through another instance.
	queueShare = 0.5
	// defaultTimeout is the statement timeout of a route that sets none.
	defaultTimeout = 5 * time.Second
	// defaultObjective is the latency objective of a route that sets none.
	defaultObjective = time.Second
	// startWait is how long a client may wait for an instance that has just
	// started. While the store is available, startup takes a few store calls
	// of milliseconds each.
	startWait         = 300 * time.Millisecond
	startPollInterval = 10 * time.Millisecond
	// cleanupTimeout is the timeout of the proxy's own statements: those that
	// set session values, and rollbacks.
	cleanupTimeout = time.Second
	// stalenessMargin is subtracted from a route's staleness bound to allow
	// for errors of clock readings.
	stalenessMargin = 50 * time.Millisecond
	// leavingPrimaryUse is how long a leaving primary is still used while its
	// successor is chosen. A leaving database stays up for at least seven
	// seconds.
	leavingPrimaryUse = 5500 * time.Millisecond
)

func (e *Engine) inOtherRegion(dataCentre state.DataCentre) bool {
	return e.Region != nil && e.Region(dataCentre) != e.OwnRegion
}

// preparedStatement is the text of a prepared statement.
type preparedStatement struct {
	text   string
	writes bool
}
