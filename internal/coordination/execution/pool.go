package execution

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// connection is a backend connection and the known session state on it. It
// belongs to one stream at a time, or is idle in a pool.
type connection struct {
	backend  Backend
	prepared *statementCache
	// settings are those last applied; settingsKnown is false when a unit has
	// changed them since.
	settings      []Setting
	settingsKnown bool
	position      state.Position
	// lastUsed is when the connection was last returned to the pool.
	lastUsed time.Time
}

// pool keeps the idle connections of one backend server as a stack, with the
// most recently used on top. Its mutex is a leaf lock.
type pool struct {
	database state.Database
	dialer   Dialer
	pacer    Pacer
	maxIdle  int

	mu     sync.Mutex
	idle   []*connection
	open   int
	closed bool
	// suspectUntil is set when a connection was found silent. Until that time,
	// every idle connection is checked before use.
	suspectUntil time.Time
}

const (
	// maxUncheckedIdle is the idle time below which a connection is used
	// without a check.
	maxUncheckedIdle = time.Second
	// suspectPeriod is how long all idle connections are checked before use
	// after one was found silent.
	suspectPeriod = 10 * time.Second
	// checkTimeout bounds the check of an idle connection.
	checkTimeout = 300 * time.Millisecond
)

func newPool(database state.Database, dialer Dialer, pacer Pacer) *pool {
	return &pool{database: database, dialer: dialer, pacer: pacer, maxIdle: database.MaxConnections}
}

// get returns an idle connection that is responsive, or opens one.
func (p *pool) get(ctx context.Context) (*connection, error) {
	for {
		conn, skipCheck := p.takeIdle()
		if conn == nil {
			return p.dial(ctx)
		}
		if skipCheck || conn.isResponsive(ctx) {
			return conn, nil
		}
		p.discard(conn)
	}
}

// isResponsive reports whether the backend server still replies on the
// connection.
func (c *connection) isResponsive(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if err := c.backend.Write(ctx, appendSync(nil)); err != nil {
		return false
	}
	for {
		message, err := c.backend.Receive(ctx)
		if err != nil {
			return false
		}
		if message.Type == msgReadyForQuery {
			return true
		}
	}
}

// markSuspect closes all idle connections and makes get check later ones before
// use for suspectPeriod. It is called when a connection was found silent: its
// cause, such as a device on the path that lost the connection's state, may
// affect others.
func (p *pool) markSuspect() {
	p.mu.Lock()
	p.suspectUntil = time.Now().Add(suspectPeriod)
	p.mu.Unlock()
	p.closeIdle()
}

func (p *pool) dial(ctx context.Context) (*connection, error) {
	var backend Backend
	err := p.pacer.Open(ctx, func(ctx context.Context) error {
		opened, err := p.dialer.Dial(ctx, p.database)
		backend = opened
		return err
	})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return &connection{backend: backend, prepared: newStatementCache(maxPreparedStatements), settingsKnown: true}, nil
}

// takeIdle returns the most recently used connection, or nil, and whether it may
// be used without a check.
func (p *pool) takeIdle() (conn *connection, skipCheck bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil, false
	}
	conn = p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	now := time.Now()
	skipCheck = now.Sub(conn.lastUsed) < maxUncheckedIdle && now.After(p.suspectUntil)
	return conn, skipCheck
}

// put returns a connection whose last unit ended outside a transaction.
func (p *pool) put(conn *connection) {
	conn.lastUsed = time.Now()
	p.mu.Lock()
	if !p.closed && len(p.idle) < p.maxIdle {
		p.idle = append(p.idle, conn)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(conn)
}

// discard closes a connection that must not be used again.
func (p *pool) discard(conn *connection) {
	conn.backend.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// closeIdle closes all idle connections. It is called when the path to the
// backend server is suspect or the server is being removed.
func (p *pool) closeIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, conn := range idle {
		p.discard(conn)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeIdle()
}

func (p *pool) counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}
