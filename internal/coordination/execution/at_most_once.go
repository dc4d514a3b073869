package execution

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// LedgerDDL creates the table in which each group keeps the ids of the
// requests that ran. Operators create it once in each group. The row commits in
// the transaction of the request itself, so it is there if and only if the
// request ran, on whichever primary the group has later. created_at_ms is the
// owner's wall clock in milliseconds since 1970, for the deletion of old rows.
const LedgerDDL = `CREATE TABLE IF NOT EXISTS cyclamenpin_requests (
	plan text NOT NULL,
	request_id text NOT NULL,
	command_tag text NOT NULL,
	returned_rows boolean NOT NULL,
	created_at_ms bigint NOT NULL,
	PRIMARY KEY (plan, request_id)
)`

// SQLSTATE of the table that a backend server lacks.
const sqlStateUndefinedTable = "42P01"

// SQLStateAlreadyRun is the SQLSTATE of the answer to a request whose id is
// recorded and whose first answer cannot be given again in full. Class Y is
// free for implementations to define.
const SQLStateAlreadyRun = "Y1001"

// beginOnce records the unit's request id in the transaction in which the unit
// will run. proceed is false when the id was there already; the recorded
// answer is then what Receive returns.
func (s *ownerStream) beginOnce(ctx context.Context, inTransaction bool) (proceed bool, err error) {
	if !inTransaction {
		if _, err := s.runInternal(ctx, "BEGIN"); err != nil {
			return false, s.fail(err, "begin request")
		}
		s.unit.once = !s.unit.unit.Begins
	}
	insert := fmt.Sprintf(
		"INSERT INTO cyclamenpin_requests (plan, request_id, command_tag, returned_rows, created_at_ms) VALUES (%s, %s, '', false, %d) ON CONFLICT DO NOTHING",
		quoteLiteral(string(s.request.Plan)), quoteLiteral(s.unit.unit.RequestID), time.Now().UnixMilli())
	answer, err := s.runInternal(ctx, insert)
	if err != nil {
		return false, s.failOnce(ctx, err)
	}
	if answer.commandTag != "INSERT 0 0" {
		return true, nil
	}
	return false, s.replayRecorded(ctx, inTransaction)
}

// failOnce ends a unit whose request id could not be recorded. Nothing of the
// unit itself was sent.
func (s *ownerStream) failOnce(ctx context.Context, cause error) error {
	peer := string(s.server.Database.ID)
	failure := s.owner.notRun(state.ReasonConnectionLost, "record request id", peer, cause)
	var refused *refusedError
	if errors.As(cause, &refused) {
		failure.Reason = state.ReasonUnsupported
		failure.Message = "the request id could not be recorded: " + refused.text
		if refused.sqlState == sqlStateUndefinedTable {
			failure.Message = "the group has no table cyclamenpin_requests; see docs/OPERATIONS.md"
		}
		_, _ = s.runInternal(ctx, "ROLLBACK")
	}
	s.endUnit()
	return failure
}

// replayRecorded answers a repeated request from what was recorded: by the
// same command tag where that was the whole answer, else by an error.
func (s *ownerStream) replayRecorded(ctx context.Context, inTransaction bool) error {
	running := s.unit
	query := fmt.Sprintf(
		"SELECT CASE WHEN returned_rows THEN '+' ELSE '-' END || command_tag FROM cyclamenpin_requests WHERE plan = %s AND request_id = %s",
		quoteLiteral(string(s.request.Plan)), quoteLiteral(running.unit.RequestID))
	answer, err := s.runInternal(ctx, query)
	if err != nil {
		return s.fail(err, "read recorded request")
	}
	if err := s.endRepeated(ctx, inTransaction); err != nil {
		return s.fail(err, "end repeated request")
	}
	running.silence.stop()
	running.slot.Release(true)
	s.unit = nil
	s.replay = &Event{Messages: recordedAnswer(answer.firstColumn, running.unit, s.txStatus), Done: true, TxStatus: s.txStatus}
	return nil
}

// endRepeated ends the proxy's own transaction, or makes the caller's fail, so
// that nothing more of a repeated transaction runs.
func (s *ownerStream) endRepeated(ctx context.Context, inTransaction bool) error {
	if !inTransaction {
		_, err := s.runInternal(ctx, "ROLLBACK")
		return err
	}
	var refused *refusedError
	if _, err := s.runInternal(ctx, "cyclamenpin_repeated_request"); !errors.As(err, &refused) {
		return eris.Wrap(err, "fail repeated transaction")
	}
	return nil
}

// recordedAnswer encodes the answer to a repeated request. recorded is a sign
// that tells whether the first answer had rows, and its command tag.
func recordedAnswer(recorded string, unit Unit, txStatus byte) []byte {
	tag := strings.TrimLeft(recorded, "+-")
	returnedRows := strings.HasPrefix(recorded, "+")
	var messages []byte
	if txStatus != txIdle || returnedRows || unit.Extended {
		text := fmt.Sprintf("request %q has already run (%s)", unit.RequestID, tag)
		messages = appendErrorResponse(messages, SQLStateAlreadyRun, text)
	} else {
		messages = appendCommandComplete(messages, tag)
	}
	return appendReadyForQuery(messages, txStatus)
}

// endOnce commits the transaction of a unit with a request id, or rolls it back
// when the unit failed, and makes the answer end outside a transaction. A
// refusal by the backend server means that the unit did not take effect.
func (s *ownerStream) endOnce(ctx context.Context) error {
	running := s.unit
	last := len(s.buffer) - 1
	s.buffer[last] = txIdle
	if s.txStatus != txActive {
		_, err := s.runInternal(ctx, "ROLLBACK")
		return err
	}
	update := fmt.Sprintf(
		"UPDATE cyclamenpin_requests SET command_tag = %s, returned_rows = %t WHERE plan = %s AND request_id = %s",
		quoteLiteral(running.commandTag), running.returnsRows,
		quoteLiteral(string(s.request.Plan)), quoteLiteral(running.unit.RequestID))
	if _, err := s.runInternal(ctx, update); err != nil {
		return err
	}
	_, err := s.runInternal(ctx, "COMMIT")
	return err
}

// quoteLiteral quotes text as an SQL string.
func quoteLiteral(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
