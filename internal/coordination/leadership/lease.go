package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// lease is this instance's permission to use primaries at all.
type lease struct {
	clock  storeClock
	length time.Duration
	// seen is the store's version up to which TablePrimaries was followed.
	seen uint64
	// base is the store's time of the last renewal that counts.
	based bool
	base  time.Duration
	// vouchedUntil is how long the answers of other instances allow to go on
	// without a renewal, at most until longest after the last one.
	vouchedUntil state.Instant
	longest      time.Duration
}

// renewed records that the instance's row was written, on the condition that
// every change of the primaries before it has been seen.
func (l *lease) renewed(version uint64, storeNow time.Duration) {
	l.seen = max(l.seen, version)
	l.base, l.based = max(l.base, storeNow), true
}

func (l *lease) valid(now state.Instant) bool {
	return l.left(now) > 0 || l.vouched(now)
}

// vouched reports whether other instances allow to go on.
func (l *lease) vouched(now state.Instant) bool {
	storeNow, known := l.clock.atMost(now)
	return known && l.based && now < l.vouchedUntil && storeNow < l.base+l.longest
}

// left is how long the lease still runs, at the least.
func (l *lease) left(now state.Instant) time.Duration {
	storeNow, known := l.clock.atMost(now)
	if !known || !l.based {
		return 0
	}
	return max(0, l.base+l.length-storeNow)
}

func (l *lease) lapsedFor(now state.Instant) time.Duration {
	storeNow, known := l.clock.atMost(now)
	if !known || !l.based {
		return 0
	}
	return max(0, storeNow-l.base-l.length)
}
