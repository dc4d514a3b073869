package relay

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// transaction is a client's transaction. BEGIN is sent to a database only with
// the first statement, so that no connection is held between the two.
type transaction struct {
	begin     state.Statement
	route     state.Route
	version   uint64
	arrivedAt state.Instant
	readOnly  bool
	failed    bool
	// idleTimedOut is set if the transaction failed because it was idle for too
	// long.
	idleTimedOut bool
	// wrote is set if a write was sent.
	wrote bool

	// conn is nil before the first statement and after the transaction's end.
	conn  *pooling.Conn
	pool  *pooling.Pool
	grant *leadership.Grant
}

// release returns the connection to its pool. Unless ended is set, the
// transaction is rolled back at the database first, in the background.
func (t *transaction) release(ended bool) {
	conn, pool, grant := t.conn, t.pool, t.grant
	t.conn, t.pool, t.grant = nil, nil, nil
	if conn == nil {
		return
	}
	if ended {
		pool.Release(conn, true)
		releaseGrant(grant)
		return
	}
	go func() {
		reply, err := conn.Rollback(time.Now().Add(cleanupTimeout))
		releaseGrant(grant)
		pool.Release(conn, err == nil && reply.Transaction == state.TransactionNone)
	}()
}

// discard closes the connection, upon which the database rolls back.
func (t *transaction) discard() {
	if t.conn != nil {
		t.pool.Release(t.conn, false)
	}
	releaseGrant(t.grant)
	t.conn, t.pool, t.grant = nil, nil, nil
}

func releaseGrant(grant *leadership.Grant) {
	if grant != nil {
		grant.Release()
	}
}

func (s *Session) begin(r *request) state.Reply {
	if s.tx != nil {
		return s.failStatement(r, state.CodeMalformed, "a transaction is open already")
	}
	if !r.routed {
		return r.errorReply(state.CodeNoDatabase, "no route has the name")
	}
	s.tx = &transaction{
		begin: r.statement, route: r.route, version: r.version, arrivedAt: r.arrivedAt,
		readOnly: r.statement.Kind == state.StatementBeginReadOnly,
	}
	return state.Reply{}
}

func (s *Session) rollback(r *request) state.Reply {
	if s.tx == nil {
		return r.errorReply(state.CodeMalformed, "no transaction is open")
	}
	s.tx.release(false)
	s.tx = nil
	return state.Reply{}
}

// runInTransaction runs a statement within a transaction.
func (s *Session) runInTransaction(r *request) state.Reply {
	if reply, ok := s.ensureBegun(r); !ok {
		return reply
	}
	tx := s.tx
	if !tx.resume(r) {
		return s.failStatement(r, state.CodeAborted, "the primary was changed, the transaction was rolled back")
	}
	if err := tx.conn.ApplyValues(&s.values, time.Now().Add(cleanupTimeout)); err != nil {
		r.lastError = err
		tx.discard()
		return s.failStatement(r, state.CodeAborted, "the connection to the database was lost, the transaction was rolled back")
	}
	tx.wrote = tx.wrote || r.writes
	reply, err := tx.send(r, r.databaseStatement(state.Position{}))
	if err != nil {
		tx.discard()
		return s.failStatement(r, state.CodeAborted, "the connection to the database was lost, the transaction was rolled back")
	}
	if reply.Code != state.CodeNone || reply.Transaction != state.TransactionOpen {
		return s.handleTransactionError(r, reply)
	}
	return reply
}

// handleTransactionError fails the transaction after a database's error and
// returns the reply to the client. The database has rolled back, or a rollback
// is sent to it.
func (s *Session) handleTransactionError(r *request, reply state.Reply) state.Reply {
	if reply.Code == state.CodeNone {
		// The database ended the transaction without an error.
		s.tx.discard()
		return s.failStatement(r, state.CodeAborted, "the database ended the transaction")
	}
	r.recordRefusal(reply)
	s.failTransaction()
	return reply
}

// resume records in r the database at which the transaction runs. If that is a
// primary that may no longer be used, it closes the connection and returns false.
func (t *transaction) resume(r *request) bool {
	r.server = t.conn.Server.ID
	if t.grant == nil {
		return true
	}
	r.recordPrimary(t.grant)
	if !t.grant.Valid() {
		t.discard()
		return false
	}
	return true
}

// send runs a statement of a transaction. An overloaded database leaves the
// transaction open, so the statement is sent again after a pause: its failure
// would waste the transaction's work so far.
func (t *transaction) send(r *request, statement pooling.Statement) (state.Reply, error) {
	for pause := busyRetryPause; ; pause *= 2 {
		sent := time.Now()
		reply, err := t.pool.Run(t.conn, statement, r.deadline())
		r.ran += time.Since(sent)
		if err != nil {
			r.lastError = err
			return reply, err
		}
		overloaded := reply.Code == state.CodeBusy && reply.Transaction == state.TransactionOpen
		if !overloaded || time.Now().Add(pause).After(r.queueDeadline()) {
			return reply, nil
		}
		r.recordRefusal(reply)
		time.Sleep(pause)
	}
}

// ensureBegun begins the transaction at a database unless it has begun. If it
// returns false, the reply is the one to the client.
func (s *Session) ensureBegun(r *request) (state.Reply, bool) {
	if s.tx.conn != nil {
		return state.Reply{}, true
	}
	var reply state.Reply
	if s.tx.readOnly && s.tx.route.Consistency != state.ConsistencyPrimary {
		reply = s.limited(r, s.beginRead)
	} else {
		reply = s.limited(r, s.beginOnPrimary)
	}
	if s.tx.conn != nil {
		return state.Reply{}, true
	}
	return s.failStatement(r, reply.Code, reply.Detail), false
}

// beginOnPrimary begins the transaction at the primary. If that fails, the
// reply gives the reason.
func (s *Session) beginOnPrimary(r *request) state.Reply {
	for {
		grant, reply := s.acquirePrimary(r)
		if grant == nil {
			return reply
		}
		reply, retry := s.tryBeginOnPrimary(r, grant)
		if s.tx.conn != nil || !retry {
			return reply
		}
	}
}

func (s *Session) tryBeginOnPrimary(r *request, grant *leadership.Grant) (state.Reply, bool) {
	r.recordPrimary(grant)
	pool, ok := s.primaryPool(r, grant)
	if !ok {
		grant.Release()
		return r.busyReply("the primary is being retired", retryAfterChange), false
	}
	reply, retry := s.tryBegin(r, pool, grant, state.Position{})
	if s.tx.conn == nil {
		grant.Release()
	}
	return reply, retry
}

// beginRead begins a read-only transaction at a database that may serve a read.
func (s *Session) beginRead(r *request) state.Reply {
	return s.tryReadOptions(r, s.tryBeginRead)
}

func (s *Session) tryBeginRead(r *request, option readOption, minPosition state.Position) (state.Reply, bool) {
	if option.primary {
		grant, err := s.engine.Leadership.Acquire(r.route.Group)
		if err != nil {
			r.lastError = err
			return r.busyReply("no primary is available", retryAfter(err)), true
		}
		reply, _ := s.tryBeginOnPrimary(r, grant)
		return reply, s.tx.conn == nil
	}
	r.server, r.role = option.server.ID, "replica"
	reply, retry := s.tryBegin(r, s.engine.Pools.Pool(option.server), nil, minPosition)
	if reply.Code == state.CodeLagging {
		s.engine.replicas.recordLagging(option.server.ID, minPosition, s.engine.Clock.Now())
		return r.busyReply("the replica is behind", retryAfterChange), true
	}
	return reply, retry && s.tx.conn == nil
}

// tryBegin sends the transaction's BEGIN. On success the transaction has a
// connection. Otherwise it is open at no database, and retry is true if another
// attempt may succeed.
func (s *Session) tryBegin(r *request, pool *pooling.Pool, grant *leadership.Grant, minPosition state.Position) (reply state.Reply, retry bool) {
	conn, err := s.acquireConn(r, pool, r.queueDeadline())
	if err != nil {
		reply, _ = s.unsentReply(r, err)
		return reply, grant == nil
	}
	requestedAt := s.engine.Clock.Now()
	if grant != nil && (!grant.Attach(conn.Close) || !grant.Valid()) {
		pool.Release(conn, false)
		return r.busyReply("the primary is being changed", retryAfterChange), s.timeLeft(r)
	}
	sent := time.Now()
	begin := s.tx.begin
	reply, err = pool.Run(conn, pooling.Statement{ID: begin.ID, Text: begin.Text, After: minPosition}, r.deadline())
	r.ran += time.Since(sent)
	if err != nil {
		r.lastError = err
		pool.Release(conn, false)
		if pooling.NotSent(err) {
			reply, retry = s.unsentReply(r, err)
			return reply, retry || grant == nil
		}
		return r.busyReply("the database did not answer", retryAfterChange), s.timeLeft(r)
	}
	if reply.Code != state.CodeNone || reply.Transaction != state.TransactionOpen {
		r.recordRefusal(reply)
		pool.Release(conn, reusable(reply, nil))
		if reply.Code == state.CodeBusy {
			return r.busyReply("the database is overloaded", pool.Cost(r.workspace)), s.waitBeforeBusyRetry(r)
		}
		return reply, grant == nil
	}
	s.tx.conn, s.tx.pool, s.tx.grant = conn, pool, grant
	if grant != nil {
		s.engine.Freshness.Observe(r.route.Group, requestedAt, reply.Position)
	} else {
		s.engine.replicas.recordApplied(conn.Server.ID, reply.Position)
	}
	return reply, false
}

// commit commits the client's transaction. It returns success only if the
// database has replied with success.
func (s *Session) commit(r *request) state.Reply {
	if s.tx == nil {
		return r.errorReply(state.CodeMalformed, "no transaction is open")
	}
	if reply, ok := s.ensureBegun(r); !ok {
		s.tx = nil
		return reply
	}
	tx := s.tx
	s.tx = nil
	requestedAt := s.engine.Clock.Now()
	if !tx.resume(r) {
		return r.errorReply(state.CodeAborted, "the primary was changed, the transaction was rolled back")
	}
	return s.sendCommit(r, tx, requestedAt)
}

// sendCommit sends the COMMIT. requestedAt is a time before the lease was checked.
func (s *Session) sendCommit(r *request, tx *transaction, requestedAt state.Instant) state.Reply {
	before := s.engine.Freshness.NewestPosition(tx.route.Group)
	reply, err := tx.send(r, pooling.Statement{ID: r.statement.ID, Text: r.statement.Text})
	if err != nil {
		tx.discard()
		if !tx.wrote {
			return r.errorReply(state.CodeAborted, "the connection to the database was lost, nothing had been written")
		}
		return r.errorReply(state.CodeUnknown, "the connection to the database was lost at the commit")
	}
	if reply.Code != state.CodeNone {
		r.recordRefusal(reply)
		tx.release(reply.Transaction == state.TransactionNone)
		return reply
	}
	if tx.grant != nil {
		s.engine.Freshness.Observe(tx.route.Group, requestedAt, reply.Position)
		if tx.wrote {
			s.engine.Freshness.Acknowledge(tx.route.Group, before, reply.Position)
			s.minPositions.raise(tx.route.Group, reply.Position)
		}
	}
	tx.release(true)
	return reply
}
