package database

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes and severities that the stand-in sends.
const (
	codeProtocolViolation   = "08P01"
	codeFeatureNotSupported = "0A000"
	codeInvalidTextValue    = "22P02"
	codeNotNullViolation    = "23502"
	codeForeignKeyViolation = "23503"
	codeUniqueViolation     = "23505"
	codeCheckViolation      = "23514"
	codeReadOnlyTransaction = "25006"
	codeNoActiveTransaction = "25P01"
	codeFailedTransaction   = "25P02"
	codeNoSuchSavepoint     = "3B001"
	codeNoSuchStatement     = "26000"
	codeNoSuchCursor        = "34000"
	codeSyntaxError         = "42601"
	codeUndefinedColumn     = "42703"
	codeUndefinedObject     = "42704"
	codeUndefinedTable      = "42P01"
	codeDuplicateStatement  = "42P05"
	codeDuplicateTable      = "42P07"
	codeTooManyConnections  = "53300"
	codeNotInPrerequisite   = "55000"
	codeQueryCanceled       = "57014"
	codeAdminShutdown       = "57P01"
	codeInternalError       = "XX000"
	severityError           = "ERROR"
	severityFatal           = "FATAL"
)

// sqlError is an error that reaches the client as an ErrorResponse.
type sqlError struct {
	code    string
	message string
}

// Error returns the code and the message.
func (e *sqlError) Error() string {
	return e.code + ": " + e.message
}

func errReadOnly() error {
	return &sqlError{codeReadOnlyTransaction, "cannot execute a write in a read-only transaction: not the primary"}
}

func errCanceled() error {
	return &sqlError{codeQueryCanceled, "canceling statement due to user request"}
}

// sqliteCodes maps substrings of SQLite's error messages to SQLSTATE codes.
var sqliteCodes = []struct{ part, code string }{
	{"UNIQUE constraint", codeUniqueViolation},
	{"NOT NULL constraint", codeNotNullViolation},
	{"CHECK constraint", codeCheckViolation},
	{"FOREIGN KEY constraint", codeForeignKeyViolation},
	{"no such table", codeUndefinedTable},
	{"no such column", codeUndefinedColumn},
	{"already exists", codeDuplicateTable},
	{"readonly database", codeReadOnlyTransaction},
	{"syntax error", codeSyntaxError},
	{"incomplete input", codeSyntaxError},
}

// asSQLError converts any error to an sqlError. An error that matches no entry of
// sqliteCodes becomes an internal error.
func asSQLError(err error) *sqlError {
	var known *sqlError
	if errors.As(err, &known) {
		return known
	}
	text := err.Error()
	for _, entry := range sqliteCodes {
		if strings.Contains(text, entry.part) {
			return &sqlError{entry.code, text}
		}
	}
	return &sqlError{codeInternalError, text}
}

func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	failure := asSQLError(err)
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                failure.code,
		Message:             failure.message,
	}
}
