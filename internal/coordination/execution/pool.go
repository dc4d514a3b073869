package execution

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// connection is a backend connection and what is known of the session state
// on it. It belongs to one stream at a time, or lies idle in a pool.
type connection struct {
	backend  Backend
	prepared *statementCache
	// settings are those that were last applied; settingsKnown is false when
	// a unit changed them since.
	settings      []Setting
	settingsKnown bool
	position      state.Position
	// lastUsed is when it was last put back.
	lastUsed time.Time
}

// pool keeps the idle connections of one backend server, the most recently
// used on top. Its mutex is a leaf lock.
type pool struct {
	database state.Database
	dialer   Dialer
	pacer    Pacer
	maxIdle  int

	mu     sync.Mutex
	idle   []*connection
	open   int
	closed bool
	// doubtedUntil is set when a connection was found silent: until then,
	// every idle connection is checked before use.
	doubtedUntil time.Time
}

const (
	// trustIdleFor is how long an idle connection is used without a check.
	trustIdleFor = time.Second
	// doubtFor is how long connections are doubted after one was silent.
	doubtFor = 10 * time.Second
	// checkTimeout bounds the check of an idle connection.
	checkTimeout = 300 * time.Millisecond
)

func newPool(database state.Database, dialer Dialer, pacer Pacer) *pool {
	return &pool{database: database, dialer: dialer, pacer: pacer, maxIdle: database.MaxConnections}
}

// get returns an idle connection that answers, or opens one.
func (p *pool) get(ctx context.Context) (*connection, error) {
	for {
		conn, trusted := p.takeIdle()
		if conn == nil {
			return p.dial(ctx)
		}
		if trusted || conn.answers(ctx) {
			return conn, nil
		}
		p.discard(conn)
	}
}

// answers checks that the backend server still answers on the connection.
func (c *connection) answers(ctx context.Context) bool {
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

// doubt closes all idle connections and has those that follow checked for a
// while, because one was found silent: whatever lost track of it may have lost
// track of others.
func (p *pool) doubt() {
	p.mu.Lock()
	p.doubtedUntil = time.Now().Add(doubtFor)
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

// takeIdle returns the connection used last, or nil, and whether it may be used
// without a check.
func (p *pool) takeIdle() (conn *connection, trusted bool) {
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
	trusted = now.Sub(conn.lastUsed) < trustIdleFor && now.After(p.doubtedUntil)
	return conn, trusted
}

// put takes back a connection whose last unit ended outside a transaction.
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

// closeIdle closes all idle connections, because the path to the backend
// server is in doubt or the server is leaving.
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
