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
func (p *changeLimiter) observe(term state.Term, now time.Time) {
	if term <= p.term {
		return
	}
	first := p.term == 0
	p.term = term
	if first {
		return
	}
	if p.interval == 0 || now.Sub(p.last) >= stableAfter {
		p.interval = minChangeInterval
	} else {
		p.interval = min(2*p.interval, maxChangeInterval)
	}
	p.last = now
}

// allows reports whether a change for the cause may start. A group that certainly
// has no primary need not wait.
func (p *changeLimiter) allows(cause Cause, now time.Time) bool {
	if p.last.IsZero() || cause == CauseLeaderless {
		return true
	}
	if cause == CauseDead {
		return now.Sub(p.last) >= minChangeInterval
	}
	return now.Sub(p.last) >= p.interval
}

// attemptBackoff delays a Manager's next attempt after failed ones.
type attemptBackoff struct {
	next     time.Time
	failures int
}

func (p *attemptBackoff) failed(now time.Time, minDelay time.Duration, jitter func(time.Duration) time.Duration) {
	backoff := min(minAttemptBackoff<<min(p.failures, 16), maxAttemptBackoff)
	p.failures++
	p.next = now.Add(minDelay + jitter(backoff) + backoff/2)
}

func (p *attemptBackoff) reset() {
	p.failures = 0
}
