package admission

import (
	"sync"
	"time"
)

// RetryBudget allows retries as a share of the requests that succeed, so that
// retries cannot multiply the load of an outage. It is safe for concurrent use.
type RetryBudget struct {
	ratio     float64
	perSecond float64
	burst     float64

	mu     sync.Mutex // protects what follows
	tokens float64
	last   time.Time
}

// NewRetryBudget allows ratio retries for each success, and perSecond retries
// each second besides, so that a quiet caller may retry too. At most burst
// retries are saved up.
func NewRetryBudget(ratio, perSecond, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, perSecond: perSecond, burst: burst, tokens: burst, last: time.Now()}
}

// RecordSuccess counts a request that got its answer.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take reports whether one more retry is allowed, and counts it if so.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.perSecond*now.Sub(b.last).Seconds())
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
