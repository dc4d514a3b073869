package failover

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Cause says why a change of primary was started.
type Cause string

// The causes of a change.
const (
	CauseDead       Cause = "dead"       // its host refuses connections
	CauseFrozen     Cause = "frozen"     // old and new connections stay silent
	CauseIsolated   Cause = "isolated"   // it answers, and a majority does not hear it
	CauseLeaderless Cause = "leaderless" // a majority left its term and none was promoted
	CauseStranded   Cause = "stranded"   // a database is in a later term than the primary
	CausePlanned    Cause = "planned"    // an operator or a leaving backend server
)

// ChangeReport is one attempt to change the primary. The durations follow one
// another and add up to the gap as seen by the promoter.
type ChangeReport struct {
	Group    state.GroupID    `json:"group"`
	Cause    Cause            `json:"cause"`
	Term     state.Term       `json:"term"`
	Promoter state.InstanceID `json:"promoter"`
	From     state.DatabaseID `json:"from,omitempty"`
	To       state.DatabaseID `json:"to,omitempty"`
	// Started is when the attempt began, after detection.
	Started time.Time `json:"started"`
	// Detection runs from the last sign of the primary to the attempt; in a
	// planned change, from the hold on writes.
	Detection time.Duration `json:"detection_ns"`
	Claim     time.Duration `json:"claim_ns"`
	Fencing   time.Duration `json:"fencing_ns"`
	Promotion time.Duration `json:"promotion_ns"`
	Routing   time.Duration `json:"routing_ns"`
	// WithoutClaim is set when the platform could not be asked.
	WithoutClaim bool   `json:"without_claim,omitempty"`
	Error        string `json:"error,omitempty"`
}

// Gap is the time without a primary, as seen by the promoter.
func (r ChangeReport) Gap() time.Duration {
	return r.Detection + r.Claim + r.Fencing + r.Promotion + r.Routing
}

// stopwatch measures consecutive phases.
type stopwatch struct {
	last time.Time
}

func (s *stopwatch) lap() time.Duration {
	now := time.Now()
	elapsed := now.Sub(s.last)
	s.last = now
	return elapsed
}
