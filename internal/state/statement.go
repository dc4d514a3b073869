package state

// StatementKind classifies a statement.
type StatementKind uint8

// The kinds of statements.
const (
	// StatementInvalid is a statement that could not be parsed.
	StatementInvalid StatementKind = iota
	StatementBegin
	StatementBeginReadOnly
	StatementCommit
	StatementRollback
	StatementRead
	StatementWrite
	StatementSet
	StatementPrepare
	StatementExecute
	StatementDeallocate
)

// String returns the kind's name for logs.
func (k StatementKind) String() string {
	names := [...]string{
		"invalid", "begin", "begin_read_only", "commit", "rollback",
		"read", "write", "set", "prepare", "execute", "deallocate",
	}
	if int(k) >= len(names) {
		return "unknown"
	}
	return names[k]
}

// Statement is a statement of a client or of the proxy itself.
type Statement struct {
	// ID is the client's id of the statement; empty for statements of the
	// proxy.
	ID   string
	Kind StatementKind
	// Text is the statement as the client wrote it.
	Text string
	// Name is the name of the session value or of the prepared statement in
	// Text.
	Name string
	// Value is a session value's new value, a prepared statement's shape, or
	// an execution's arguments.
	Value string
	// Writes is true if a prepared statement's shape writes.
	Writes bool
}

// TransactionState is the state of a session's transaction, which a database or
// the proxy reports after each statement.
type TransactionState uint8

// The states of a session's transaction.
const (
	TransactionNone TransactionState = iota
	TransactionOpen
	// TransactionFailed means that only the end of the transaction is
	// accepted.
	TransactionFailed
)

// ErrorCode classifies the error of a statement.
type ErrorCode uint8

// The codes of errors. The first group guarantees that nothing of the client's
// attempt took effect.
const (
	CodeNone               ErrorCode = iota
	CodeBusy                         // refused, overloaded
	CodeAborted                      // the transaction was rolled back
	CodeLagging                      // the database's log lacks the requested position
	CodeReadOnly                     // the database is not its group's primary
	CodeMisdirected                  // the connection reached another database or group
	CodeTooManyConnections           // the database accepts no more connections

	CodeFailed        // the statement ran and failed
	CodeTimeout       // the statement timed out and may have taken effect
	CodeUnknown       // the statement may have taken effect
	CodeNoStatement   // no prepared statement has that name
	CodeNoDatabase    // no route has that name
	CodeTooBig        // the message is too large
	CodeMalformed     // the message can't be parsed, or isn't allowed in this state
	CodeNotAuthorized // the credentials were refused
	CodeOther         // a code that this version does not support
)

// HasNoEffect reports whether the code guarantees that nothing of the client's
// attempt took effect.
func (c ErrorCode) HasNoEffect() bool {
	return c >= CodeBusy && c <= CodeTooManyConnections
}

// String returns the code's name for logs and metrics.
func (c ErrorCode) String() string {
	names := [...]string{
		"none", "busy", "aborted", "lagging", "read_only", "misdirected", "too_many_connections",
		"failed", "timeout", "unknown", "no_statement", "no_database", "too_big", "malformed", "not_authorized", "other",
	}
	if int(c) >= len(names) {
		return "unknown_code"
	}
	return names[c]
}

// Reply is the complete reply to one statement.
type Reply struct {
	Rows []string
	// Proof is the database's evidence that it ran the statement; empty in
	// replies of the proxy.
	Proof string
	// Code is CodeNone if the statement succeeded.
	Code   ErrorCode
	Detail string
	// Transaction and Position are the session's state after the statement.
	// Position is zero if the reply had none.
	Transaction TransactionState
	Position    Position
	// Greeting is set if the reply states nothing but the session's state, as that to
	// a startup message does.
	Greeting bool
}

// ServerStatus is a database's reply to a status request.
type ServerStatus struct {
	Role Role
	// Term is the term of the primary, which the database follows or is.
	Term Term
	// Received is the last position in the database's log, whether applied or
	// not.
	Received Position
}
