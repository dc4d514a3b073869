package relay

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// transaction is a client's transaction. It begins at a database only with its
// first statement, so that a connection is not held while the client pauses.
type transaction struct {
	begin    state.Statement
	route    state.Route
	version  uint64
	arrived  state.Instant
	readOnly bool
	failed   bool
	// idledOut tells that it failed because the client left it idle.
	idledOut bool
	// wrote tells whether a write was sent.
	wrote bool

	// link is nil before the first statement and after the end.
	link  *pooling.Conn
	pool  *pooling.Pool
	grant *leadership.Grant
}

// release gives the connection back. Where the database still has the
// transaction open, it is rolled back first, in the background.
func (t *transaction) release(ended bool) {
	link, pool, grant := t.link, t.pool, t.grant
	t.link, t.pool, t.grant = nil, nil, nil
	if link == nil {
		return
	}
	if ended {
		pool.Release(link, true)
		releaseGrant(grant)
		return
	}
	go func() {
		reply, err := link.Rollback(time.Now().Add(cleanupTimeout))
		releaseGrant(grant)
		pool.Release(link, err == nil && reply.Transaction == state.TransactionNone)
	}()
}

// discard closes the connection, by which the database rolls back.
func (t *transaction) discard() {
	if t.link != nil {
		t.pool.Release(t.link, false)
	}
	releaseGrant(t.grant)
	t.link, t.pool, t.grant = nil, nil, nil
}

func releaseGrant(grant *leadership.Grant) {
	if grant != nil {
		grant.Release()
	}
}

func (s *Session) begin(r *request) state.Reply {
	if s.tx != nil {
		return s.refuse(r, state.CodeMalformed, "a transaction is open already")
	}
	if !r.routed {
		return r.refused(state.CodeNoDatabase, "no route has the name")
	}
	s.tx = &transaction{
		begin: r.statement, route: r.route, version: r.version, arrived: r.arrived,
		readOnly: r.statement.Kind == state.StatementBeginReadOnly,
	}
	return state.Reply{}
}

func (s *Session) rollback(r *request) state.Reply {
	if s.tx == nil {
		return r.refused(state.CodeMalformed, "no transaction is open")
	}
	s.tx.release(false)
	s.tx = nil
	return state.Reply{}
}

// runInTransaction answers a statement within a transaction.
func (s *Session) runInTransaction(r *request) state.Reply {
	if reply, ok := s.ensureBegun(r); !ok {
		return reply
	}
	tx := s.tx
	if !tx.resume(r) {
		return s.refuse(r, state.CodeAborted, "the primary was changed, the transaction was rolled back")
	}
	if err := tx.link.ApplyValues(&s.values, time.Now().Add(cleanupTimeout)); err != nil {
		r.lastFail = err
		tx.discard()
		return s.refuse(r, state.CodeAborted, "the connection to the database was lost, the transaction was rolled back")
	}
	tx.wrote = tx.wrote || r.writes
	reply, err := tx.send(r, r.forward(tx.link, state.Position{}))
	if err != nil {
		tx.discard()
		return s.refuse(r, state.CodeAborted, "the connection to the database was lost, the transaction was rolled back")
	}
	if reply.Code != state.CodeNone || reply.Transaction != state.TransactionOpen {
		return s.failedInTransaction(r, reply)
	}
	return reply
}

// failedInTransaction passes a database's error on. The database has rolled
// back or is told to.
func (s *Session) failedInTransaction(r *request, reply state.Reply) state.Reply {
	if reply.Code == state.CodeNone {
		// The database ended the transaction by itself.
		s.tx.discard()
		return s.refuse(r, state.CodeAborted, "the database ended the transaction")
	}
	r.noteRefusal(reply)
	s.failTransaction()
	return reply
}

// resume notes where the transaction goes on. It returns false, with the
// connection closed, where the primary may no longer be used.
func (t *transaction) resume(r *request) bool {
	r.server = t.link.Server.ID
	if t.grant == nil {
		return true
	}
	r.onPrimary(t.grant)
	if !t.grant.Valid() {
		t.discard()
		return false
	}
	return true
}

// send runs a statement of a transaction. A database that is overloaded leaves
// the transaction open, so the statement is sent again after a pause: its
// failure would waste what the transaction has done so far.
func (t *transaction) send(r *request, statement pooling.Statement) (state.Reply, error) {
	for pause := busyPause; ; pause *= 2 {
		sent := time.Now()
		reply, err := t.pool.Run(t.link, statement, r.deadline())
		r.ran += time.Since(sent)
		if err != nil {
			r.lastFail = err
			return reply, err
		}
		overloaded := reply.Code == state.CodeBusy && reply.Transaction == state.TransactionOpen
		if !overloaded || time.Now().Add(pause).After(r.queueDeadline()) {
			return reply, nil
		}
		r.noteRefusal(reply)
		time.Sleep(pause)
	}
}

// ensureBegun begins the transaction at a database. Where it can't, the reply
// is the statement's answer.
func (s *Session) ensureBegun(r *request) (state.Reply, bool) {
	if s.tx.link != nil {
		return state.Reply{}, true
	}
	var reply state.Reply
	if s.tx.readOnly && s.tx.route.Consistency != state.ConsistencyPrimary {
		reply = s.beginRead(r)
	} else {
		reply = s.beginOnPrimary(r)
	}
	if s.tx.link != nil {
		return state.Reply{}, true
	}
	return s.refuse(r, reply.Code, reply.Detail), false
}

// beginOnPrimary begins the transaction at the primary. Without success, the
// reply tells why.
func (s *Session) beginOnPrimary(r *request) state.Reply {
	for {
		grant, reply := s.acquirePrimary(r)
		if grant == nil {
			return reply
		}
		reply, again := s.tryBeginOnPrimary(r, grant)
		if s.tx.link != nil || !again {
			return reply
		}
	}
}

func (s *Session) tryBeginOnPrimary(r *request, grant *leadership.Grant) (state.Reply, bool) {
	r.onPrimary(grant)
	pool, ok := s.primaryPool(r, grant)
	if !ok {
		grant.Release()
		return r.busy("the primary is being retired", retryAfterChange), false
	}
	reply, again := s.tryBegin(r, pool, grant, state.Position{})
	if s.tx.link == nil {
		grant.Release()
	}
	return reply, again
}

// beginRead begins a read-only transaction where a read would go.
func (s *Session) beginRead(r *request) state.Reply {
	return s.tryChoices(r, s.tryBeginRead)
}

func (s *Session) tryBeginRead(r *request, option choice, need state.Position) (state.Reply, bool) {
	if option.primary {
		grant, err := s.engine.Leadership.Acquire(r.route.Group)
		if err != nil {
			r.lastFail = err
			return r.busy("no primary is available", retryAfterChange), true
		}
		reply, _ := s.tryBeginOnPrimary(r, grant)
		return reply, s.tx.link == nil
	}
	r.server, r.role = option.server.ID, "replica"
	reply, again := s.tryBegin(r, s.engine.Pools.Pool(option.server), nil, need)
	if reply.Code == state.CodeLagging {
		s.engine.replicas.lagging(option.server.ID, need, s.engine.Clock.Now())
		return r.busy("the replica is behind", retryAfterChange), true
	}
	return reply, again && s.tx.link == nil
}

// tryBegin sends the transaction's BEGIN. With success the transaction has a
// connection; otherwise nothing of it is open anywhere, and again tells
// whether another try makes sense.
func (s *Session) tryBegin(r *request, pool *pooling.Pool, grant *leadership.Grant, need state.Position) (reply state.Reply, again bool) {
	link, err := s.acquireLink(r, pool, r.queueDeadline())
	if err != nil {
		reply, _ = s.notSent(r, err)
		return reply, grant == nil
	}
	if grant != nil && (!grant.Attach(link.Close) || !grant.Valid()) {
		pool.Release(link, false)
		return r.busy("the primary is being changed", retryAfterChange), s.timeLeft(r)
	}
	asked := s.engine.Clock.Now()
	sent := time.Now()
	begin := s.tx.begin
	reply, err = pool.Run(link, pooling.Statement{ID: begin.ID, Text: begin.Text, After: need}, r.deadline())
	r.ran += time.Since(sent)
	if err != nil {
		r.lastFail = err
		pool.Release(link, false)
		return r.busy("the database did not answer", retryAfterChange), s.timeLeft(r)
	}
	if reply.Code != state.CodeNone || reply.Transaction != state.TransactionOpen {
		r.noteRefusal(reply)
		pool.Release(link, reusable(reply, nil))
		if reply.Code == state.CodeBusy {
			return r.busy("the database is overloaded", pool.Cost()), s.pauseBusy(r)
		}
		return reply, grant == nil
	}
	s.tx.link, s.tx.pool, s.tx.grant = link, pool, grant
	if grant != nil {
		s.engine.Freshness.Observe(r.route.Group, asked, reply.Position)
	} else {
		s.engine.replicas.applied(link.Server.ID, reply.Position)
	}
	return reply, false
}

// commit ends the client's transaction. Only a database's own answer makes it
// a success.
func (s *Session) commit(r *request) state.Reply {
	if s.tx == nil {
		return r.refused(state.CodeMalformed, "no transaction is open")
	}
	if reply, ok := s.ensureBegun(r); !ok {
		s.tx = nil
		return reply
	}
	tx := s.tx
	s.tx = nil
	if !tx.resume(r) {
		return r.refused(state.CodeAborted, "the primary was changed, the transaction was rolled back")
	}
	return s.sendCommit(r, tx)
}

func (s *Session) sendCommit(r *request, tx *transaction) state.Reply {
	asked := s.engine.Clock.Now()
	reply, err := tx.send(r, pooling.Statement{ID: r.statement.ID, Text: r.statement.Text})
	if err != nil {
		tx.discard()
		if !tx.wrote {
			return r.refused(state.CodeAborted, "the connection to the database was lost, nothing had been written")
		}
		return r.refused(state.CodeUnknown, "the connection to the database was lost at the commit")
	}
	if reply.Code != state.CodeNone {
		r.noteRefusal(reply)
		tx.release(reply.Transaction == state.TransactionNone)
		return reply
	}
	if tx.grant != nil {
		s.engine.Freshness.Observe(tx.route.Group, asked, reply.Position)
		if tx.wrote {
			s.raiseFloor(tx.route.Group, reply.Position)
		}
	}
	tx.release(true)
	return reply
}
