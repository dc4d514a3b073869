package relay

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Session is one client's session. It is used by one goroutine at a time.
type Session struct {
	engine   *Engine
	number   uint64
	database string
	// credential is what the client presented when it opened the session.
	credential identity.Credential
	values     pooling.Values
	prepared   map[string]preparedStatement
	// minPositions holds the position of the session's last commit in each group. Its
	// route may move between groups.
	minPositions groupPositions
	tx           *transaction
}

// Open starts a session for a database name. On an instance that has just
// started it waits up to startWait for the configuration and the lease. If it
// returns no session, the reply's code is CodeBusy if the instance is not ready,
// CodeNoDatabase if the name has no route, or CodeNotAuthorized if the credential is
// not accepted.
func (e *Engine) Open(database string, credential identity.Credential) (*Session, state.Reply) {
	deadline := time.Now().Add(startWait)
	for !e.ready() {
		if !time.Now().Before(deadline) || e.ctx.Err() != nil {
			return nil, e.refuse(database, state.Reply{Code: state.CodeBusy, Detail: "the instance has no current configuration yet, retry after 500 ms"}, nil)
		}
		time.Sleep(startPollInterval)
	}
	table := e.Directory.Routes()
	route, ok := table.Routes[database]
	if !ok {
		if identity.HoldsKey(table, database) {
			database = ""
		}
		return nil, e.refuse(database, state.Reply{Code: state.CodeNoDatabase, Detail: "no route has the name"}, nil)
	}
	if _, err := e.Identity.Decide(table, route, credential, e.currency(table)); err != nil {
		return nil, e.refuse(database, identityReply(err), err)
	}
	session := &Session{engine: e, number: e.sessions.Add(1), database: database, credential: credential, prepared: make(map[string]preparedStatement)}
	return session, state.Reply{}
}

// refuse logs that a client got no session and returns the reply.
func (e *Engine) refuse(database string, reply state.Reply, cause error) state.Reply {
	e.Log.Info().Str("name", state.Loggable(database)).Stringer("outcome", reply.Code).AnErr("cause", cause).Msg("client refused")
	return reply
}

// ready reports whether the configuration has been read and primaries may be
// used. Once true, it stays true.
func (e *Engine) ready() bool {
	if e.wasReady.Load() {
		return true
	}
	table := e.Directory.Routes()
	if table == nil || !e.Leadership.Ready() || !e.isNewest(table) {
		return false
	}
	e.wasReady.Store(true)
	return true
}

// InTransaction reports whether the client has begun a transaction that it
// has not ended.
func (s *Session) InTransaction() bool {
	return s.tx != nil
}

// Handle runs one statement, which arrived at the given time, and returns the
// reply.
func (s *Session) Handle(statement state.Statement, arrived state.Instant) state.Reply {
	r := s.newRequest(statement, arrived)
	reply := s.dispatch(r)
	reply.Transaction = s.transactionState()
	r.finish(reply)
	return reply
}

func (s *Session) transactionState() state.TransactionState {
	switch {
	case s.tx == nil:
		return state.TransactionNone
	case s.tx.failed:
		return state.TransactionFailed
	default:
		return state.TransactionOpen
	}
}

func (s *Session) dispatch(r *request) state.Reply {
	if s.tx != nil && s.tx.failed {
		return s.runInFailedTransaction(r)
	}
	if reply, ok := s.identify(r); !ok {
		return reply
	}
	switch r.statement.Kind {
	case state.StatementSet:
		s.values.Set(r.statement.Name, r.statement.Value)
		return state.Reply{}
	case state.StatementPrepare:
		s.prepared[r.statement.Name] = preparedStatement{text: r.statement.Value, writes: r.statement.Writes}
		return state.Reply{}
	case state.StatementDeallocate:
		delete(s.prepared, r.statement.Name)
		return state.Reply{}
	case state.StatementBegin, state.StatementBeginReadOnly:
		return s.begin(r)
	case state.StatementRollback:
		return s.rollback(r)
	case state.StatementCommit:
		return s.commit(r)
	case state.StatementRead, state.StatementWrite, state.StatementExecute:
		return s.run(r)
	default:
		return s.failStatement(r, state.CodeMalformed, "the statement can't be parsed")
	}
}

// runInFailedTransaction returns the reply to a statement in a failed
// transaction. A rollback or commit ends the transaction.
func (s *Session) runInFailedTransaction(r *request) state.Reply {
	switch r.statement.Kind {
	case state.StatementRollback:
		s.tx = nil
		return state.Reply{}
	case state.StatementCommit:
		s.tx = nil
		return r.errorReply(state.CodeAborted, "the transaction had failed and was rolled back")
	default:
		if s.tx.idleTimedOut {
			return r.errorReply(state.CodeAborted, "the transaction was idle for too long and was rolled back")
		}
		return r.errorReply(state.CodeMalformed, "the transaction has failed")
	}
}

// failStatement returns an error reply and fails the transaction if there is
// one.
func (s *Session) failStatement(r *request, code state.ErrorCode, detail string) state.Reply {
	s.failTransaction()
	return r.errorReply(code, detail)
}

// Close ends the session and rolls back an open transaction.
func (s *Session) Close() {
	if s.tx != nil {
		s.tx.release(false)
		s.tx = nil
	}
}

// Abort rolls back a transaction that the client has left idle, so that its
// next statement fails.
func (s *Session) Abort() {
	if s.tx != nil {
		s.tx.idleTimedOut = true
		s.failTransaction()
	}
}

func (s *Session) failTransaction() {
	if s.tx != nil && !s.tx.failed {
		s.tx.failed = true
		s.tx.release(false)
	}
}

// IdleLimit returns how long the session may stay idle in its present state, or
// zero for no limit.
func (s *Session) IdleLimit() time.Duration {
	if s.tx == nil || s.tx.failed || s.tx.conn == nil {
		return 0
	}
	return s.engine.Directory.Routes().IdleInTransaction
}
