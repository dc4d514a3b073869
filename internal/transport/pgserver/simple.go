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
		return c.replyWithError(unsupported(class))
	case c.session.TransactionLost():
		return c.runInLostTransaction(class)
	case isLocal(class):
		return c.runLocal(class, true)
	}
	query := pgproto3.Query{String: sql}
	messages, err := query.Encode(nil)
	if err != nil {
		return c.replyWithError(outcome.NewError(outcome.SQLStateProtocolViolation, err.Error()))
	}
	request := newUnitRequest(class)
	request.unit.Messages = messages
	return c.run(request)
}

func unsupported(class statement.Class) *pgproto3.ErrorResponse {
	return outcome.NewError(outcome.SQLStateFeatureNotSupported, class.Unsupported+" is not supported by this proxy")
}

// runInLostTransaction replies to a statement in a transaction whose backend
// connection was lost. It accepts only COMMIT and ROLLBACK, and replies to both
// with ROLLBACK.
func (c *conn) runInLostTransaction(class statement.Class) error {
	if !endsTransaction(class.Kind) {
		return c.replyWithError(failedTransaction())
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

// unitRequest is a unit together with the freshness that it requires and the
// classes of its statements.
type unitRequest struct {
	unit      execution.Unit
	freshness session.Freshness
	classes   []statement.Class
}

// newUnitRequest returns a request for classified statements, without messages.
func newUnitRequest(classes ...statement.Class) *unitRequest {
	request := &unitRequest{classes: classes}
	request.unit.Access = execution.AccessRead
	request.freshness.Any = true
	for _, class := range classes {
		request.addStatement(class)
	}
	return request
}

// addStatement extends the request by the requirements of one statement.
func (r *unitRequest) addStatement(class statement.Class) {
	switch class.Kind {
	case statement.KindRead:
		r.freshness.Any = false
	case statement.KindSet, statement.KindReset, statement.KindDiscard:
		r.unit.ChangesSettings = true
	case statement.KindShow, statement.KindEmpty:
	case statement.KindBegin:
		r.freshness.Any = false
		if !class.ReadOnly {
			r.unit.Access = execution.AccessWrite
		}
	default:
		r.unit.Access = execution.AccessWrite
	}
	r.unit.Pins = r.unit.Pins || class.Pins
	if class.RequestID != "" {
		r.unit.RequestID = class.RequestID
	}
	if class.HasMaxAge {
		r.freshness.MaxAge = class.MaxAge
	}
}

// run runs a unit. It fills in the session's parameters that the statements do
// not set, and records the parameter changes that the unit made.
func (c *conn) run(request *unitRequest) error {
	c.applySessionParameters(request)
	if response := c.validate(request); response != nil {
		return c.replyWithError(response)
	}
	before := c.session.Status()
	errored, partial := false, false
	err := c.session.Run(c.ctx, request.unit, request.freshness, func(event execution.Event) error {
		partial = event.Partial
		if event.Done {
			errored = event.Errored
			c.afterUnit(request, before, errored)
		}
		return c.deliver(event)
	})
	if err == nil {
		return nil
	}
	if partial {
		return eris.Wrap(err, "reply ended in the middle of a message")
	}
	if before != session.StatusIdle && c.endsTransactionBlock(request) {
		c.endLostTransaction()
	}
	if c.session.StateLost() {
		return c.endAfterStateLoss(err)
	}
	return c.replyWithFailure(err)
}

// endAfterStateLoss ends a connection whose temporary tables or session locks
// were lost, since later requests would silently run without them. The error
// response reports the outcome of the request.
func (c *conn) endAfterStateLoss(err error) error {
	failure, ok := state.AsFailure(err)
	if !ok {
		return err
	}
	countFailure(failure)
	response := outcome.Response(failure)
	response.Message += "; the session's temporary tables and locks are lost with it"
	return c.sendFatal(response)
}

// applySessionParameters adds the session's request id and maximum staleness to
// a unit that sets none of its own.
func (c *conn) applySessionParameters(request *unitRequest) {
	if request.unit.RequestID == "" && request.unit.Access == execution.AccessWrite {
		request.unit.RequestID = c.requestID
		c.requestID = ""
	}
	if request.unit.RequestID != "" {
		request.unit.Access = execution.AccessWrite
		c.placeRequestID(request)
	}
	if request.freshness.MaxAge == 0 {
		request.freshness.MaxAge = c.maxAge
	}
}

// placeRequestID makes sure that the request id of a transaction block is
// recorded inside the block. A unit that only begins the block leaves the id to
// the next unit.
func (c *conn) placeRequestID(request *unitRequest) {
	begins := countKind(request.classes, statement.KindBegin)
	switch {
	case begins == 0:
	case begins == len(request.classes):
		c.requestID = request.unit.RequestID
		request.unit.RequestID = ""
	default:
		request.unit.BeginsTransaction = true
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

// validate returns the error response for a unit that the plan does not allow or
// that cannot run safely, else nil.
func (c *conn) validate(request *unitRequest) *pgproto3.ErrorResponse {
	for _, class := range request.classes {
		if request.unit.RequestID != "" && class.ControlsTransaction {
			return outcome.NewError(outcome.SQLStateFeatureNotSupported,
				"a request id with transaction control inside one string of statements is not supported by this proxy")
		}
	}
	return c.checkMaxAge(request)
}

// checkMaxAge returns an error response if the maximum staleness is above the
// plan's limit, else nil.
func (c *conn) checkMaxAge(request *unitRequest) *pgproto3.ErrorResponse {
	allowed := c.planLimit().MaxStaleness()
	if request.freshness.MaxAge <= allowed {
		return nil
	}
	return outcome.NewError(outcome.SQLStateInvalidParameter,
		fmt.Sprintf("max_staleness %s is beyond the plan's limit of %s", request.freshness.MaxAge, allowed))
}

// afterUnit records the parameter changes of a unit that has completed, and of a
// transaction that has ended.
func (c *conn) afterUnit(request *unitRequest, before byte, errored bool) {
	if !errored {
		for _, class := range request.classes {
			c.recordSetting(class)
		}
	}
	if before != session.StatusIdle && c.session.Status() == session.StatusIdle {
		committed := before == session.StatusActive && !errored && c.commits(request)
		c.session.EndTransactionSettings(committed)
	}
}

func (c *conn) recordSetting(class statement.Class) {
	if class.SettingLocal || class.Statements != 1 {
		return
	}
	switch class.Kind {
	case statement.KindSet:
		c.session.ChangeSetting(class.SettingName, class.SettingValue)
	case statement.KindReset:
		if class.SettingName == allSettings {
			c.session.ResetAllSettings()
			return
		}
		c.session.ResetSetting(class.SettingName)
	}
}

func (c *conn) commits(request *unitRequest) bool {
	return countKind(request.classes, statement.KindCommit) > 0
}

func (c *conn) endsTransactionBlock(request *unitRequest) bool {
	return c.commits(request) || countKind(request.classes, statement.KindRollback) > 0
}
