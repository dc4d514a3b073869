package state

// StatementKind tells what a statement asks for.
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

// String names the kind for logs.
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

// Statement is one statement of a client.
type Statement struct {
	// ID is the client's id of the statement; empty for the proxy's own.
	ID   string
	Kind StatementKind
	// Text is the statement as the client wrote it.
	Text string
	// Name is the session value, or the prepared statement, that Text names.
	Name string
	// Value is a session value's new value, a prepared statement's shape, or
	// an execution's arguments.
	Value string
	// Writes tells whether a prepared statement's shape writes.
	Writes bool
}

// TransactionState is what a database or the proxy says of a session's
// transaction after each statement.
type TransactionState uint8

// The states of a session's transaction.
const (
	TransactionNone TransactionState = iota
	TransactionOpen
	// TransactionFailed accepts nothing but the transaction's end.
	TransactionFailed
)

// ErrorCode classifies the error of a statement.
type ErrorCode uint8

// The codes of errors. The first group promises that nothing of the client's
// attempt is kept.
const (
	CodeNone               ErrorCode = iota
	CodeBusy                         // refused, overloaded
	CodeAborted                      // the transaction was rolled back
	CodeLagging                      // the database's log lacks the position asked for
	CodeReadOnly                     // the database is not its group's primary
	CodeMisdirected                  // the connection reached another database or group
	CodeTooManyConnections           // the database accepts no more connections

	CodeFailed        // the statement ran and failed
	CodeTimeout       // ran out of time, may have run
	CodeUnknown       // may have run
	CodeNoStatement   // no prepared statement has that name
	CodeNoDatabase    // no route has that name
	CodeTooBig        // the message is too large
	CodeMalformed     // the message can't be parsed, or not in this state
	CodeNotAuthorized // the credentials were refused
	CodeOther         // a code that this version does not know
)

// HasNoEffect reports whether the code promises that nothing of the client's
// attempt is kept.
func (c ErrorCode) HasNoEffect() bool {
	return c >= CodeBusy && c <= CodeTooManyConnections
}

// String names the code for logs and metrics.
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

// Reply is the whole answer to one statement.
type Reply struct {
	Rows []string
	// Proof is the database's evidence that it ran the statement; empty for
	// answers of the proxy.
	Proof string
	// Code is CodeNone where the statement succeeded.
	Code   ErrorCode
	Detail string
	// Transaction and Position are the session's state after the statement;
	// the position is zero where none was given.
	Transaction TransactionState
	Position    Position
}

// ServerStatus is a database's answer to a question about its state.
type ServerStatus struct {
	Role Role
	// Term is the term of the primary that the database follows or is.
	Term Term
	// Received is the last position in the database's log, applied or not.
	Received Position
}
