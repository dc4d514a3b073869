package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// offsetWindow is how long bounds of the store's clock are collected. The bounds
// of the last two windows are used, so that the drift between two steady clocks
// (below 0.1 %) stays within driftAllowance.
const (
	offsetWindow   = 30 * time.Second
	driftAllowance = 60 * time.Millisecond
)

// offsetBounds bound the difference between the store's clock and the local one.
type offsetBounds struct {
	known        bool
	lower, upper time.Duration
	since        state.Instant
}

func (o *offsetBounds) add(sent, received state.Instant, storeNow time.Duration) {
	upper, lower := storeNow-time.Duration(sent), storeNow-time.Duration(received)
	if !o.known {
		*o = offsetBounds{known: true, lower: lower, upper: upper, since: received}
		return
	}
	o.upper, o.lower = min(o.upper, upper), max(o.lower, lower)
}

// storeClock estimates the store's steady clock from the timestamps in the
// store's responses: the store read its clock between the sending of the request
// and the arrival of the response.
type storeClock struct {
	current, previous offsetBounds
}

// observe updates the bounds with the timestamp of one response.
func (c *storeClock) observe(sent, received state.Instant, storeNow time.Duration) {
	if c.current.known && received.Sub(c.current.since) > offsetWindow {
		c.previous, c.current = c.current, offsetBounds{}
	}
	c.current.add(sent, received, storeNow)
	if c.upperOffset() > c.lowerOffset()+offsetWindow || c.upperOffset() < c.lowerOffset() {
		// One of the clocks was set: restart from this response.
		c.previous, c.current = offsetBounds{}, offsetBounds{}
		c.current.add(sent, received, storeNow)
	}
}

func (c *storeClock) upperOffset() time.Duration {
	if c.previous.known {
		return min(c.current.upper, c.previous.upper)
	}
	return c.current.upper
}

func (c *storeClock) lowerOffset() time.Duration {
	if c.previous.known {
		return max(c.current.lower, c.previous.lower)
	}
	return c.current.lower
}

// upperBound returns a time that the store's clock has not passed yet; false
// before the first response.
func (c *storeClock) upperBound(local state.Instant) (time.Duration, bool) {
	return time.Duration(local) + c.upperOffset() + driftAllowance, c.current.known
}

// earliest returns the local time before which the store's clock surely has not reached
// the given one.
func (c *storeClock) earliest(storeTime time.Duration) state.Instant {
	return state.Instant(storeTime - c.upperOffset() - driftAllowance)
}

// lowerBound returns a time that the store's clock has reached; zero before the
// first response.
func (c *storeClock) lowerBound(local state.Instant) time.Duration {
	if !c.current.known {
		return 0
	}
	return time.Duration(local) + c.lowerOffset() - driftAllowance
}
