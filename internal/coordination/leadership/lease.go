package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// lease is this instance's permission to use primaries at all.
type lease struct {
	clock  storeClock
	length time.Duration
	// seenVersion is the store's version up to which TablePrimaries was followed.
	seenVersion uint64
	// base is the store's time of the last renewal that counts.
	acquired  bool
	renewedAt time.Duration
	// confirmedUntil is how long the answers of other instances allow to go on
	// without a renewal, at most until longest after the last one.
	confirmedUntil state.Instant
	maxLength      time.Duration
}

// renewed records that the instance's row was written, on the condition that
// every change of the primaries before it has been seen.
func (l *lease) renewed(version uint64, storeNow time.Duration) {
	l.seenVersion = max(l.seenVersion, version)
	l.renewedAt, l.acquired = max(l.renewedAt, storeNow), true
}

func (l *lease) valid(now state.Instant) bool {
	return l.remaining(now) > 0 || l.confirmed(now)
}

// confirmed reports whether other instances allow to go on.
func (l *lease) confirmed(now state.Instant) bool {
	storeNow, known := l.clock.upperBound(now)
	return known && l.acquired && now < l.confirmedUntil && storeNow < l.renewedAt+l.maxLength
}

// remaining is how long the lease still runs, at the least.
func (l *lease) remaining(now state.Instant) time.Duration {
	storeNow, known := l.clock.upperBound(now)
	if !known || !l.acquired {
		return 0
	}
	return max(0, l.renewedAt+l.length-storeNow)
}

func (l *lease) expiredFor(now state.Instant) time.Duration {
	storeNow, known := l.clock.upperBound(now)
	if !known || !l.acquired {
		return 0
	}
	return max(0, storeNow-l.renewedAt-l.length)
}
