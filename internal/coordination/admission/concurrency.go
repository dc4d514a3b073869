package admission

import "time"

const (
	// ceilingFactor bounds the statements in flight as a multiple of the slots.
	ceilingFactor = 2
	// serverQueueTarget is the wait at the backend server that statements in
	// flight beyond its slots may cause.
	serverQueueTarget = 8 * time.Millisecond
	// limitSmoothing is the weight of the newest statement in the averages
	// from which the limit follows.
	limitSmoothing = 0.02
)

// concurrency chooses how many statements are in flight to the backend server
// at once. With exactly as many as it has slots, each slot idles for a network
// round trip between statements. Those beyond wait at the backend server, out
// of reach of the Gate's order. So there are as many more as fill the round
// trip, or as wait there for no longer than serverQueueTarget.
type concurrency struct {
	slots     int
	roundTrip time.Duration
	elapsed   average
	// squares is the average of the squared times, in square nanoseconds.
	squares float64
}

// observe counts the time of a statement that ran to its end.
func (c *concurrency) observe(elapsed time.Duration) {
	square := float64(elapsed) * float64(elapsed)
	if !c.elapsed.known {
		c.squares = square
	}
	c.squares += limitSmoothing * (square - c.squares)
	c.elapsed.add(elapsed, limitSmoothing)
}

// limit returns the number of statements that may be in flight.
func (c *concurrency) limit() int {
	if !c.elapsed.known {
		return c.slots
	}
	extra := min(max(c.shortExtra(), c.gapExtra()), float64(c.slots*(ceilingFactor-1)))
	return c.slots + int(extra)
}

// shortExtra is how many more statements wait for no longer than the target.
// Each waits for the rest of a running one, in which long statements count by
// their time: the mean square over twice the mean.
func (c *concurrency) shortExtra() float64 {
	mean := max(float64(c.elapsed.value), 1)
	rest := max(c.squares/(2*mean), 1)
	return float64(serverQueueTarget) * float64(c.slots) / rest
}

// gapExtra is how many more statements fill the network's round trip, rounded.
func (c *concurrency) gapExtra() float64 {
	service := max(float64(c.elapsed.value-c.roundTrip), 1)
	return float64(c.slots)*float64(c.roundTrip)/service + 0.5
}
