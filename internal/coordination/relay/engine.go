package relay

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Directory is what is registered and configured.
type Directory interface {
	Routes() *state.RoutingTable
	Servers(group state.GroupID) []directory.Entry
	Server(group state.GroupID, id state.DatabaseID) (directory.Entry, bool)
}

// Leadership grants the use of primaries.
type Leadership interface {
	Acquire(group state.GroupID) (*leadership.Grant, error)
	Changed() <-chan struct{}
	Primary(group state.GroupID) (state.DatabaseID, bool)
	Start(group state.GroupID) state.Position
	// Reaching returns other instances that can use the primary.
	Reaching(group state.GroupID) []string
	// Ready reports whether primaries may be used, or might have been since
	// the start.
	Ready() bool
}

// Freshness proves positions.
type Freshness interface {
	Observe(group state.GroupID, asked state.Instant, position state.Position)
	MinPosition(group state.GroupID, notBefore state.Instant) (state.Position, bool)
	// RequestPosition lets other instances tell what they have proven; MinPosition knows it
	// within milliseconds, if at all.
	RequestPosition(group state.GroupID, notBefore state.Instant)
}

// Pools hold the connections to databases.
type Pools interface {
	Pool(server state.Server) *pooling.Pool
}

// Health judges databases.
type Health interface {
	Suspected(id state.DatabaseID) bool
	Degraded(id state.DatabaseID) bool
}

// Statements writes the texts of the statements that the relay rewrites.
type Statements interface {
	ExecuteText(name, arguments string) string
}

// Config are the parts that an engine works with.
type Config struct {
	Directory  Directory
	Leadership Leadership
	Freshness  Freshness
	Pools      Pools
	Health     Health
	Statements Statements
	// Region returns the region of a data centre; Own is the instance's.
	Region    func(state.DataCentre) string
	OwnRegion string
	Clock     state.Clock
	Log       zerolog.Logger
}

// Engine serves all sessions of an instance.
type Engine struct {
	Config
	ctx      context.Context
	sessions atomic.Uint64
	began    atomic.Bool
	replicas replicas
	shapes   shapes
}

// New returns an engine whose waits end with ctx.
func New(ctx context.Context, config Config) *Engine {
	return &Engine{Config: config, ctx: ctx, replicas: newReplicas(), shapes: shapes{names: make(map[shape]string)}}
}

const (
	// queueShare is the part of an operation's latency objective that its
	// first statement may wait for a connection or a primary: past it, most
	// of the time is better spent on a new attempt through another instance.
	queueShare = 0.5
	// defaultTimeout bounds a statement whose route sets no timeout.
	defaultTimeout = 5 * time.Second
	// defaultObjective stands in for a route that sets none.
	defaultObjective = time.Second
	// startWait is how long a client may wait for an instance that has just
	// started: with the store at hand it takes a few calls of milliseconds.
	startWait = 300 * time.Millisecond
	startPoll = 10 * time.Millisecond
	// cleanupTimeout bounds the proxy's own statements on a connection.
	cleanupTimeout = time.Second
	// proofMargin is taken off a staleness bound, for the reading of clocks.
	proofMargin = 50 * time.Millisecond
	// leavingUse is how long a leaving primary is still used while its
	// successor is chosen; databases count on seven seconds at the least.
	leavingUse = 6 * time.Second
)

func (e *Engine) distant(dataCentre state.DataCentre) bool {
	return e.Region != nil && e.Region(dataCentre) != e.OwnRegion
}

// shape identifies a prepared statement's text.
type shape struct {
	text   string
	writes bool
}

// shapes names the prepared statements on the connections of this process:
// the same name for the same shape, whatever the clients call it.
type shapes struct {
	mu    sync.Mutex
	names map[shape]string
}

func (s *shapes) name(of shape) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok := s.names[of]
	if !ok {
		name = "p" + strconv.Itoa(len(s.names)+1)
		s.names[of] = name
	}
	return name
}
