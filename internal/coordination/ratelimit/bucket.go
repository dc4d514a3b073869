package ratelimit

import (
	"math"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// bucket holds the permits of one workspace at one home.
type bucket struct {
	tokens float64
	// filledTo is the value of the shard's integral of weight up to which the bucket
	// was filled.
	filledTo float64
	// limit is that of the home's configuration, and other a limit of a newer
	// version that an asking instance has told.
	limit        state.RateLimit
	other        state.RateLimit
	otherVersion uint64
}

// inForce returns the lower of the two limits that are known.
func (b *bucket) inForce() state.RateLimit {
	if b.otherVersion == 0 || b.other.IsZero() {
		return b.limit
	}
	if b.limit.IsZero() {
		return b.other
	}
	return state.RateLimit{PerSecond: min(b.limit.PerSecond, b.other.PerSecond), Burst: min(b.limit.Burst, b.other.Burst)}
}

// fill adds what has accrued up to a value of the integral of weight, and cuts the
// bucket to its capacity.
func (b *bucket) fill(integral, weight float64, tolerance Tolerance) {
	limit := b.inForce()
	b.tokens = min(b.tokens+limit.PerSecond*(integral-b.filledTo), tolerance.capacity(limit)*weight)
	b.filledTo = integral
}

// take removes up to count permits.
func (b *bucket) take(count int) int {
	taken := max(0, min(count, int(math.Floor(b.tokens))))
	b.tokens -= float64(taken)
	return taken
}

// wait returns the time until the bucket holds a permit, at least atLeast.
func (b *bucket) wait(weight float64, atLeast time.Duration) time.Duration {
	rate := b.inForce().PerSecond * weight
	if rate <= 0 {
		return maxWait
	}
	return min(maxWait, max(atLeast, time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second))))
}

const (
	// maxWait bounds the time for which a home's refusal is remembered: a raised limit
	// is noticed after it.
	maxWait = time.Second
	// waitPerAsker is the least such time for each instance that asks, up to
	// maxLeastWait. It bounds the messages to the home of a busy workspace; permits
	// accrue meanwhile.
	waitPerAsker = 500 * time.Microsecond
	maxLeastWait = 250 * time.Millisecond
)
