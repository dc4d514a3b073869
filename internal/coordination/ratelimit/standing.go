package ratelimit

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// minRowsAge is the least age up to which the rows and the own renewal may be
	// relied on. It covers the usual outages of the store; beyond it an instance
	// has no lease either.
	minRowsAge = 20 * time.Second
	// rowsAgeSlack is added to the time between two reads of the rows.
	rowsAgeSlack = 5 * time.Second
	// standingMargin covers renewals on their way and readings of the store's clock.
	standingMargin = 2 * time.Second
	// foundersWithin is how long after the first of the present instances others
	// count as started together with it.
	foundersWithin = 3 * time.Second
)

// liveWithin is how long after its last renewal an instance is counted, longer than it
// may hold a pledge without renewing. instances is their number, 0 if it is unknown.
func liveWithin(instances int) time.Duration {
	length := maxPledge
	if instances > 0 {
		length = pledgeLength(2 * instances) // it may have halved
	}
	return minRowsAge + length + 2*standingMargin
}

// share is this instance's equal share of all limits.
type share struct {
	// denominator is the number of instances that share; 0 if this instance must
	// not count on a share, because others may not count it.
	denominator int
	// instances is the number of all instances.
	instances int
	// until is when the share ends unless it is renewed.
	until state.Instant
}

func (s share) valid(now state.Instant) bool {
	return s.denominator > 0 && now < s.until
}

// rowsAge is how old the rows may be that an instance relies on.
func rowsAge(readInterval time.Duration) time.Duration {
	return max(minRowsAge, 3*readInterval/2+rowsAgeSlack)
}

// shareOf returns the share of an instance. Those that joined long enough ago to be
// in the rows of every instance with a share divide the limits among them. Where none
// did, as after a restart of all, those do that joined with the first one.
func shareOf(standing leadership.Standing, now state.Instant) share {
	reliable, length := rowsAge(standing.ReadInterval), pledgeLength(len(standing.Instances))
	joinAge := reliable + length + 2*standingMargin
	first := standing.Joined
	for _, row := range standing.Instances {
		if row.Joined != 0 {
			first = min(first, row.Joined)
		}
	}
	founders := first + foundersWithin
	counted := 0
	// The others' clocks may be ahead, and a pledge made later outlasts this one.
	countedUntil := max(founders, standing.Latest-joinAge+length+standingMargin)
	self := false
	for _, row := range standing.Instances {
		self = self || row.Name == standing.Self
		// A run that has just joined may follow one whose pledge still lasts.
		if row.Joined <= countedUntil || row.Joined > standing.Latest-length-standingMargin {
			counted++
		}
	}
	s := share{instances: len(standing.Instances)}
	left := min(standing.ReadAt+reliable, standing.RenewedAt+minRowsAge) - standing.Latest
	if self && standing.Settled && left > 0 && standing.Joined <= max(founders, standing.Earliest-joinAge) {
		s.denominator, s.until = counted, now.Add(left)
	}
	return s
}
