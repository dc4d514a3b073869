package pgserver

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/session"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/outcome"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/statement"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// simpleQuery runs a Query message.
func (c *conn) simpleQuery(sql string) error {
	c.batch.reset()
	class := statement.Classify(sql)
	switch {
	case class.Kind == statement.KindEmpty:
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return c.sendReady()
	case class.Kind == statement.KindUnsupported:
		return c.answerError(unsupported(class))
	case c.session.TransactionLost():
		return c.runInLostTransaction(class)
	case isLocal(class):
		return c.runLocal(class, true)
	}
	query := pgproto3.Query{String: sql}
	messages, err := query.Encode(nil)
	if err != nil {
		return c.answerError(outcome.NewError(outcome.SQLStateProtocolViolation, err.Error()))
	}
	work := newWork(class)
	work.unit.Messages = messages
	return c.run(work)
}

func unsupported(class statement.Class) *pgproto3.ErrorResponse {
	return outcome.NewError(outcome.SQLStateFeatureNotSupported, class.Unsupported+" is not supported by this proxy")
}

// runInLostTransaction answers within a transaction whose backend connection
// is gone: only its end is accepted, and ends it as a rollback.
func (c *conn) runInLostTransaction(class statement.Class) error {
	if !endsTransaction(class.Kind) {
		return c.answerError(failedTransaction())
	}
	c.endLostTransaction()
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	return c.sendReady()
}

func (c *conn) endLostTransaction() {
	c.session.EndLostTransaction()
	c.session.EndTransactionSettings(false)
}

func failedTransaction() *pgproto3.ErrorResponse {
	return outcome.NewError(outcome.SQLStateFailedTransaction,
		"the transaction was lost with its backend connection; commands are ignored until the end of the transaction block")
}

func endsTransaction(kind statement.Kind) bool {
	return kind == statement.KindCommit || kind == statement.KindRollback
}

// work is a unit and what must happen around it.
type work struct {
	unit      execution.Unit
	freshness session.Freshness
	classes   []statement.Class
}

// newWork starts the work for one or more classified statements.
func newWork(classes ...statement.Class) *work {
	w := &work{classes: classes}
	w.unit.Access = execution.AccessRead
	w.freshness.Any = true
	for _, class := range classes {
		w.take(class)
	}
	return w
}

// take merges the needs of one statement.
func (w *work) take(class statement.Class) {
	switch class.Kind {
	case statement.KindRead:
		w.freshness.Any = false
	case statement.KindSet, statement.KindReset, statement.KindDiscard:
		w.unit.ChangesSettings = true
	case statement.KindShow, statement.KindEmpty:
	case statement.KindBegin:
		w.freshness.Any = false
		if !class.ReadOnly {
			w.unit.Access = execution.AccessWrite
		}
	default:
		w.unit.Access = execution.AccessWrite
	}
	w.unit.Pins = w.unit.Pins || class.Pins
	if class.RequestID != "" {
		w.unit.RequestID = class.RequestID
	}
	if class.HasMaxAge {
		w.freshness.MaxAge = class.MaxAge
	}
}

// run runs a unit, with the session's own parameters where the statements do
// not set them, and takes over what it changed.
func (c *conn) run(w *work) error {
	c.applySessionParameters(w)
	if response := c.check(w); response != nil {
		return c.answerError(response)
	}
	before := c.session.Status()
	errored, partial := false, false
	err := c.session.Run(c.ctx, w.unit, w.freshness, func(event execution.Event) error {
		partial = event.Partial
		if event.Done {
			errored = event.Errored
			c.afterUnit(w, before, errored)
		}
		return c.deliver(event)
	})
	if err == nil {
		return nil
	}
	if partial {
		return eris.Wrap(err, "answer ended in the middle of a message")
	}
	if before != session.StatusIdle && c.endsTransactionBlock(w) {
		c.endLostTransaction()
	}
	if c.session.StateLost() {
		return c.endWithoutState(err)
	}
	return c.answerFailure(err)
}

// endWithoutState ends a connection whose temporary tables or session locks are
// gone: going on would silently do without them. The error tells what became of
// the request.
func (c *conn) endWithoutState(err error) error {
	failure, ok := state.AsFailure(err)
	if !ok {
		return err
	}
	countFailure(failure)
	response := outcome.Response(failure)
	response.Message += "; the session's temporary tables and locks are lost with it"
	return c.refuse(response)
}

// applySessionParameters adds the session's request id and staleness to a unit
// that names none of its own.
func (c *conn) applySessionParameters(w *work) {
	if w.unit.RequestID == "" && w.unit.Access == execution.AccessWrite {
		w.unit.RequestID = c.requestID
		c.requestID = ""
	}
	if w.unit.RequestID != "" {
		w.unit.Access = execution.AccessWrite
		c.placeRequestID(w)
	}
	if w.freshness.MaxAge == 0 {
		w.freshness.MaxAge = c.maxAge
	}
}

// placeRequestID has the id of a whole transaction recorded inside it: a lone
// BEGIN leaves it to the next unit.
func (c *conn) placeRequestID(w *work) {
	begins := countKind(w.classes, statement.KindBegin)
	switch {
	case begins == 0:
	case begins == len(w.classes):
		c.requestID = w.unit.RequestID
		w.unit.RequestID = ""
	default:
		w.unit.Begins = true
	}
}

func countKind(classes []statement.Class, kind statement.Kind) int {
	count := 0
	for _, class := range classes {
		if class.Kind == kind {
			count++
		}
	}
	return count
}

// check refuses what the plan may not have and what cannot be done safely.
func (c *conn) check(w *work) *pgproto3.ErrorResponse {
	for _, class := range w.classes {
		if w.unit.RequestID != "" && class.ControlsTransaction {
			return outcome.NewError(outcome.SQLStateFeatureNotSupported,
				"a request id with transaction control inside one string of statements is not supported by this proxy")
		}
	}
	return c.checkAge(w)
}

// checkAge refuses an age beyond what the plan may accept.
func (c *conn) checkAge(w *work) *pgproto3.ErrorResponse {
	allowed := c.planLimit().MaxStaleness()
	if w.freshness.MaxAge <= allowed {
		return nil
	}
	return outcome.NewError(outcome.SQLStateInvalidParameter,
		fmt.Sprintf("max_staleness %s is beyond the plan's limit of %s", w.freshness.MaxAge, allowed))
}

// afterUnit takes over parameter changes of a unit that was served.
func (c *conn) afterUnit(w *work, before byte, errored bool) {
	if !errored {
		for _, class := range w.classes {
			c.takeSetting(class)
		}
	}
	if before != session.StatusIdle && c.session.Status() == session.StatusIdle {
		committed := before == session.StatusActive && !errored && c.commits(w)
		c.session.EndTransactionSettings(committed)
	}
}

func (c *conn) takeSetting(class statement.Class) {
	if class.SettingLocal || class.Statements != 1 {
		return
	}
	switch class.Kind {
	case statement.KindSet:
		c.session.ChangeSetting(class.SettingName, class.SettingValue)
	case statement.KindReset:
		c.session.ResetSetting(class.SettingName)
	}
}

func (c *conn) commits(w *work) bool {
	return countKind(w.classes, statement.KindCommit) > 0
}

func (c *conn) endsTransactionBlock(w *work) bool {
	return c.commits(w) || countKind(w.classes, statement.KindRollback) > 0
}
