package admission

import "time"

const (
	// ceilingFactor bounds the statements in flight as a multiple of the slots.
	ceilingFactor = 2
	// serverQueueTarget is the wait at the backend server that statements in
	// flight beyond its slots may cause.
	serverQueueTarget = 10 * time.Millisecond
	// limitSmoothing is the weight of the newest statement in the average time
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
}

// limit returns the number of statements that may be in flight.
func (c *concurrency) limit() int {
	if !c.elapsed.known {
		return c.slots
	}
	elapsed := max(c.elapsed.value, time.Microsecond)
	service := max(elapsed-c.roundTrip, time.Microsecond)
	short := int(serverQueueTarget * time.Duration(c.slots) / elapsed)
	gap := int((c.roundTrip*time.Duration(c.slots) + service/2) / service)
	return min(c.slots+max(short, gap), ceilingFactor*c.slots)
}
