package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// lease is this instance's permission to use the primaries of all groups.
type lease struct {
	clock storeClock
	// length is that of the last renewal. It never decreases, as the store may
	// have committed a later renewal whose response was lost.
	length time.Duration
	// seenVersion is the store's version up to which this instance has seen all
	// changes of TablePrimaries.
	seenVersion uint64
	// acquired is set by the first renewal and cleared when the instance leaves.
	// renewedAt is the store's time of the last renewal.
	acquired  bool
	renewedAt time.Duration
	// carriedUntil is when the lease of an earlier era expires.
	carriedUntil state.Instant
	// confirmedUntil is the time until which the confirmations of other
	// instances extend the lease without a renewal, limited to maxLength after
	// the last renewal.
	confirmedUntil state.Instant
	maxLength      time.Duration
	// heldSince is since when the lease has been valid without a gap, as of its last
	// extension; zero before the first one.
	heldSince state.Instant
}

// beforeExtension must be called before the lease is extended.
func (l *lease) beforeExtension(now state.Instant) {
	if !l.valid(now) {
		l.heldSince = now
	}
}

// recordRenewal records that the instance's row was written at the given version,
// with a lease that counts from storeNow. The store allows that only if all earlier
// changes of primaries have been seen.
func (l *lease) recordRenewal(version uint64, storeNow, length time.Duration) {
	l.length = max(l.length, length)
	l.seenVersion = max(l.seenVersion, version)
	l.renewedAt, l.acquired = max(l.renewedAt, storeNow), true
}

// nextExpiry returns when a lease of the given length that is requested now expires, on
// the store's clock. It returns 0 if that clock is not known.
func (l *lease) nextExpiry(now state.Instant, length time.Duration) time.Duration {
	reached := l.clock.lowerBound(now)
	if reached <= 0 {
		return 0
	}
	return reached + length
}

func (l *lease) valid(now state.Instant) bool {
	return now < l.ends()
}

// ends returns when the lease ends, as far as is known now.
func (l *lease) ends() state.Instant {
	if !l.acquired || !l.clock.current.known {
		return l.carriedUntil
	}
	own, longest := l.clock.earliest(l.renewedAt+l.length), l.clock.earliest(l.renewedAt+l.maxLength)
	return max(l.carriedUntil, own, min(l.confirmedUntil, longest))
}

// beginEra forgets the store's clock and versions. What is left of the lease stays
// valid, since it ends by the local clock.
func (l *lease) beginEra(now state.Instant) {
	until := max(l.carriedUntil, now.Add(l.remaining(now)))
	if l.confirmed(now) {
		until = max(until, l.confirmedUntil)
	}
	*l = lease{length: l.length, maxLength: l.maxLength, carriedUntil: until, heldSince: l.heldSince}
}

// confirmed reports whether confirmations of other instances extend the lease.
func (l *lease) confirmed(now state.Instant) bool {
	return now < l.confirmedUntil && l.confirmable(now)
}

// confirmable reports whether confirmations of other instances could extend the lease.
func (l *lease) confirmable(now state.Instant) bool {
	storeNow, known := l.clock.upperBound(now)
	return known && l.acquired && storeNow < l.renewedAt+l.maxLength
}

// remaining returns a lower bound of the time until the lease expires, without
// confirmations.
func (l *lease) remaining(now state.Instant) time.Duration {
	storeNow, known := l.clock.upperBound(now)
	if !known || !l.acquired {
		return 0
	}
	return max(0, l.renewedAt+l.length-storeNow)
}

func (l *lease) expiredFor(now state.Instant) time.Duration {
	if !l.acquired && l.carriedUntil != 0 {
		return max(0, now.Sub(l.carriedUntil))
	}
	storeNow, known := l.clock.upperBound(now)
	if !known || !l.acquired {
		return 0
	}
	return max(0, storeNow-l.renewedAt-l.length)
}
