package statement

import "time"

// Kind says how the proxy treats a string of SQL.
type Kind uint8

// The kinds of SQL strings.
const (
	// KindWrite is anything that is not surely of another kind.
	KindWrite Kind = iota
	// KindRead surely writes nothing and takes no lock that outlives it.
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
	// KindDiscard is DISCARD; SettingName holds its object in lower case.
	KindDiscard
	// KindEmpty holds no statement.
	KindEmpty
	// KindUnsupported is refused; Unsupported names the cause.
	KindUnsupported
)

var kindNames = [...]string{
	KindWrite: "write", KindRead: "read", KindBegin: "begin", KindCommit: "commit",
	KindRollback: "rollback", KindSavepoint: "savepoint", KindSet: "set", KindReset: "reset",
	KindShow: "show", KindDiscard: "discard", KindEmpty: "empty", KindUnsupported: "unsupported",
}

// String names the kind in lower case.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "invalid"
}

// Class is what Classify found in a string of SQL.
type Class struct {
	Kind Kind
	// Statements is the number of statements in the string.
	Statements int
	// ReadOnly is set for a BEGIN that a replica can serve: READ ONLY and not
	// SERIALIZABLE.
	ReadOnly bool
	// ControlsTransaction is set when a string of several statements holds
	// BEGIN, COMMIT, ROLLBACK or a savepoint.
	ControlsTransaction bool
	// Pins is set when the string leaves state on the connection that cannot
	// be replayed on another one.
	Pins bool
	// SettingName is the parameter of a single SET, RESET or SHOW in lower
	// case, or the object of DISCARD. SET TRANSACTION and SET CONSTRAINTS
	// have the names "transaction" and "constraints", and are local.
	SettingName string
	// SettingValue is the value of SET in the form that set_config takes.
	SettingValue string
	// SettingLocal is set when the value ends with the transaction.
	SettingLocal bool
	// RequestID is that of the hint cyclamenpin:request_id.
	RequestID string
	// MaxAge is that of the hint cyclamenpin:max_age; it counts if HasMaxAge.
	MaxAge    time.Duration
	HasMaxAge bool
	// Unsupported names what the proxy refuses, such as COPY or a bad hint.
	Unsupported string
}
