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

// RequestTableDDL creates the table in which each group records the ids of the
// requests that ran. Operators create it once in each group. A row commits in
// the transaction of its request, so it exists if and only if the request ran,
// also after a change of primary. created_at_ms is the owner's wall clock in
// milliseconds since 1970 and serves to delete old rows.
const RequestTableDDL = `CREATE TABLE IF NOT EXISTS cyclamenpin_requests (
	plan text NOT NULL,
	request_id text NOT NULL,
	command_tag text NOT NULL,
	returned_rows boolean NOT NULL,
	created_at_ms bigint NOT NULL,
	PRIMARY KEY (plan, request_id)
)`

// SQLSTATEs of a reference to a missing table, and of a write that a backend
// server refuses because it is no longer the primary.
const (
	sqlStateUndefinedTable = "42P01"
	sqlStateReadOnly       = "25006"
)

// SQLStateAlreadyRun is the SQLSTATE of the reply to a request whose id is
// recorded and whose first reply cannot be reproduced in full. Class Y is
// free for implementations to define.
const SQLStateAlreadyRun = "Y1001"

// recordRequestID records the unit's request id in the transaction in which
// the unit will run. proceed is false when the id was recorded before; Receive
// then returns the recorded reply.
func (s *ownerStream) recordRequestID(ctx context.Context, inTransaction bool) (proceed bool, err error) {
	if !inTransaction {
		if _, err := s.runInternal(ctx, "BEGIN"); err != nil {
			return false, s.fail(err, "begin request")
		}
		s.unit.ownTransaction = !s.unit.unit.BeginsTransaction
	}
	insert := fmt.Sprintf(
		"INSERT INTO cyclamenpin_requests (plan, request_id, command_tag, returned_rows, created_at_ms) VALUES (%s, %s, '', false, %d) ON CONFLICT DO NOTHING",
		quoteLiteral(string(s.request.Plan)), quoteLiteral(s.unit.unit.RequestID), time.Now().UnixMilli())
	reply, err := s.runInternal(ctx, insert)
	if err != nil {
		return false, s.failRecording(ctx, err)
	}
	if reply.commandTag != "INSERT 0 0" {
		return true, nil
	}
	return false, s.replayRecorded(ctx, inTransaction)
}

// failRecording ends a unit whose request id could not be recorded. Nothing of
// the unit itself was sent.
func (s *ownerStream) failRecording(ctx context.Context, cause error) error {
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
	s.abortUnit()
	return failure
}

// replayRecorded replies to a repeated request from its record: with the same
// command tag where that was the whole reply, else with an error.
//
// The record on this primary does not prove that a majority holds it, since
// the primary may have been superseded meanwhile. So the record is written
// again, after the first in the log, and the reply waits until that write is
// acknowledged. Every failure from here on has an unknown outcome, because the
// request may have run before.
func (s *ownerStream) replayRecorded(ctx context.Context, inTransaction bool) error {
	running := s.unit
	reply, err := s.runInternal(ctx, fmt.Sprintf(
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
	if err := s.waitAcknowledged(ctx, s.conn.position); err != nil {
		s.broken = true
		return err
	}
	s.replay = &Event{
		Messages: recordedReply(reply.firstColumn, running.unit, s.txStatus), Done: true, TxStatus: s.txStatus,
		Position: s.conn.position, Holders: s.group.replication.Holders(s.conn.position),
	}
	return nil
}

// recordCondition selects the record of the running unit.
func (s *ownerStream) recordCondition() string {
	return fmt.Sprintf("plan = %s AND request_id = %s",
		quoteLiteral(string(s.request.Plan)), quoteLiteral(s.unit.unit.RequestID))
}

// rewriteRecord commits an update of the record. The caller's transaction, if
// one is open, is rolled back first; afterwards a new one is begun and made to
// fail, so that no further statement of the caller's transaction runs.
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
		reply, err := s.runInternal(ctx, sql)
		if err != nil {
			return err
		}
		if reply.commandTag == "UPDATE 0" {
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

// failRepeated ends a unit that may have run before, with an unknown outcome.
func (s *ownerStream) failRepeated(cause error, step string) error {
	s.abortUnit()
	return state.Unknown(state.ReasonConnectionLost, step, string(s.server.Database.ID), cause)
}

// recordedReply encodes the reply to a repeated request. recorded is the first
// reply's command tag, after a "+" if that reply had rows and a "-" if not.
func recordedReply(recorded string, unit Unit, txStatus byte) []byte {
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

// commitRequestID commits the transaction of a unit with a request id, or rolls
// it back when the unit failed, and makes the reply end outside a transaction.
// An error response means that the unit did not take effect.
func (s *ownerStream) commitRequestID(ctx context.Context) error {
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

// quoteLiteral quotes text as an SQL string that has the same value whether
// standard_conforming_strings is on or off.
func quoteLiteral(text string) string {
	quoted := "'" + strings.ReplaceAll(text, "'", "''") + "'"
	if !strings.Contains(text, `\`) {
		return quoted
	}
	return " E" + strings.ReplaceAll(quoted, `\`, `\\`)
}
