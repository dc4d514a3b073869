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

// RequestTableDDL creates the table in which each group keeps the ids of the
// requests that ran. Operators create it once in each group. The row commits in
// the transaction of the request itself, so it is there if and only if the
// request ran, on whichever primary the group has later. created_at_ms is the
// owner's wall clock in milliseconds since 1970, for the deletion of old rows.
const RequestTableDDL = `CREATE TABLE IF NOT EXISTS cyclamenpin_requests (
	plan text NOT NULL,
	request_id text NOT NULL,
	command_tag text NOT NULL,
	returned_rows boolean NOT NULL,
	created_at_ms bigint NOT NULL,
	PRIMARY KEY (plan, request_id)
)`

// SQLSTATEs of a table that a backend server lacks, and of a write that it
// refuses because it is no longer the primary.
const (
	sqlStateUndefinedTable = "42P01"
	sqlStateReadOnly       = "25006"
)

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
		switch refused.sqlState {
		case sqlStateUndefinedTable:
			failure.Message = "the group has no table cyclamenpin_requests; see docs/OPERATIONS.md"
		case sqlStateReadOnly:
			failure.Reason = state.ReasonSuperseded
		}
		_, _ = s.runInternal(ctx, "ROLLBACK")
	}
	s.endUnit()
	return failure
}

// replayRecorded answers a repeated request from what was recorded: by the
// same command tag where that was the whole answer, else by an error.
//
// That this primary recorded the request does not mean that a majority holds
// the record: the primary may have been superseded since. So the record is
// written once more, behind the first in the log, and the answer waits for the
// acknowledgement of that. From here on the request may have run before, and a
// failure says so.
func (s *ownerStream) replayRecorded(ctx context.Context, inTransaction bool) error {
	running := s.unit
	answer, err := s.runInternal(ctx, fmt.Sprintf(
		"SELECT CASE WHEN returned_rows THEN '+' ELSE '-' END || command_tag FROM cyclamenpin_requests WHERE %s", s.recordCondition()))
	if err != nil {
		return s.failRepeated(err, "read recorded request")
	}
	if err := s.rewriteRecord(ctx, inTransaction); err != nil {
		return s.failRepeated(err, "confirm recorded request")
	}
	running.silence.stop()
	running.slot.Release(true)
	s.unit = nil
	if err := s.acknowledge(ctx, s.conn.position); err != nil {
		s.broken = true
		return err
	}
	s.replay = &Event{
		Messages: recordedAnswer(answer.firstColumn, running.unit, s.txStatus), Done: true, TxStatus: s.txStatus,
		Position: s.conn.position, Holders: s.group.replication.Holders(s.conn.position),
	}
	return nil
}

// recordCondition selects the record of the running unit.
func (s *ownerStream) recordCondition() string {
	return fmt.Sprintf("plan = %s AND request_id = %s",
		quoteLiteral(string(s.request.Plan)), quoteLiteral(s.unit.unit.RequestID))
}

// rewriteRecord commits the record once more. A transaction of the caller's is
// rolled back for it and made to fail, so that nothing more of it runs.
func (s *ownerStream) rewriteRecord(ctx context.Context, inTransaction bool) error {
	script := []string{
		fmt.Sprintf("UPDATE cyclamenpin_requests SET created_at_ms = %d WHERE %s", time.Now().UnixMilli(), s.recordCondition()),
		"COMMIT",
	}
	if inTransaction {
		script = append([]string{"ROLLBACK", "BEGIN"}, script...)
		script = append(script, "BEGIN")
	}
	for _, sql := range script {
		answer, err := s.runInternal(ctx, sql)
		if err != nil {
			return err
		}
		if answer.commandTag == "UPDATE 0" {
			return eris.New("the record was deleted meanwhile")
		}
	}
	if !inTransaction {
		return nil
	}
	var refused *refusedError
	if _, err := s.runInternal(ctx, "cyclamenpin_repeated_request"); !errors.As(err, &refused) {
		return eris.Wrap(err, "fail repeated transaction")
	}
	return nil
}

// failRepeated ends a unit that had run before, for all that is known.
func (s *ownerStream) failRepeated(cause error, step string) error {
	s.endUnit()
	return state.Unknown(state.ReasonConnectionLost, step, string(s.server.Database.ID), cause)
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
