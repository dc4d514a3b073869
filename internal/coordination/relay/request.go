package relay

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// request is a statement in progress, with the fields of its log line.
type request struct {
	session   *Session
	statement state.Statement
	arrivedAt state.Instant
	started   time.Time
	route     state.Route
	routed    bool
	version   uint64
	// table is the routing table in force when the statement arrived.
	table *state.RoutingTable
	// workspace is the workspace on whose behalf the statement runs.
	workspace state.WorkspaceID
	// writes is set if the statement changes data.
	writes bool
	// prepared is the prepared statement that is executed, if any.
	prepared preparedStatement

	// The remaining fields are recorded for the log line; attempts and
	// lastError also decide on further attempts.
	server      state.DatabaseID
	role        string
	epoch       uint64
	minPosition state.Position
	attempts    int
	queued      time.Duration
	ran         time.Duration
	lastError   error
}

func (s *Session) newRequest(statement state.Statement, arrived state.Instant) *request {
	r := &request{session: s, statement: statement, arrivedAt: arrived, started: time.Now()}
	r.table = s.engine.Directory.Routes()
	if s.tx != nil {
		r.route, r.routed, r.version = s.tx.route, true, s.tx.version
	} else {
		r.route, r.routed = r.table.Routes[s.database]
		r.version = r.table.Version
	}
	r.writes = statement.Kind == state.StatementWrite
	if statement.Kind == state.StatementExecute {
		r.prepared = s.prepared[statement.Name]
		r.writes = r.prepared.writes
	}
	return r
}

// deadline returns when the statement times out.
func (r *request) deadline() time.Time {
	timeout := r.route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return r.started.Add(timeout)
}

// attemptDeadline returns when an attempt at a database times out. The first
// attempt of a read ends early enough for a second one, because a reply can be
// lost.
func (r *request) attemptDeadline(pool *pooling.Pool) time.Time {
	deadline := r.deadline()
	if r.writes || r.attempts > 1 {
		return deadline
	}
	if late := time.Now().Add(pool.LateAfter()); late.Add(minAttemptTime).Before(deadline) {
		return late
	}
	return deadline
}

// minAttemptTime is the least time left for which another attempt is made: a
// round trip between regions and the usual work of a statement, twice.
const minAttemptTime = 150 * time.Millisecond

// queueDeadline returns until when the statement may wait to be sent.
func (r *request) queueDeadline() time.Time {
	return r.started.Add(r.queueTime())
}

// queueTime returns how long the statement may wait to be sent.
func (r *request) queueTime() time.Duration {
	objective := r.route.Objective
	if objective <= 0 {
		objective = defaultObjective
	}
	return time.Duration(queueShare * float64(objective))
}

// recordRefusal records a database's error reply as the last error.
func (r *request) recordRefusal(reply state.Reply) {
	if reply.Code == state.CodeReadOnly && r.role == "primary" {
		r.session.engine.Leadership.DoubtPrimary(r.route.Group, r.server)
	}
	r.lastError = &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
}

// reusable reports whether a connection may serve other requests after a call
// that returned reply and err.
func reusable(reply state.Reply, err error) bool {
	return err == nil && reply.Transaction == state.TransactionNone && reply.Code != state.CodeMisdirected
}

// errorReply returns an error reply of the proxy itself.
func (r *request) errorReply(code state.ErrorCode, detail string) state.Reply {
	return state.Reply{Code: code, Detail: detail}
}

// busyReply returns the reply to a statement of which nothing ran, with a retry
// hint for the client.
func (r *request) busyReply(reason string, after time.Duration) state.Reply {
	return r.errorReply(state.CodeBusy, fmt.Sprintf("%s, retry after %d ms", reason, max(1, after.Milliseconds())))
}

// databaseStatement returns the statement as it is sent to a database whose log must
// cover a position.
func (r *request) databaseStatement(after state.Position) pooling.Statement {
	statement := pooling.Statement{ID: r.statement.ID, Text: r.statement.Text, After: after}
	if r.statement.Kind == state.StatementExecute {
		name := r.prepared.name()
		statement.Prepare = &pooling.Prepare{Name: name, Shape: r.prepared.text, Writes: r.prepared.writes}
		statement.Text = r.session.engine.Statements.ExecuteText(r.statement.Text, name)
	}
	return statement
}

// recordPrimary records the primary and epoch of the grant under which the
// request runs.
func (r *request) recordPrimary(grant *leadership.Grant) {
	r.server, r.role, r.epoch = grant.Primary, "primary", grant.Epoch
}

// finish counts the request and writes its log line.
func (r *request) finish(reply state.Reply) {
	took := time.Since(r.started)
	countOutcome(outcome{route: r.route.Consistency, kind: r.statement.Kind, code: reply.Code})
	if r.workspace != "" {
		r.session.engine.workspaces.count(r.table, r.workspace, reply.Code)
	}
	if r.attempts == 0 && reply.Code == state.CodeNone {
		return
	}
	observeDurations(r.route.Consistency, r.queued, r.ran, took)
	r.logLine(reply, took)
}

func (r *request) logLine(reply state.Reply, took time.Duration) {
	level := zerolog.InfoLevel
	if reply.Code != state.CodeNone {
		level = zerolog.WarnLevel
	}
	event := r.session.engine.Log.WithLevel(level)
	if event == nil {
		return
	}
	event = event.Str("request", state.Loggable(r.statement.ID)).Int("bytes", len(r.statement.Text)).Str("proof", state.Loggable(reply.Proof)).Uint64("session", r.session.number).Str("name", r.session.database).
		Stringer("kind", r.statement.Kind).Stringer("route", r.route.Consistency).Uint64("config", r.version).
		Str("workspace", string(r.workspace)).Str("group", string(r.route.Group)).Str("database", string(r.server)).Str("role", r.role).Uint64("epoch", r.epoch).
		Stringer("need", r.minPosition).Stringer("position", reply.Position).Int("tries", r.attempts).
		Dur("queued_ms", r.queued).Dur("ran_ms", r.ran).Dur("held_ms", took).Stringer("outcome", reply.Code)
	if reply.Detail != "" {
		event = event.Str("detail", state.Loggable(reply.Detail))
	}
	if r.lastError != nil {
		event = event.Str("last_failure", state.Loggable(r.lastError.Error()))
	}
	event.Msg("statement")
}
