package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Claims reserves terms at the platform, so that promoters do not compete for
// one term.
type Claims interface {
	// Claim records by a conditional write that promoter starts an attempt in
	// term. It is idempotent. It returns a *ClaimedError if another promoter
	// claimed that term or a later one, and ErrUnavailable if the platform did
	// not respond; the claim may then be recorded or not.
	Claim(ctx context.Context, group state.GroupID, term state.Term, promoter state.InstanceID) error
	// Record stores the primary of term as a hint in the group's record, unless
	// a later term is stored.
	Record(ctx context.Context, group state.GroupID, term state.Term, primary state.DatabaseID) error
}

// Errors of Claims and of attempts to change the primary.
var (
	// ErrUnavailable is returned when the platform did not respond.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrNoMajority is returned when too few databases accepted the term.
	ErrNoMajority = errors.New("no majority accepted the term")
	// ErrTermUsed is returned when a database already had a role or a log entry
	// of the term, so that this attempt may not promote a database in it.
	ErrTermUsed = errors.New("term already used")
	// ErrNotPromoted is returned when the candidate did not confirm its
	// promotion. The promotion may have taken effect nevertheless.
	ErrNotPromoted = errors.New("candidate did not confirm its promotion")
	// ErrNoPrimary is returned when a planned change finds no current primary.
	ErrNoPrimary = errors.New("no primary known")
	// ErrOtherPromoted is returned when a planned change promoted another
	// database than the requested one, whose log was behind.
	ErrOtherPromoted = errors.New("another database had the longer log")
	// ErrStopped is returned when the Manager's Run has returned.
	ErrStopped = errors.New("manager stopped")
)

// ClaimedError is returned when the platform holds another promoter's claim to
// the term or to a later one.
type ClaimedError struct {
	Term     state.Term
	Promoter state.InstanceID
}

// Error implements error.
func (e *ClaimedError) Error() string {
	return fmt.Sprintf("term %d claimed by %s", e.Term, e.Promoter)
}

// Observers queries the other owners of the group's databases for their
// observations of its primary.
type Observers interface {
	// CollectObservations returns the observations of the owners that responded
	// in time.
	CollectObservations(ctx context.Context, group state.GroupID) []Observation
}

// Observation is one owner's view of a group's primary.
type Observation struct {
	Observer state.InstanceID `msgpack:"obs" json:"observer"`
	Term     state.Term       `msgpack:"term" json:"term"`
	Primary  state.DatabaseID `msgpack:"primary" json:"primary"`
	// Age is the time since the observer sent the last request to which the
	// primary responded, at the time of the observation.
	Age time.Duration `msgpack:"age" json:"age_ns"`
	// RoundAge is the time since the start of the last round of status requests
	// that reached both the primary and a majority in its term, so that writes
	// could be acknowledged. It is negative when there was none.
	RoundAge time.Duration `msgpack:"round" json:"round_age_ns"`
}

// WriteHolder delays new writes of a group during a planned change and waits
// for those in progress. The release function resumes the delayed writes.
type WriteHolder interface {
	HoldWrites(ctx context.Context, group state.GroupID) (release func(), err error)
}
