package admission

import "time"

const (
	// maxLimitFactor bounds the statements in flight, as a multiple of the slots.
	maxLimitFactor = 2
	// serverQueueTarget is the longest expected wait at the backend server
	// that statements in flight beyond its slots may cause.
	serverQueueTarget = 8 * time.Millisecond
	// limitSmoothing is the weight of the newest statement in the averages
	// from which the limit is computed.
	limitSmoothing = 0.02
)

// concurrency computes how many statements may be in flight to the backend
// server at once. With only as many as the server has slots, each slot idles
// for a network round trip between two statements. Statements beyond that
// number queue at the backend server, where the Gate can no longer order them.
// The limit therefore exceeds the slots by the larger of two numbers: the
// statements that fill the round trip, and those that wait at the server for
// no longer than serverQueueTarget.
type concurrency struct {
	slots       int
	roundTrip   time.Duration
	meanElapsed average
	// meanSquare is the average of the squared times, in square nanoseconds.
	meanSquare float64
}

// observe adds the time of a completed statement to the averages.
func (c *concurrency) observe(elapsed time.Duration) {
	square := float64(elapsed) * float64(elapsed)
	if !c.meanElapsed.hasValue {
		c.meanSquare = square
	}
	c.meanSquare += limitSmoothing * (square - c.meanSquare)
	c.meanElapsed.add(elapsed, limitSmoothing)
}

// limit returns how many statements may be in flight.
func (c *concurrency) limit() int {
	if !c.meanElapsed.hasValue {
		return c.slots
	}
	extra := min(max(c.queueExtra(), c.roundTripExtra()), float64(c.slots*(maxLimitFactor-1)))
	return c.slots + int(extra)
}

// queueExtra returns how many statements beyond the slots may be in flight
// without any waiting at the server for longer than serverQueueTarget. Each
// waits for the remaining time of a running statement. A long statement is more
// likely to be the one running, so the expected remaining time is the mean
// square divided by twice the mean.
func (c *concurrency) queueExtra() float64 {
	mean := max(float64(c.meanElapsed.value), 1)
	remaining := max(c.meanSquare/(2*mean), 1)
	return float64(serverQueueTarget) * float64(c.slots) / remaining
}

// roundTripExtra returns how many statements beyond the slots keep the slots
// busy during a network round trip, with 0.5 added for rounding.
func (c *concurrency) roundTripExtra() float64 {
	service := max(float64(c.meanElapsed.value-c.roundTrip), 1)
	return float64(c.slots)*float64(c.roundTrip)/service + 0.5
}
