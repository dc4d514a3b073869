package pooling

import "time"

const (
	// decreaseFactor is applied to the limit when the database refuses a
	// statement; the usual factor of additive increase, multiplicative
	// decrease lies between one half and this.
	decreaseFactor = 0.75
	// decreasePause is the least time between two decreases: statements that
	// were refused together tell of one queue. A database's full queue of a
	// few dozen statements takes about as long.
	decreasePause = 100 * time.Millisecond
)

// limiter bounds the statements of one pool in flight at its database, by what
// the database refuses. It limits nothing until the first refusal.
type limiter struct {
	// limit is at least 1 where it holds, else 0.
	limit       float64
	decreasedAt time.Time
	// peak is how many were in flight when the limit began.
	peak int
}

// most returns how many statements may be in flight of those possible.
func (l *limiter) most(possible int) int {
	if l.limit == 0 {
		return possible
	}
	return min(possible, int(l.limit))
}

// allows reports whether another statement may be sent.
func (l *limiter) allows(inFlight int) bool {
	return l.limit == 0 || inFlight < int(l.limit)
}

// refused takes in that the database was overloaded, with so many in flight.
func (l *limiter) refused(inFlight int, now time.Time) {
	if now.Sub(l.decreasedAt) < decreasePause {
		return
	}
	if l.limit == 0 {
		l.limit, l.peak = float64(inFlight), inFlight
	}
	l.decreasedAt = now
	l.limit = max(1, min(l.limit, float64(inFlight))*decreaseFactor)
}

// answered takes in that the database served a statement. The limit grows by
// one each time that it was used up and served whole, and ends where it has
// reached what was first refused.
func (l *limiter) answered(inFlight int) {
	if l.limit == 0 || inFlight < int(l.limit) {
		return
	}
	l.limit += 1 / l.limit
	if l.limit >= float64(l.peak) {
		l.limit = 0
	}
}
