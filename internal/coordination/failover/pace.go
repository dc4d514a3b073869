package failover

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// changePace keeps changes apart: the interval grows while primaries do not
// last, and shrinks after a calm time.
type changePace struct {
	term     state.Term
	last     time.Time
	interval time.Duration
}

// observe notes the group's known primary's term.
func (p *changePace) observe(term state.Term, now time.Time) {
	if term <= p.term {
		return
	}
	first := p.term == 0
	p.term = term
	if first {
		return
	}
	if p.interval == 0 || now.Sub(p.last) >= calmAfter {
		p.interval = minChangeInterval
	} else {
		p.interval = min(2*p.interval, maxChangeInterval)
	}
	p.last = now
}

// allows reports whether a change for the cause may start. Where there is
// certainly no primary, waiting protects nothing.
func (p *changePace) allows(cause Cause, now time.Time) bool {
	if p.last.IsZero() || cause == CauseLeaderless {
		return true
	}
	if cause == CauseDead {
		return now.Sub(p.last) >= minChangeInterval
	}
	return now.Sub(p.last) >= p.interval
}

// attemptPace spaces one Manager's attempts.
type attemptPace struct {
	next     time.Time
	failures int
}

func (p *attemptPace) failed(now time.Time, least time.Duration, jitter func(time.Duration) time.Duration) {
	backoff := min(minAttemptBackoff<<min(p.failures, 16), maxAttemptBackoff)
	p.failures++
	p.next = now.Add(least + jitter(backoff) + backoff/2)
}

func (p *attemptPace) reset() {
	p.failures = 0
}
