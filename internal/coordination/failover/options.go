package failover

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Intervals and thresholds of detection.
const (
	tickInterval = 50 * time.Millisecond
	// deadAfterRefusals is how many consecutive refused connections make a
	// database count as dead.
	deadAfterRefusals = 2
	// frozenAfter is how long a primary may be silent on existing and new
	// connections before it counts as frozen. It is longer than a status request
	// takes to fail on one of each.
	frozenAfter = 2 * time.Second
	// contactGrace is how much later than this owner others may have reached the
	// primary before it froze. Such a contact does not disprove the suspicion.
	contactGrace = time.Second
	// isolatedAfter is how long replication from the primary may fail to reach a
	// majority, while the primary itself responds, before it counts as isolated.
	isolatedAfter = 6 * time.Second
	// leaderlessAfter is how long the promoter that fenced a group may take to
	// promote a database before others start an attempt.
	leaderlessAfter = 3 * time.Second
	// strandedAfter is how long a database may be in a later term than the
	// primary before an attempt is made in a term above both.
	strandedAfter = 5 * time.Second
	// boundedVetoTimeout is how long contacts with the primary delay a change
	// while no owner observes that writes can be acknowledged.
	boundedVetoTimeout = 5 * time.Second
	observersTimeout   = 300 * time.Millisecond
)

// Intervals and limits of a change of primary.
const (
	rankDelay      = 300 * time.Millisecond
	rankJitter     = 100 * time.Millisecond
	claimTimeout   = time.Second
	requestTimeout = 700 * time.Millisecond
	retryInterval  = 50 * time.Millisecond
	fenceTimeout   = 2 * time.Second
	// fenceGrace is how long to wait for further databases once a majority has
	// accepted the term.
	fenceGrace = 50 * time.Millisecond
	// handoverTimeout is how long a planned change waits, while the primary still
	// serves, for the other replicas to be fenced and the target to catch up.
	handoverTimeout       = 250 * time.Millisecond
	promoteTimeout        = 3 * time.Second
	routeTimeout          = time.Second
	recordTimeout         = time.Second
	recordInterval        = 5 * time.Second
	followInterval        = 500 * time.Millisecond
	catchUpTimeout        = 2 * time.Second
	maxSwitchoverAttempts = 3
)

// Intervals between changes and between attempts.
const (
	minChangeInterval = time.Second
	maxChangeInterval = 8 * time.Second
	// stableAfter is how long a primary must last before the interval between
	// changes is reset to the minimum.
	stableAfter       = time.Minute
	minAttemptBackoff = 100 * time.Millisecond
	maxAttemptBackoff = 2 * time.Second
	// progressTimeout is how long this owner waits at least after another
	// promoter claimed the term, so that the other can finish its attempt.
	progressTimeout = 1500 * time.Millisecond
)

// maxReports is how many reports of attempts a Manager keeps.
const maxReports = 32

// Options configures a Manager.
type Options struct {
	Self        state.InstanceID
	Incarnation state.Incarnation
	// Rank returns this instance's place among the group's owners. Rank 0 acts
	// first. Two owners of the same rank may delay a change but are safe.
	Rank func() int
	// Writes delays writes during planned changes. If it is nil, planned changes
	// do not wait for writes.
	Writes WriteHolder
	// Seed seeds the jitter; zero selects a random seed.
	Seed   uint64
	Logger zerolog.Logger
}
