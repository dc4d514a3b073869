// Package outcome converts failures into PostgreSQL error responses, with an
// SQLSTATE that drivers recognise and a machine-readable detail field.
package outcome

import (
	"encoding/json"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// SQLSTATEs of failures, from appendix A of the PostgreSQL documentation.
const (
	// SQLStateUnknown is transaction_resolution_unknown.
	SQLStateUnknown = "08007"
	// SQLStateCannotConnectNow is cannot_connect_now.
	SQLStateCannotConnectNow = "57P03"
	// SQLStateInsufficientResources is insufficient_resources.
	SQLStateInsufficientResources = "53000"
	// SQLStateTooManyConnections is too_many_connections.
	SQLStateTooManyConnections = "53300"
	// SQLStateInsufficientPrivilege is insufficient_privilege.
	SQLStateInsufficientPrivilege = "42501"
	// SQLStateFeatureNotSupported is feature_not_supported.
	SQLStateFeatureNotSupported = "0A000"
	// SQLStateIdleInTransaction is idle_in_transaction_session_timeout.
	SQLStateIdleInTransaction = "25P03"
	// SQLStateFailedTransaction is in_failed_sql_transaction.
	SQLStateFailedTransaction = "25P02"
	// SQLStateAdminShutdown is admin_shutdown.
	SQLStateAdminShutdown = "57P01"
	// SQLStateInvalidPassword is invalid_password.
	SQLStateInvalidPassword = "28P01"
	// SQLStateProtocolViolation is protocol_violation.
	SQLStateProtocolViolation = "08P01"
	// SQLStateInvalidParameter is invalid_parameter_value.
	SQLStateInvalidParameter = "22023"
	// SQLStateUndefinedStatement is invalid_sql_statement_name.
	SQLStateUndefinedStatement = "26000"
	// SQLStateInternalError is internal_error.
	SQLStateInternalError = "XX000"
)

var sqlStateOfReason = map[state.Reason]string{
	state.ReasonOverloaded:       SQLStateInsufficientResources,
	state.ReasonPlanLimit:        SQLStateTooManyConnections,
	state.ReasonNotAllowed:       SQLStateInsufficientPrivilege,
	state.ReasonUnsupported:      SQLStateFeatureNotSupported,
	state.ReasonTransactionLimit: SQLStateIdleInTransaction,
}

// SQLState returns the SQLSTATE of a failure. An unknown outcome takes
// precedence over the reason.
func SQLState(failure *state.Failure) string {
	if failure.Outcome == state.OutcomeUnknown {
		return SQLStateUnknown
	}
	if sqlState, found := sqlStateOfReason[failure.Reason]; found {
		return sqlState
	}
	return SQLStateCannotConnectNow
}

// Detail is the content of an error response's detail field, encoded as JSON.
type Detail struct {
	Outcome          string       `json:"outcome"`
	Reason           state.Reason `json:"reason"`
	RetryAfterMillis int64        `json:"retry_after_ms"`
	Step             string       `json:"step"`
	Peer             string       `json:"peer,omitempty"`
}

// Response returns the error response for a failure.
func Response(failure *state.Failure) *pgproto3.ErrorResponse {
	detail, err := json.Marshal(Detail{
		Outcome: failure.Outcome.String(), Reason: failure.Reason,
		RetryAfterMillis: failure.RetryAfter.Milliseconds(), Step: failure.Step, Peer: failure.Peer,
	})
	if err != nil {
		detail = nil
	}
	response := NewError(SQLState(failure), message(failure))
	response.Detail = string(detail)
	response.Hint = hint(failure)
	return response
}

// NewError returns an error response of severity ERROR.
func NewError(sqlState, text string) *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: sqlState, Message: text,
	}
}

func message(failure *state.Failure) string {
	text := fmt.Sprintf("request not run: %s", failure.Reason)
	if failure.Outcome == state.OutcomeUnknown {
		text = fmt.Sprintf("the outcome of the request is unknown: %s", failure.Reason)
	}
	if failure.Message != "" {
		text += ": " + failure.Message
	}
	return text
}

func hint(failure *state.Failure) string {
	if failure.Outcome == state.OutcomeUnknown {
		return "The request may have taken effect. Repeat it only with the same request id, or after checking."
	}
	if failure.RetryAfter > 0 {
		return fmt.Sprintf("Nothing of the request ran. Come back after %d ms.", failure.RetryAfter.Milliseconds())
	}
	return "Nothing of the request ran."
}
