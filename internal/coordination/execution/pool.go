package execution

import (
	"context"
	"sync"

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
}

func newPool(database state.Database, dialer Dialer, pacer Pacer) *pool {
	return &pool{database: database, dialer: dialer, pacer: pacer, maxIdle: database.MaxConnections}
}

// get returns an idle connection or opens one. fresh tells which.
func (p *pool) get(ctx context.Context) (conn *connection, fresh bool, err error) {
	if conn = p.takeIdle(); conn != nil {
		return conn, false, nil
	}
	conn, err = p.dial(ctx)
	return conn, true, err
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

func (p *pool) takeIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	conn := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return conn
}

// put takes back a connection whose last unit ended outside a transaction.
func (p *pool) put(conn *connection) {
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
