package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// lease is this instance's permission to use primaries at all. It is renewed by
// each answer about TablePrimaries, which shows that no other change had been
// announced at the store's time of the answer. It needs the instance's row, by
// which promoters know whom to ask.
type lease struct {
	clock  storeClock
	length time.Duration
	// seen is the store's version up to which TablePrimaries was followed.
	seen uint64
	// rowVersion is the version with which this run first wrote its row, and
	// rowAt the store's time when the row was last confirmed.
	rowVersion uint64
	rowAt      time.Duration
	// base is the store's time of the last renewal.
	based bool
	base  time.Duration
	// vouchedUntil is how long the answers of other instances allow to go on
	// without a renewal, at most until longest after the last one.
	vouchedUntil state.Instant
	longest      time.Duration
}

// rowWritten records that the instance's row was written.
func (l *lease) rowWritten(version uint64, storeNow time.Duration) {
	if l.rowVersion == 0 {
		l.rowVersion = version
	}
	l.rowAt = max(l.rowAt, storeNow)
}

// renew takes in an answer that shows all changes of the primaries up to a
// version and a time of the store.
func (l *lease) renew(version uint64, storeNow time.Duration) {
	l.seen = max(l.seen, version)
	if l.rowVersion == 0 || version < l.rowVersion || storeNow-l.rowAt > rowCounts {
		return
	}
	l.base, l.based = max(l.base, storeNow), true
}

// end gives the lease up for good.
func (l *lease) end() {
	l.based, l.rowVersion = false, 0
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
