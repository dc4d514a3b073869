package pooling

import "time"

const (
	// decreaseFactor is applied to the limit when the database refuses a
	// statement. The usual factor of AIMD (additive increase, multiplicative
	// decrease) lies between one half and this.
	decreaseFactor = 0.75
	// decreasePause is the least time between two decreases: statements refused
	// at the same time indicate the same full queue. A database needs about this
	// long to process a full queue of a few dozen statements.
	decreasePause = 100 * time.Millisecond
)

// limiter limits the statements of one pool that are in flight at its database,
// by additive increase and multiplicative decrease upon refusals. There is no
// limit before the first refusal.
type limiter struct {
	// limit is at least 1 while a limit is in force, else 0.
	limit       float64
	decreasedAt time.Time
	// peak is how many statements were in flight when the limit came into force.
	peak int
}

// bound returns how many statements may be in flight, at most possible.
func (l *limiter) bound(possible int) int {
	if l.limit == 0 {
		return possible
	}
	return min(possible, int(l.limit))
}

// allows reports whether another statement may be sent.
func (l *limiter) allows(inFlight int) bool {
	return l.limit == 0 || inFlight < int(l.limit)
}

// recordRefused decreases the limit after the database refused a statement as
// overloaded with inFlight statements in flight.
func (l *limiter) recordRefused(inFlight int, now time.Time) {
	if now.Sub(l.decreasedAt) < decreasePause {
		return
	}
	if l.limit == 0 {
		l.limit, l.peak = float64(inFlight), inFlight
	}
	l.decreasedAt = now
	l.limit = max(1, min(l.limit, float64(inFlight))*decreaseFactor)
}

// recordServed increases the limit after the database served a statement while
// the limit was used up. The limit grows by one for each full limit of served
// statements, and is lifted when it reaches peak.
func (l *limiter) recordServed(inFlight int) {
	if l.limit == 0 || inFlight < int(l.limit) {
		return
	}
	l.limit += 1 / l.limit
	if l.limit >= float64(l.peak) {
		l.limit = 0
	}
}
