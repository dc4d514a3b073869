package failover

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// changeLimiter enforces a minimum interval between changes. The interval doubles
// with each change that follows soon after the previous one and is reset when a
// primary has lasted for stableAfter.
type changeLimiter struct {
	term     state.Term
	last     time.Time
	interval time.Duration
}

// observe records the term of the group's known primary.
func (l *changeLimiter) observe(term state.Term, now time.Time) {
	if term <= l.term {
		return
	}
	first := l.term == 0
	l.term = term
	if first {
		return
	}
	if l.interval == 0 || now.Sub(l.last) >= stableAfter {
		l.interval = minChangeInterval
	} else {
		l.interval = min(2*l.interval, maxChangeInterval)
	}
	l.last = now
}

// allows reports whether a change for the cause may start. A group that certainly
// has no primary need not wait.
func (l *changeLimiter) allows(cause Cause, now time.Time) bool {
	if l.last.IsZero() || cause == CauseLeaderless {
		return true
	}
	if cause == CauseDead {
		return now.Sub(l.last) >= minChangeInterval
	}
	return now.Sub(l.last) >= l.interval
}

// attemptBackoff delays a Manager's next attempt after failed ones.
type attemptBackoff struct {
	next     time.Time
	failures int
}

func (b *attemptBackoff) failed(now time.Time, minDelay time.Duration, jitter func(time.Duration) time.Duration) {
	backoff := min(minAttemptBackoff<<min(b.failures, 16), maxAttemptBackoff)
	b.failures++
	b.next = now.Add(minDelay + jitter(backoff) + backoff/2)
}

func (b *attemptBackoff) reset() {
	b.failures = 0
}
