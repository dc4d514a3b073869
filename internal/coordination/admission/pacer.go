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
// once. After a failure it lets one attempt at a time through, after a jittered
// and growing pause. It is safe for concurrent use.
type Pacer struct {
	server     state.DatabaseID
	concurrent int

	mu        sync.Mutex // protects what follows
	opening   int
	failing   bool
	notBefore time.Time
	pause     *backoff.ExponentialBackOff
	// changed is closed and replaced when an attempt ends.
	changed chan struct{}
}

// NewPacer makes a Pacer that lets concurrent attempts run at once.
func NewPacer(server state.DatabaseID, concurrent int) *Pacer {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialOpenBackoff
	pause.MaxInterval = maxOpenBackoff
	return &Pacer{
		server: server, concurrent: max(concurrent, 1), pause: pause, changed: make(chan struct{}),
	}
}

// Open runs open when its turn comes and returns its error. Where the turn
// cannot come before the context's deadline, it returns a *state.Failure with
// OutcomeNotRun at once.
func (p *Pacer) Open(ctx context.Context, open func(context.Context) error) error {
	if err := p.waitTurn(ctx); err != nil {
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

func (p *Pacer) waitTurn(ctx context.Context) error {
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

// start takes a turn if one is free. Otherwise it returns the channel that is
// closed at the next change, and the pause that is still due.
func (p *Pacer) start() (<-chan struct{}, time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.concurrent
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

// finish ends a turn. Attempts that fail together lengthen the pause once, and
// one that its caller cancelled says nothing of the backend server.
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

// waitChange waits for a change or, where a pause is due, for its end.
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
