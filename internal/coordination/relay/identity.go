package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Identity decides on whose behalf a client uses a route.
type Identity interface {
	Decide(table *state.RoutingTable, route state.Route, credential identity.Credential, currency identity.Currency) (state.WorkspaceID, error)
	// Doubt returns why no key can be accepted, or 0 if keys can be accepted.
	Doubt(table *state.RoutingTable, currency identity.Currency) identity.Reason
}

// startsWork reports whether statements of a kind start something at a database.
func startsWork(kind state.StatementKind) bool {
	switch kind {
	case state.StatementBegin, state.StatementBeginReadOnly, state.StatementCommit,
		state.StatementRead, state.StatementWrite, state.StatementExecute:
		return true
	default:
		return false
	}
}

// identify sets the workspace on whose behalf the statement runs. If it returns false,
// the reply is the one to the client, and an open transaction is rolled back: one of
// another workspace, because its connection belongs to that.
func (s *Session) identify(r *request) (state.Reply, bool) {
	if !r.routed || !startsWork(r.statement.Kind) {
		return state.Reply{}, true
	}
	route, listed := r.table.Routes[s.database]
	if !listed {
		route = r.route
	}
	workspace, err := s.engine.Identity.Decide(r.table, route, s.credential, s.engine.currency(r.table))
	if err != nil {
		r.lastError = err
		s.endTransaction(r)
		return identityReply(err), false
	}
	r.workspace = workspace
	if s.tx != nil && s.tx.conn != nil && s.tx.conn.Workspace != workspace {
		s.endTransaction(r)
		return r.errorReply(state.CodeAborted, "the key belongs to another workspace now, the transaction was rolled back"), false
	}
	return state.Reply{}, true
}

// endTransaction rolls back an open transaction. The client ends it with its next
// COMMIT or ROLLBACK, unless the statement is a COMMIT.
func (s *Session) endTransaction(r *request) {
	s.failTransaction()
	if r.statement.Kind == state.StatementCommit {
		s.tx = nil
	}
}

// identityRetryAfter is when a client may come back to an instance that can't tell
// whether keys are valid. A balancer needs about as long to notice that it is not
// ready.
const identityRetryAfter = 2 * time.Second

// identityReply returns the reply to a client that was refused, and counts it. It
// holds nothing of the key.
func identityReply(err error) state.Reply {
	var refused *identity.RefusedError
	if !errors.As(err, &refused) {
		return state.Reply{Code: state.CodeNotAuthorized, Detail: "the key was refused"}
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenpin_clients_refused_total{reason=%q}`, refused.Reason)).Inc()
	switch refused.Reason {
	case identity.ReasonNoKey:
		return state.Reply{Code: state.CodeNotAuthorized, Detail: "the route needs a key"}
	case identity.ReasonUnverified, identity.ReasonOutdated:
		detail := fmt.Sprintf("the instance can't tell whether keys are still valid, retry after %d ms", identityRetryAfter.Milliseconds())
		return state.Reply{Code: state.CodeBusy, Detail: detail}
	default:
		return state.Reply{Code: state.CodeNotAuthorized, Detail: "the key is not known"}
	}
}
