package state

import (
	"errors"
	"fmt"
	"time"
)

// Outcome says what became of a request that got no ordinary answer. A request
// that got one, be it rows or the database's own error, is done.
type Outcome uint8

const (
	// OutcomeNotRun means that nothing of the request ran or can still run.
	OutcomeNotRun Outcome = iota + 1
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
)

// String names the outcome as callers see it in the error detail.
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

// The reasons of failures. docs/OPERATIONS.md explains each.
const (
	ReasonOverloaded       Reason = "overloaded"        // the queue could not meet the deadline
	ReasonPlanLimit        Reason = "plan_limit"        // the plan holds all that it may
	ReasonNotAllowed       Reason = "not_allowed"       // the plan may not reach the database
	ReasonNoPrimary        Reason = "no_primary"        // no primary is known, or it is being changed
	ReasonSuperseded       Reason = "superseded"        // the primary lost its term meanwhile
	ReasonTooStale         Reason = "too_stale"         // no replica proves the age or position asked for
	ReasonUnreachable      Reason = "unreachable"       // the next hop could not be reached
	ReasonLeaving          Reason = "leaving"           // the instance or backend server is leaving
	ReasonConnectionLost   Reason = "connection_lost"   // the next hop went away in the middle
	ReasonSilent           Reason = "silent"            // the next hop made no progress in time
	ReasonUnacknowledged   Reason = "unacknowledged"    // no majority confirmed the write in time
	ReasonNoConfiguration  Reason = "no_configuration"  // no configuration has been received yet
	ReasonPlatform         Reason = "platform"          // the platform could not be asked
	ReasonConflict         Reason = "conflict"          // another edit or promoter was first
	ReasonUnsupported      Reason = "unsupported"       // the proxy does not support the request
	ReasonTransactionLimit Reason = "transaction_limit" // the transaction stayed idle for too long
)

// Failure is the error of a request that got no ordinary answer. Step and Peer
// name where it arose; RetryAfter tells the caller when to come back.
type Failure struct {
	Outcome    Outcome       `msgpack:"outcome" json:"outcome"`
	Reason     Reason        `msgpack:"reason" json:"reason"`
	Step       string        `msgpack:"step" json:"step"`
	Peer       string        `msgpack:"peer" json:"peer,omitempty"`
	RetryAfter time.Duration `msgpack:"retry" json:"retry_after_ns"`
	Message    string        `msgpack:"msg" json:"message,omitempty"`
	// Primary names the group's primary where the failing hop knows it and
	// the request went elsewhere.
	Primary DatabaseID `msgpack:"primary" json:"primary,omitempty"`
	Cause   error      `msgpack:"-" json:"-"`
}

// Error writes the failure on one line.
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

// NotRun makes the failure of a request of which nothing ran or will run.
func NotRun(reason Reason, step, peer string, retryAfter time.Duration, cause error) *Failure {
	return &Failure{
		Outcome: OutcomeNotRun, Reason: reason, Step: step, Peer: peer,
		RetryAfter: retryAfter, Cause: cause,
	}
}

// Unknown makes the failure of a request that may have run.
func Unknown(reason Reason, step, peer string, cause error) *Failure {
	return &Failure{Outcome: OutcomeUnknown, Reason: reason, Step: step, Peer: peer, Cause: cause}
}

// AsFailure finds the Failure in an error chain.
func AsFailure(err error) (*Failure, bool) {
	var failure *Failure
	ok := errors.As(err, &failure)
	return failure, ok
}
