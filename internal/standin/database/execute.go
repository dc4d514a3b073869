package database

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// execute runs one statement of any kind.
func (s *session) execute(statement string, args []any) (*result, error) {
	kind := classify(statement)
	if s.txState == txFailed && kind != kindCommit && kind != kindRollback && kind != kindRollbackTo && kind != kindControl {
		return nil, &sqlError{codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block"}
	}
	switch kind {
	case kindControl:
		return s.run.server.node.executeControl(statement)
	case kindBegin:
		return s.begin(statement), nil
	case kindCommit:
		return s.commit()
	case kindRollback:
		return s.rollback(), nil
	case kindSet, kindReset, kindShow, kindDiscard, kindDeallocate:
		return s.executeSetting(kind, statement)
	case kindSetConfig:
		return s.setConfig(statement)
	case kindActivity:
		return s.activity(statement)
	case kindTerminate:
		return s.terminate(statement)
	case kindEmpty:
		return &result{}, nil
	default:
		return s.executeOrdinary(kind, statement, args)
	}
}

func (s *session) begin(statement string) *result {
	if s.txState == txIdle {
		s.readOnly = readOnlyPattern.MatchString(statement)
		s.txState = txOpen
		s.savepoints = 0
		s.settings.begin()
	}
	return &result{tag: "BEGIN"}
}

func (s *session) commit() (*result, error) {
	if s.txState == txFailed {
		return s.rollback(), nil
	}
	err := s.commitWrites()
	s.txState = txIdle
	s.settings.end(err == nil)
	if err != nil {
		return nil, err
	}
	return &result{tag: "COMMIT"}, nil
}

func (s *session) rollback() *result {
	s.rollbackWrites()
	s.txState = txIdle
	s.settings.end(false)
	return &result{tag: "ROLLBACK"}
}

// commitImplicit commits the writes made outside a transaction block.
func (s *session) commitImplicit() error {
	if s.txState != txIdle {
		return nil
	}
	return s.commitWrites()
}

// commitWrites commits the open write transaction, if any. The commit of a
// transaction block takes a slot.
func (s *session) commitWrites() error {
	if s.tx == nil {
		return nil
	}
	tx := s.tx
	s.tx = nil
	ctx, done := s.statementContext()
	defer done()
	if s.txState == txOpen {
		release, err := s.run.acquireSlot(ctx)
		if err != nil {
			s.run.server.node.rollback(tx)
			return err
		}
		defer release()
	}
	if !s.run.server.gate.wait(s.run.ctx.Done()) {
		s.run.server.node.rollback(tx)
		return &sqlError{codeAdminShutdown, "terminating connection"}
	}
	position, err := s.run.server.node.commit(tx)
	if err != nil {
		return err
	}
	if !position.IsZero() {
		s.position = position
	}
	return nil
}

func (s *session) executeSetting(kind statementKind, statement string) (*result, error) {
	tag := strings.ToUpper(firstWord(statement))
	switch kind {
	case kindShow:
		return s.settings.show(statement)
	case kindSet:
		if err := s.settings.set(statement); err != nil {
			return nil, err
		}
	case kindReset:
		s.settings.reset(statement)
	case kindDiscard:
		s.settings.reset("RESET ALL")
		clear(s.statements)
		clear(s.portals)
		tag = "DISCARD ALL"
	case kindDeallocate:
		if err := s.deallocate(deallocatePattern.FindStringSubmatch(statement)[1]); err != nil {
			return nil, err
		}
	}
	if kind == kindSet || kind == kindReset {
		s.reportSettings()
	}
	return &result{tag: tag}, nil
}

func (s *session) deallocate(name string) error {
	if strings.EqualFold(name, "all") {
		clear(s.statements)
		return nil
	}
	name = unquote(name)
	if _, exists := s.statements[name]; !exists {
		return &sqlError{codeNoSuchStatement, fmt.Sprintf("prepared statement %q does not exist", name)}
	}
	delete(s.statements, name)
	return nil
}

// reportSettings sends a ParameterStatus for each parameter that PostgreSQL
// reports on change.
func (s *session) reportSettings() {
	for _, name := range reportedSettings {
		value, _ := s.settings.get(name)
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: value})
	}
}

// executeOrdinary runs a statement that takes a slot. It waits for the writer
// engine before it takes the slot, so that sessions waiting for the writer cannot
// occupy the slot that the open write transaction needs to finish.
func (s *session) executeOrdinary(kind statementKind, statement string, args []any) (*result, error) {
	ctx, done := s.statementContext()
	defer done()
	if err := s.prepareWrite(ctx, kind); err != nil {
		return nil, err
	}
	release, err := s.run.acquireSlot(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	if kind == kindSleep {
		return s.sleep(ctx, statement)
	}
	text, err := makeDeterministic(toSQLite(statement, kind), kind)
	if err != nil {
		return nil, err
	}
	res, err := s.runSQL(kind, text, args)
	if err != nil {
		return nil, err
	}
	s.countSavepoints(kind, statement)
	return res, nil
}

// prepareWrite starts a write transaction where the statement needs one.
func (s *session) prepareWrite(ctx context.Context, kind statementKind) error {
	writes := kind == kindWrite || kind == kindLockingRead
	if !writes && kind != kindSavepoint || s.tx != nil {
		return nil
	}
	if kind == kindSavepoint && s.txState == txIdle {
		return &sqlError{codeNoActiveTransaction, "SAVEPOINT can only be used in transaction blocks"}
	}
	if s.txState != txIdle && s.readOnly {
		if writes {
			return errReadOnly()
		}
		return nil
	}
	tx, err := s.run.server.node.beginWrite(ctx)
	if err != nil {
		if writes {
			return err
		}
		return nil // a savepoint in a read-only transaction
	}
	s.tx = tx
	return nil
}

func (s *session) runSQL(kind statementKind, text string, args []any) (*result, error) {
	if s.tx != nil {
		return s.run.server.node.run(s.tx, kind, text, args)
	}
	switch kind {
	case kindSavepoint:
		return &result{tag: commandTag(text, 0)}, nil
	case kindRollbackTo:
		if s.savepoints == 0 {
			return nil, &sqlError{codeNoSuchSavepoint, "no such savepoint"}
		}
		return &result{tag: commandTag(text, 0)}, nil
	}
	return runOn(s.run.server.node.reader, kind, text, args)
}

func (s *session) countSavepoints(kind statementKind, statement string) {
	switch {
	case kind == kindRollbackTo:
		s.txState = txOpen
	case kind == kindSavepoint && strings.EqualFold(firstWord(statement), "savepoint"):
		s.savepoints++
	}
}

func (s *session) sleep(ctx context.Context, statement string) (*result, error) {
	seconds, err := strconv.ParseFloat(sleepPattern.FindStringSubmatch(statement)[1], 64)
	if err != nil {
		return nil, &sqlError{codeInvalidTextValue, "invalid duration"}
	}
	if !pause(ctx, time.Duration(seconds*float64(time.Second))) || !s.run.server.gate.wait(ctx.Done()) {
		return nil, errCanceled()
	}
	return textResult([]string{"pg_sleep"}, []any{""}, "SELECT 1"), nil
}

// commandTag returns PostgreSQL's command tag for a statement, given the number of
// rows that it affected or returned.
func commandTag(text string, rows int64) string {
	word := strings.ToUpper(firstWord(text))
	count := strconv.FormatInt(rows, 10)
	switch word {
	case "INSERT", "REPLACE":
		return "INSERT 0 " + count
	case "UPDATE", "DELETE", "SELECT":
		return word + " " + count
	case "WITH", "VALUES":
		return "SELECT " + count
	case "CREATE", "DROP", "ALTER":
		fields := strings.Fields(text)
		if len(fields) > 1 {
			return word + " " + strings.ToUpper(fields[1])
		}
	}
	return word
}
