package forwarding

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// cleanupTimeout is the timeout of the statements that set session values, and
	// of rollbacks.
	cleanupTimeout = time.Second
	// leavingUse is how long a holder uses a leaving database. The senders decide
	// what it is still used for; the holder's own limit counts for those that have
	// not read that it is leaving.
	leavingUse = 5500 * time.Millisecond
)

// Directory provides the registered databases.
type Directory interface {
	Server(group state.GroupID, id state.DatabaseID) (directory.Entry, bool)
}

// Leadership grants access to primaries.
type Leadership interface {
	Acquire(group state.GroupID) (*leadership.Grant, error)
}

// Pools provides the connection pool of each database.
type Pools interface {
	Pool(server state.Server) *pooling.Pool
}

// Placement says which instances hold connections.
type Placement interface {
	Of(server state.Server) placement.Placement
}

// HolderConfig holds the dependencies of a holder.
type HolderConfig struct {
	Directory  Directory
	Leadership Leadership
	Pools      Pools
	Placement  Placement
	Clock      state.Clock
	Log        zerolog.Logger
}

// Holder runs the statements of other instances on its own connections.
type Holder struct {
	HolderConfig
	stopping atomic.Bool
	open     atomic.Int64
}

// NewHolder returns a holder.
func NewHolder(config HolderConfig) *Holder {
	return &Holder{HolderConfig: config}
}

// Stop makes the holder refuse new streams. The open ones go on.
func (h *Holder) Stop() { h.stopping.Store(true) }

// Open returns the number of connections that are in use for other instances.
func (h *Holder) Open() int { return int(h.open.Load()) }

// Session is a holder's side of one stream. Its calls must not overlap.
type Session struct {
	holder *Holder
	// local is set if the statements are this instance's own.
	local  bool
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	closed bool
	busy   bool
	conn   *pooling.Conn
	pool   *pooling.Pool
	grant  *leadership.Grant
}

// NewSession returns a session for a stream of another instance.
func (h *Holder) NewSession() *Session {
	ctx, cancel := context.WithCancel(context.Background())
	return &Session{holder: h, ctx: ctx, cancel: cancel}
}

// Pinned reports whether a transaction is open between two calls.
func (s *Session) Pinned() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil
}

// Close ends the session. The database rolls back an open transaction when its
// connection is closed; one that runs a statement is closed too.
func (s *Session) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	conn := s.conn
	busy := s.busy
	s.mu.Unlock()
	switch {
	case conn == nil:
	case busy:
		conn.Close()
	default:
		s.release(false)
	}
}

// Call runs a call and returns its answer.
func (s *Session) Call(call Call) Answer {
	s.mu.Lock()
	if s.closed || s.busy {
		s.mu.Unlock()
		return Answer{Refusal: RefusedLost, Detail: "the stream is closed"}
	}
	s.busy = true
	begun := s.conn != nil
	s.mu.Unlock()
	received := time.Now()
	answer := Answer{Refusal: RefusedLost, Detail: "no transaction is open"}
	switch {
	case call.Operation == OperationRollback && begun:
		answer = s.rollback()
	case call.Operation == OperationRun && begun:
		answer = s.continueTransaction(call, received)
	case call.Operation == OperationRun:
		answer = s.start(call, received)
	}
	s.mu.Lock()
	s.busy = false
	abandoned := s.closed && s.conn != nil
	s.mu.Unlock()
	if abandoned {
		s.release(false)
	}
	if answer.Refusal != NotRefused && !s.local {
		s.holder.Log.Warn().Str("request", state.Loggable(call.ID)).Str("group", string(call.Group)).Str("database", string(call.Database)).
			Stringer("refusal", answer.Refusal).Str("detail", state.Loggable(answer.Detail)).Dur("held_ms", time.Since(received)).Msg("forwarded statement not served")
	}
	return answer
}

func (s *Session) rollback() Answer {
	reply, err := s.conn.Rollback(time.Now().Add(cleanupTimeout))
	s.release(err == nil && reply.Transaction == state.TransactionNone)
	if err != nil {
		return Answer{Refusal: RefusedLost, Detail: err.Error()}
	}
	return Answer{Reply: reply}
}

func (s *Session) continueTransaction(call Call, received time.Time) Answer {
	if s.grant != nil && !s.grant.Valid() {
		s.release(false)
		return Answer{Refusal: RefusedLost, Detail: "the primary is being changed"}
	}
	if err := s.conn.ApplyValues(pooling.ValuesOf(call.Values), time.Now().Add(cleanupTimeout)); err != nil {
		s.release(false)
		return Answer{Refusal: RefusedLost, Detail: err.Error()}
	}
	return s.run(call, received)
}

// start checks that the database may be used here, gets a connection and runs the
// first statement.
func (s *Session) start(call Call, received time.Time) Answer {
	server, refusal := s.holder.check(call, s.local)
	if refusal != NotRefused {
		return Answer{Refusal: refusal}
	}
	pool := s.holder.Pools.Pool(server)
	deadline := received.Add(min(call.Wait, call.Left))
	request := pooling.Request{
		Workspace: call.Workspace, Priority: call.Priority, ValuesKey: pooling.ValuesOf(call.Values).Key(), Primary: call.Primary, Local: true,
	}
	conn, err := pool.Acquire(s.ctx, request, deadline)
	if err != nil {
		return refusalOf(err)
	}
	if err := conn.ApplyValues(pooling.ValuesOf(call.Values), time.Now().Add(cleanupTimeout)); err != nil {
		pool.Release(conn, false)
		return refusalOf(err)
	}
	if !s.pin(conn, pool, call) {
		return Answer{Refusal: RefusedPrimary}
	}
	if !time.Now().Before(received.Add(call.Left)) {
		s.release(true)
		return Answer{Refusal: RefusedNoConnection, Detail: "no time is left", RetryAfter: pool.Cost(call.Workspace)}
	}
	return s.run(call, received)
}

// pin binds a connection to the session, under a grant of this instance if the
// statement needs the primary. If it returns false, the connection was released.
func (s *Session) pin(conn *pooling.Conn, pool *pooling.Pool, call Call) bool {
	var grant *leadership.Grant
	usable := true
	if call.Primary && !s.local {
		var err error
		grant, err = s.holder.Leadership.Acquire(call.Group)
		usable = err == nil && grant.Primary == call.Database && grant.Attach(conn.Close) && grant.Valid()
	}
	s.mu.Lock()
	if usable && !s.closed {
		s.conn, s.pool, s.grant = conn, pool, grant
		s.holder.open.Add(1)
		s.mu.Unlock()
		return true
	}
	s.mu.Unlock()
	if grant != nil {
		grant.Release()
	}
	pool.Release(conn, true)
	return false
}

func (s *Session) run(call Call, received time.Time) Answer {
	statement := pooling.Statement{ID: call.ID, Text: call.Text, After: call.After}
	if p := call.Prepared; p != nil {
		statement.Prepare = &pooling.Prepare{Name: p.Name, Shape: p.Shape, Writes: p.Writes}
	}
	reply, err := s.pool.Run(s.conn, statement, received.Add(call.Left))
	if err != nil {
		s.release(false)
		return Answer{Refusal: RefusedLost, Detail: err.Error()}
	}
	if reply.Transaction == state.TransactionNone {
		s.release(reply.Code != state.CodeMisdirected)
	}
	return Answer{Reply: reply}
}

// release ends the use of the connection. A connection that was closed is not
// reusable.
func (s *Session) release(reusable bool) {
	s.mu.Lock()
	conn, pool, grant := s.conn, s.pool, s.grant
	s.conn, s.pool, s.grant = nil, nil, nil
	closed := s.closed
	s.mu.Unlock()
	if conn == nil {
		return
	}
	s.holder.open.Add(-1)
	pool.Release(conn, reusable && !closed)
	if grant != nil {
		grant.Release()
	}
}

// check returns the database of a call, or why it may not be used through this
// instance.
func (h *Holder) check(call Call, local bool) (state.Server, Refusal) {
	entry, known := h.Directory.Server(call.Group, call.Database)
	if !known || entry.Born != call.Born || entry.Leaving && h.Clock.Now().Sub(entry.LeavingSince) > leavingUse {
		return state.Server{}, RefusedUnknown
	}
	switch {
	case local:
	case h.stopping.Load():
		return state.Server{}, RefusedStopping
	case !h.accepts(entry.Server):
		return state.Server{}, RefusedNotHolder
	}
	return entry.Server, NotRefused
}

func (h *Holder) accepts(server state.Server) bool {
	placed := h.Placement.Of(server)
	return placed.Direct || placed.Accepts
}

// refusalOf returns the answer to a call that got no connection.
func refusalOf(err error) Answer {
	var noConn *pooling.NoConnectionError
	if errors.As(err, &noConn) {
		return Answer{Refusal: RefusedNoConnection, Detail: err.Error(), RetryAfter: noConn.RetryAfter}
	}
	return Answer{Refusal: RefusedConnect, Detail: err.Error()}
}
