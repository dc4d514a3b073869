package failover

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Times of detection.
const (
	tickInterval = 50 * time.Millisecond
	// refusalsOfDead is how many refusals in a row make a database dead.
	refusalsOfDead = 2
	// frozenAfter is how long a primary may be silent on old and new
	// connections. It is longer than a status request on each takes to fail.
	frozenAfter = 2 * time.Second
	// contactGrace is how long after this owner's last contact with a frozen
	// primary others may have heard from it before it froze.
	contactGrace = time.Second
	// isolatedAfter is how long a majority may have been without the primary's
	// replication while the primary itself answers.
	isolatedAfter = 6 * time.Second
	// leaderlessAfter is how long a group without a primary is left to the
	// promoter that fenced it.
	leaderlessAfter = 3 * time.Second
	// strandedAfter is how long a database may be in a later term than the
	// primary before that term is passed.
	strandedAfter = 5 * time.Second
	// vetoBound is how long the replicas' contact with the primary alone holds
	// a change back while no owner can use the primary.
	vetoBound        = 5 * time.Second
	observersTimeout = 300 * time.Millisecond
)

// Times of a change.
const (
	rankDelay      = 300 * time.Millisecond
	rankJitter     = 100 * time.Millisecond
	claimTimeout   = time.Second
	requestTimeout = 700 * time.Millisecond
	retryInterval  = 50 * time.Millisecond
	fenceTimeout   = 2 * time.Second
	// fenceGrace is how long further databases may answer after a majority.
	fenceGrace       = 50 * time.Millisecond
	promoteTimeout   = 3 * time.Second
	routeTimeout     = time.Second
	recordTimeout    = time.Second
	recordInterval   = 5 * time.Second
	followInterval   = 500 * time.Millisecond
	catchUpTimeout   = 2 * time.Second
	switchoverTrials = 3
)

// Times between changes and between attempts.
const (
	minChangeInterval = time.Second
	maxChangeInterval = 8 * time.Second
	// calmAfter is how long a primary must last for the interval to shrink.
	calmAfter         = time.Minute
	minAttemptBackoff = 100 * time.Millisecond
	maxAttemptBackoff = 2 * time.Second
	// progressTimeout is how long another promoter is given after it won.
	progressTimeout = 1500 * time.Millisecond
)

// keptReports is how many changes a Manager remembers.
const keptReports = 32

// Options says who runs a Manager and with whom it talks.
type Options struct {
	Self        state.InstanceID
	Incarnation state.Incarnation
	// Rank returns this instance's place among the group's owners, from 0,
	// which starts first. Two owners of one rank cost time, not safety.
	Rank func() int
	// Writes may be nil; planned changes then do not wait for writes.
	Writes WriteHolder
	// Seed sets the jitter; zero draws a random one.
	Seed   uint64
	Logger zerolog.Logger
}
