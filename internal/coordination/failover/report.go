package failover

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Cause is the reason for which a change of primary was started.
type Cause string

// The causes of a change.
const (
	CauseDead       Cause = "dead"       // its host refuses connections
	CauseFrozen     Cause = "frozen"     // existing and new connections stay silent
	CauseIsolated   Cause = "isolated"   // it responds, but its replication does not reach a majority
	CauseLeaderless Cause = "leaderless" // a majority left the primary's term and no other was promoted
	CauseStranded   Cause = "stranded"   // a database is in a later term than the primary
	CausePlanned    Cause = "planned"    // requested by an operator, or its backend server is leaving
)

// ChangeReport describes one attempt to change the primary. The durations are
// those of consecutive phases; they add up to the gap as the promoter measured it.
type ChangeReport struct {
	Group    state.GroupID    `json:"group"`
	Cause    Cause            `json:"cause"`
	Term     state.Term       `json:"term"`
	Promoter state.InstanceID `json:"promoter"`
	From     state.DatabaseID `json:"from,omitempty"`
	To       state.DatabaseID `json:"to,omitempty"`
	// Started is when the attempt began, after detection.
	Started time.Time `json:"started"`
	// Detection is the time from when the primary last worked to the start of
	// the attempt. In a planned change it starts when writes are first delayed.
	Detection time.Duration `json:"detection_ns"`
	Claim     time.Duration `json:"claim_ns"`
	Fencing   time.Duration `json:"fencing_ns"`
	Promotion time.Duration `json:"promotion_ns"`
	Routing   time.Duration `json:"routing_ns"`
	// WithoutClaim is set when the platform did not respond to the claim.
	WithoutClaim bool   `json:"without_claim,omitempty"`
	Error        string `json:"error,omitempty"`
}

// Gap returns the time without a primary, as the promoter measured it.
func (r ChangeReport) Gap() time.Duration {
	return r.Detection + r.Claim + r.Fencing + r.Promotion + r.Routing
}

// stopwatch measures the durations of consecutive phases.
type stopwatch struct {
	last time.Time
}

func (s *stopwatch) lap() time.Duration {
	now := time.Now()
	elapsed := now.Sub(s.last)
	s.last = now
	return elapsed
}
