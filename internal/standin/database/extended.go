package database

import (
	"encoding/binary"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

var parameterPattern = regexp.MustCompile(`\$(\d+)`)

// preparedStatement is the result of a Parse message.
type preparedStatement struct {
	sql           string
	parameterOIDs []uint32
	described     bool
	columns       []column // valid once described; nil if the statement returns no rows
}

// portal is a prepared statement bound to its arguments.
type portal struct {
	statement *preparedStatement
	args      []any
	formats   []int16
	result    *result // nil until executed
	sent      int     // rows of result already sent
}

// extended handles one message of the extended query protocol, except Sync and
// Flush.
func (s *session) extended(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Parse:
		return s.parse(message)
	case *pgproto3.Bind:
		return s.bind(message)
	case *pgproto3.Describe:
		return s.describe(message)
	case *pgproto3.Execute:
		return s.executePortal(message)
	case *pgproto3.Close:
		if message.ObjectType == 'S' {
			delete(s.statements, message.Name)
		} else {
			delete(s.portals, message.Name)
		}
		s.backend.Send(&pgproto3.CloseComplete{})
		return nil
	default:
		return &sqlError{codeProtocolViolation, fmt.Sprintf("unexpected message %T", message)}
	}
}

// sync ends the implicit transaction of the messages since the last Sync.
func (s *session) sync() {
	if !s.skipping {
		if err := s.commitImplicit(); err != nil {
			s.fail(err)
		}
	}
	s.skipping = false
	if s.txState == txIdle {
		clear(s.portals)
	}
}

func (s *session) parse(message *pgproto3.Parse) error {
	if _, exists := s.statements[message.Name]; exists && message.Name != "" {
		return &sqlError{codeDuplicateStatement, fmt.Sprintf("prepared statement %q already exists", message.Name)}
	}
	statements := splitStatements(message.Query)
	if len(statements) > 1 {
		return &sqlError{codeSyntaxError, "cannot insert multiple commands into a prepared statement"}
	}
	prepared := &preparedStatement{parameterOIDs: make([]uint32, len(message.ParameterOIDs))}
	copy(prepared.parameterOIDs, message.ParameterOIDs)
	if len(statements) == 1 {
		prepared.sql = statements[0]
	}
	for len(prepared.parameterOIDs) < countParameters(prepared.sql) {
		prepared.parameterOIDs = append(prepared.parameterOIDs, 0)
	}
	s.statements[message.Name] = prepared
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func countParameters(sql string) int {
	count := 0
	scanSQL(sql, func(part string, code bool) {
		if !code {
			return
		}
		for _, match := range parameterPattern.FindAllStringSubmatch(part, -1) {
			if number, err := strconv.Atoi(match[1]); err == nil {
				count = max(count, number)
			}
		}
	})
	return count
}

func (s *session) bind(message *pgproto3.Bind) error {
	prepared, ok := s.statements[message.PreparedStatement]
	if !ok {
		return &sqlError{codeNoSuchStatement, fmt.Sprintf("prepared statement %q does not exist", message.PreparedStatement)}
	}
	if len(message.Parameters) != len(prepared.parameterOIDs) {
		return &sqlError{codeProtocolViolation, "bind message supplies a wrong number of parameters"}
	}
	bound := &portal{statement: prepared, formats: append([]int16(nil), message.ResultFormatCodes...)}
	for i, raw := range message.Parameters {
		format := formatOf(message.ParameterFormatCodes, i)
		value, err := decodeParameter(prepared.parameterOIDs[i], format, raw)
		if err != nil {
			return err
		}
		bound.args = append(bound.args, value)
	}
	s.portals[message.DestinationPortal] = bound
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// decodeParameter converts a parameter to a value for SQLite.
func decodeParameter(oid uint32, format int16, raw []byte) (any, error) {
	if raw == nil {
		return nil, nil
	}
	if format == pgtype.BinaryFormatCode {
		return decodeBinary(oid, raw)
	}
	return decodeText(oid, string(raw)), nil
}

// decodeText converts a text parameter. Where the type is not declared, a text
// counts as an integer only if formatting the integer gives the same text, so
// that a text column stores values such as "007" unchanged.
func decodeText(oid uint32, text string) any {
	switch oid {
	case pgtype.TextOID, pgtype.VarcharOID:
		return text
	case pgtype.BoolOID:
		if parsed, err := strconv.ParseBool(text); err == nil {
			return boolValue(parsed)
		}
	case pgtype.Float4OID, pgtype.Float8OID:
		if number, err := strconv.ParseFloat(text, 64); err == nil {
			return number
		}
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err == nil && strconv.FormatInt(number, 10) == text {
		return number
	}
	return text
}

func decodeBinary(oid uint32, raw []byte) (any, error) {
	switch {
	case oid == pgtype.Int8OID && len(raw) == 8:
		return int64(binary.BigEndian.Uint64(raw)), nil
	case oid == pgtype.Int4OID && len(raw) == 4:
		return int64(int32(binary.BigEndian.Uint32(raw))), nil
	case oid == pgtype.Int2OID && len(raw) == 2:
		return int64(int16(binary.BigEndian.Uint16(raw))), nil
	case oid == pgtype.Float8OID && len(raw) == 8:
		return math.Float64frombits(binary.BigEndian.Uint64(raw)), nil
	case oid == pgtype.BoolOID && len(raw) == 1:
		return boolValue(raw[0] != 0), nil
	case oid == pgtype.TextOID || oid == pgtype.VarcharOID || oid == 0:
		return string(raw), nil
	case oid == pgtype.ByteaOID:
		return append([]byte{}, raw...), nil
	}
	return nil, &sqlError{codeFeatureNotSupported, fmt.Sprintf("binary parameter of type %d is not supported", oid)}
}

func boolValue(value bool) int64 {
	if value {
		return 1
	}
	return 0
}

func (s *session) describe(message *pgproto3.Describe) error {
	if message.ObjectType == 'S' {
		prepared, ok := s.statements[message.Name]
		if !ok {
			return &sqlError{codeNoSuchStatement, fmt.Sprintf("prepared statement %q does not exist", message.Name)}
		}
		if err := s.describeStatement(prepared); err != nil {
			return err
		}
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: prepared.parameterOIDs})
		s.sendDescription(prepared, nil)
		return nil
	}
	bound, ok := s.portals[message.Name]
	if !ok {
		return &sqlError{codeNoSuchCursor, fmt.Sprintf("portal %q does not exist", message.Name)}
	}
	if err := s.describeStatement(bound.statement); err != nil {
		return err
	}
	s.sendDescription(bound.statement, bound.formats)
	return nil
}

func (s *session) sendDescription(prepared *preparedStatement, formats []int16) {
	if prepared.columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return
	}
	res := &result{columns: prepared.columns}
	s.backend.Send(res.description(formats))
}

// describeStatement determines the columns of a statement without executing its
// writes.
func (s *session) describeStatement(prepared *preparedStatement) error {
	if prepared.described {
		return nil
	}
	columns, err := s.findColumns(prepared)
	if err != nil {
		return err
	}
	prepared.columns, prepared.described = columns, true
	return nil
}

func (s *session) findColumns(prepared *preparedStatement) ([]column, error) {
	kind := classify(prepared.sql)
	switch kind {
	case kindRead, kindLockingRead:
		return s.columnsOf(toSQLite(prepared.sql, kind), len(prepared.parameterOIDs))
	case kindWrite:
		return s.returnedColumns(prepared.sql)
	case kindSleep:
		return textResult([]string{"pg_sleep"}, nil, "").columns, nil
	case kindShow:
		return textResult([]string{settingName(prepared.sql)}, nil, "").columns, nil
	case kindControl:
		return textResult(controlColumns, nil, "").columns, nil
	}
	return nil, nil
}

// columnsOf runs a read with null arguments and returns only its columns.
func (s *session) columnsOf(text string, parameters int) ([]column, error) {
	if s.txState == txFailed {
		return nil, &sqlError{codeFailedTransaction, "current transaction is aborted"}
	}
	res, err := s.runSQL(kindRead, text, make([]any, parameters))
	if err != nil {
		return nil, err
	}
	return res.columns, nil
}

// returnedColumns returns the columns of a write's RETURNING list. It selects
// that list from the target table with LIMIT 0.
func (s *session) returnedColumns(sql string) ([]column, error) {
	list := returningPattern.FindStringSubmatch(sql)
	target := writeTargetPattern.FindStringSubmatch(sql)
	if list == nil || target == nil {
		return nil, nil
	}
	probe := "SELECT " + list[1] + " FROM " + target[1] + " LIMIT 0"
	return s.columnsOf(toSQLite(probe, kindRead), countParameters(list[1]))
}

func (s *session) executePortal(message *pgproto3.Execute) error {
	bound, ok := s.portals[message.Portal]
	if !ok {
		return &sqlError{codeNoSuchCursor, fmt.Sprintf("portal %q does not exist", message.Portal)}
	}
	if bound.result == nil {
		if err := s.runPortal(bound); err != nil {
			return err
		}
	}
	if bound.statement.sql == "" {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	return s.sendPortal(bound, int(message.MaxRows))
}

func (s *session) runPortal(bound *portal) error {
	res, err := s.execute(bound.statement.sql, bound.args)
	if err != nil {
		return err
	}
	bound.result = res
	if bound.statement.described && len(bound.statement.columns) == len(res.columns) {
		res.columns = bound.statement.columns
	}
	return nil
}

// sendPortal sends up to limit rows, or all remaining rows if limit is 0.
func (s *session) sendPortal(bound *portal, limit int) error {
	rows := bound.result.rows[bound.sent:]
	suspended := limit > 0 && len(rows) > limit
	if suspended {
		rows = rows[:limit]
	}
	for _, row := range rows {
		message, err := dataRow(bound.result.columns, row, bound.formats)
		if err != nil {
			return err
		}
		s.backend.Send(message)
	}
	bound.sent += len(rows)
	if suspended {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	tag := bound.result.tag
	if strings.HasPrefix(tag, "SELECT ") && limit > 0 {
		tag = "SELECT " + strconv.Itoa(len(rows))
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}
