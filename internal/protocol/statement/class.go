package statement

import "time"

// Kind determines how the proxy handles a string of SQL.
type Kind uint8

// The kinds of SQL strings.
const (
	// KindWrite is anything that is not proven to be of another kind.
	KindWrite Kind = iota
	// KindRead is proven to write nothing and to take no lock that outlives it.
	KindRead
	// KindBegin is BEGIN or START TRANSACTION.
	KindBegin
	// KindCommit is COMMIT or END.
	KindCommit
	// KindRollback is ROLLBACK or ABORT of a whole transaction.
	KindRollback
	// KindSavepoint is SAVEPOINT, RELEASE or ROLLBACK TO.
	KindSavepoint
	// KindSet changes a session parameter.
	KindSet
	// KindReset returns a session parameter to its default.
	KindReset
	// KindShow reads a session parameter.
	KindShow
	// KindDiscard is DISCARD; Class.SettingName holds its object in lower case.
	KindDiscard
	// KindEmpty is text without a statement.
	KindEmpty
	// KindUnsupported is rejected by the proxy; Class.Unsupported names the
	// cause.
	KindUnsupported
)

var kindNames = [...]string{
	KindWrite: "write", KindRead: "read", KindBegin: "begin", KindCommit: "commit",
	KindRollback: "rollback", KindSavepoint: "savepoint", KindSet: "set", KindReset: "reset",
	KindShow: "show", KindDiscard: "discard", KindEmpty: "empty", KindUnsupported: "unsupported",
}

// String returns the kind's name in lower case.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Class is the result of Classify for a string of SQL.
type Class struct {
	Kind Kind
	// Statements is the number of statements in the string.
	Statements int
	// ReadOnly is set for a BEGIN that a replica can serve: READ ONLY and not
	// SERIALIZABLE.
	ReadOnly bool
	// ControlsTransaction is set when a string of several statements contains
	// BEGIN, COMMIT, ROLLBACK or a savepoint command.
	ControlsTransaction bool
	// Pins is set when the string leaves state on the connection that cannot
	// be replayed on another one, which pins the session to that connection.
	Pins bool
	// SettingName is the parameter of a single SET, RESET or SHOW in lower
	// case, or the object of DISCARD. SET TRANSACTION and SET CONSTRAINTS
	// have the names "transaction" and "constraints", and are local.
	SettingName string
	// SettingValue is the value of SET in the form that set_config takes.
	SettingValue string
	// SettingLocal is set when the value lasts only until the transaction ends.
	SettingLocal bool
	// RequestID is the value of the hint cyclamenpin:request_id.
	RequestID string
	// MaxAge is the value of the hint cyclamenpin:max_age. It is valid only if
	// HasMaxAge is set.
	MaxAge    time.Duration
	HasMaxAge bool
	// Unsupported names what the proxy rejects, such as COPY or an invalid hint.
	Unsupported string
}
