package admission

import (
	"sync"
	"time"
)

// RetryBudget limits retries to a fraction of the successful requests, so that
// retries cannot multiply the load during an outage. It is a token bucket and
// safe for concurrent use.
type RetryBudget struct {
	ratio     float64
	perSecond float64
	burst     float64

	mu         sync.Mutex // protects the fields below
	tokens     float64
	lastRefill time.Time
}

// NewRetryBudget returns a budget that earns ratio retries for each success,
// and perSecond retries each second in addition, so that a caller with few
// requests can retry too. At most burst retries accumulate.
func NewRetryBudget(ratio, perSecond, burst float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, perSecond: perSecond, burst: burst, tokens: burst, lastRefill: time.Now()}
}

// RecordSuccess adds the share of a retry that a successful request earns.
func (b *RetryBudget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Take reports whether one more retry is allowed, and consumes a token if so.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.tokens = min(b.burst, b.tokens+b.perSecond*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
