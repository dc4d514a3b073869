package state

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the outcome of a request without an ordinary reply. A request
// whose reply is rows or an error of the database has run and needs no Outcome.
type Outcome uint8

const (
	// OutcomeNotRun means that no part of the request ran or can still run.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String returns the outcome's name as clients see it in the error detail.
func (o Outcome) String() string {
	switch o {
	case OutcomeNotRun:
		return "not_run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Reason is the machine-readable cause of a Failure.
type Reason string

// The reasons of failures, explained in docs/OPERATIONS.md.
const (
	ReasonOverloaded       Reason = "overloaded"        // the request would have missed its deadline in the queue
	ReasonPlanLimit        Reason = "plan_limit"        // the plan uses all that its limit allows
	ReasonNotAllowed       Reason = "not_allowed"       // the plan may not access the database
	ReasonNoPrimary        Reason = "no_primary"        // no primary is known, or a change of primary is under way
	ReasonSuperseded       Reason = "superseded"        // the primary was superseded by one of a higher term
	ReasonTooStale         Reason = "too_stale"         // no replica is known to meet the requested staleness or position
	ReasonUnreachable      Reason = "unreachable"       // the next hop could not be reached
	ReasonLeaving          Reason = "leaving"           // the instance or backend server is leaving
	ReasonConnectionLost   Reason = "connection_lost"   // the connection to the next hop was lost during the request
	ReasonSilent           Reason = "silent"            // the next hop made no progress in time
	ReasonUnacknowledged   Reason = "unacknowledged"    // no majority confirmed the write in time
	ReasonNoConfiguration  Reason = "no_configuration"  // no configuration has been received yet
	ReasonPlatform         Reason = "platform"          // the platform could not be reached
	ReasonConflict         Reason = "conflict"          // another edit or promotion came first
	ReasonUnsupported      Reason = "unsupported"       // the proxy does not support the request
	ReasonTransactionLimit Reason = "transaction_limit" // the transaction stayed idle for too long
)

// Failure is the error of a request without an ordinary reply. Step and Peer
// say where it arose, RetryAfter when the client may retry.
type Failure struct {
	Outcome    Outcome       `msgpack:"outcome" json:"outcome"`
	Reason     Reason        `msgpack:"reason" json:"reason"`
	Step       string        `msgpack:"step" json:"step"`
	Peer       string        `msgpack:"peer" json:"peer,omitempty"`
	RetryAfter time.Duration `msgpack:"retry" json:"retry_after_ns"`
	Message    string        `msgpack:"msg" json:"message,omitempty"`
	// Primary is the group's primary, if the request was sent to another
	// database and the failing hop has the primary's id.
	Primary DatabaseID `msgpack:"primary" json:"primary,omitempty"`
	Cause   error      `msgpack:"-" json:"-"`
}

// Error describes the failure on one line.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", f.Step, f.Outcome, f.Reason)
	if f.Peer != "" {
		text += " at " + f.Peer
	}
	if f.Message != "" {
		text += ": " + f.Message
	}
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// NotRun returns the failure of a request of which no part ran or will run.
func NotRun(reason Reason, step, peer string, retryAfter time.Duration, cause error) *Failure {
	return &Failure{
		Outcome: OutcomeNotRun, Reason: reason, Step: step, Peer: peer,
		RetryAfter: retryAfter, Cause: cause,
	}
}

// Unknown returns the failure of a request that may have run.
func Unknown(reason Reason, step, peer string, cause error) *Failure {
	return &Failure{Outcome: OutcomeUnknown, Reason: reason, Step: step, Peer: peer, Cause: cause}
}

// AsFailure returns the first Failure in an error chain.
func AsFailure(err error) (*Failure, bool) {
	var failure *Failure
	ok := errors.As(err, &failure)
	return failure, ok
}
