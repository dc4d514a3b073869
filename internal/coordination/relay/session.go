package relay

import (
	"strconv"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Session is one client's session. It is used by one goroutine at a time.
type Session struct {
	engine   *Engine
	number   uint64
	database string
	values   pooling.Values
	prepared map[string]shape
	// floor is the position of the session's last commit, in group floorGroup.
	floor      state.Position
	floorGroup state.GroupID
	tx         *transaction
}

// Open starts a session for a database name. It returns false where no route
// has the name.
func (e *Engine) Open(database string) (*Session, bool) {
	routes := e.Directory.Routes()
	if routes == nil {
		return nil, false
	}
	if _, ok := routes.Routes[database]; !ok {
		return nil, false
	}
	return &Session{engine: e, number: e.sessions.Add(1), database: database, prepared: make(map[string]shape)}, true
}

// Routed reports whether the session's database name still has a route.
func (s *Session) Routed() bool {
	_, ok := s.engine.Directory.Routes().Routes[s.database]
	return ok
}

// InTransaction reports whether the client has begun a transaction that it
// has not ended.
func (s *Session) InTransaction() bool {
	return s.tx != nil
}

// Handle answers one statement, which arrived at the given moment.
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
		return s.endFailed(r)
	}
	switch r.statement.Kind {
	case state.StatementSet:
		s.values.Set(r.statement.Name, r.statement.Value)
		return state.Reply{}
	case state.StatementPrepare:
		s.prepared[r.statement.Name] = shape{text: r.statement.Value, writes: r.statement.Writes}
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
		return s.refuse(r, state.CodeMalformed, "the statement can't be parsed")
	}
}

// endFailed answers statements in a transaction that has failed.
func (s *Session) endFailed(r *request) state.Reply {
	switch r.statement.Kind {
	case state.StatementRollback:
		s.tx = nil
		return state.Reply{}
	case state.StatementCommit:
		s.tx = nil
		return r.refused(state.CodeAborted, "the transaction had failed and was rolled back")
	default:
		if s.tx.idledOut {
			return r.refused(state.CodeAborted, "the transaction was idle for too long and was rolled back")
		}
		return r.refused(state.CodeMalformed, "the transaction has failed")
	}
}

// refuse fails a statement, and with it the transaction if there is one.
func (s *Session) refuse(r *request, code state.ErrorCode, detail string) state.Reply {
	s.failTransaction()
	return r.refused(code, detail)
}

// Close ends the session. A transaction in progress is rolled back.
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
		s.tx.idledOut = true
		s.failTransaction()
	}
}

func (s *Session) failTransaction() {
	if s.tx != nil && !s.tx.failed {
		s.tx.failed = true
		s.tx.release(false)
	}
}

// IdleLimit is how long the session may stay idle now; zero for no limit.
func (s *Session) IdleLimit() time.Duration {
	if s.tx == nil || s.tx.failed || s.tx.link == nil {
		return 0
	}
	return s.engine.Directory.Routes().IdleInTransaction
}

func formatCount(n int) string {
	return strconv.Itoa(n)
}
