package admission

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	initialOpenBackoff = 20 * time.Millisecond
	maxOpenBackoff     = 2 * time.Second
)

type attemptResult uint8

const (
	attemptSucceeded attemptResult = iota
	attemptFailed
	attemptCancelled
)

// Pacer bounds how many connections to one backend server are being opened at
// once. After a failure it allows one attempt at a time, each after a pause with
// jitter and exponential backoff. It is safe for concurrent use.
type Pacer struct {
	server        state.DatabaseID
	maxConcurrent int

	mu        sync.Mutex // protects the fields below
	opening   int
	failing   bool
	notBefore time.Time
	pause     *backoff.ExponentialBackOff
	// changed is closed and replaced when an attempt ends.
	changed chan struct{}
}

// NewPacer returns a Pacer that allows the given number of concurrent attempts.
func NewPacer(server state.DatabaseID, concurrent int) *Pacer {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialOpenBackoff
	pause.MaxInterval = maxOpenBackoff
	return &Pacer{
		server: server, maxConcurrent: max(concurrent, 1), pause: pause, changed: make(chan struct{}),
	}
}

// Open waits until an attempt is allowed, then runs open and returns its error.
// It returns a *state.Failure with OutcomeNotRun if the context ends first, and
// does so at once if the pause lasts beyond the context's deadline.
func (p *Pacer) Open(ctx context.Context, open func(context.Context) error) error {
	if err := p.waitForTurn(ctx); err != nil {
		return err
	}
	result := attemptFailed
	defer func() { p.finish(result) }()
	err := open(ctx)
	switch {
	case err == nil:
		result = attemptSucceeded
	case errors.Is(ctx.Err(), context.Canceled):
		result = attemptCancelled
	}
	return err
}

func (p *Pacer) waitForTurn(ctx context.Context) error {
	for {
		changed, pause, started := p.start()
		if started {
			return nil
		}
		deadline, bounded := ctx.Deadline()
		if bounded && time.Until(deadline) < pause {
			return p.refuse(pause, nil)
		}
		if err := waitChange(ctx, changed, pause); err != nil {
			return p.refuse(pause, err)
		}
	}
}

// start begins an attempt if one is allowed now. Otherwise it returns the channel
// that is closed when an attempt ends, and the rest of the pause.
func (p *Pacer) start() (<-chan struct{}, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.maxConcurrent
	if p.failing {
		limit = 1
	}
	pause := max(0, time.Until(p.notBefore))
	if pause > 0 || p.opening >= limit {
		return p.changed, pause, false
	}
	p.opening++
	return nil, 0, true
}

// finish ends an attempt. Concurrent attempts that fail together lengthen the
// pause only once. An attempt that its caller cancelled is no evidence of the
// backend server's state and changes nothing else.
func (p *Pacer) finish(result attemptResult) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	now := time.Now()
	switch {
	case result == attemptSucceeded:
		p.failing = false
		p.notBefore = time.Time{}
		p.pause.Reset()
	case result == attemptFailed && !now.Before(p.notBefore):
		p.failing = true
		p.notBefore = now.Add(p.pause.NextBackOff())
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Pacer) refuse(pause time.Duration, cause error) error {
	return state.NotRun(state.ReasonUnreachable, "open connection", string(p.server), max(pause, minRetryAfter), cause)
}

// waitChange waits until changed is closed, the pause, if any, has passed or
// the context ends.
func waitChange(ctx context.Context, changed <-chan struct{}, pause time.Duration) error {
	var expired <-chan time.Time
	if pause > 0 {
		timer := time.NewTimer(pause)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-expired:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
