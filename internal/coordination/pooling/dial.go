package pooling

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// dialTimeout bounds the opening of a connection: two round trips between
	// regions and the database's own 12 ms, with room for a busy database.
	dialTimeout = 600 * time.Millisecond
	// growthPart bounds the connections being opened to this part of those
	// that are open.
	growthPart = 2
	// dialPause keeps a pool from opening connections one after the other
	// while the database refuses them.
	// The pause doubles with each refusal.
	dialPause        = 50 * time.Millisecond
	longestDialPause = 200 * time.Millisecond
	maxDoublings     = 2
)

// DialError is the error of a connection that could not be opened.
type DialError struct {
	Database state.DatabaseID
	// Code is the database's own refusal; CodeNone where it did not answer.
	Code  state.ErrorCode
	Cause error
}

// Error gives database and cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Database, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Answered reports whether the database refused the connection itself, so that
// it runs.
func (e *DialError) Answered() bool {
	var refused *RefusedError
	return errors.As(e.Cause, &refused)
}

// openMore must be called with the lock held. The pool grows step by step:
// after a restart of all instances, as many connections as requests wait would
// keep the database busy with opening them.
func (p *Pool) openMore() {
	if time.Now().Before(p.dialAfter) {
		return
	}
	most := min(p.queue.Len(), max(1, p.open/growthPart), p.share-p.open)
	for p.opening < most {
		p.opening++
		go p.dial()
	}
}

func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	conn, detoured, err := p.connect(ctx)
	cancel()
	if err != nil {
		p.dialFailed(err, detoured)
		return
	}
	if !detoured {
		p.health.Success(p.server.ID)
	}
	p.mu.Lock()
	p.opening--
	if p.closed {
		p.mu.Unlock()
		conn.Close()
		return
	}
	p.open++
	p.refusals = 0
	p.keep(newLink(conn, p.server, detoured))
	p.dispatch()
	p.mu.Unlock()
}

// connect opens a connection, through another instance where the database
// can't be reached from here.
func (p *Pool) connect(ctx context.Context) (conn Conn, detoured bool, err error) {
	if p.health.Suspected(p.server.ID) {
		conn, err = p.dialer.Detour(ctx, p.server)
		if err == nil {
			p.log.Info().Str("database", string(p.server.ID)).Msg("connection opened through another instance")
		}
		if !errors.Is(err, state.ErrNoTunnel) {
			return conn, true, err
		}
	}
	conn, err = p.dialer.Dial(ctx, p.server)
	return conn, false, err
}

func (p *Pool) dialFailed(err error, detoured bool) {
	failure := &DialError{Database: p.server.ID, Cause: err}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		failure.Code = refused.Code
		if !detoured {
			p.health.Success(p.server.ID)
		}
	case errors.Is(err, state.ErrClosedAtStartup):
		// The database accepted the connection and closed it: it runs, and
		// has more connections than it accepts.
		failure.Code = state.CodeTooManyConnections
	case !detoured:
		p.health.Failure(p.server.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	now := time.Now()
	p.refusals++
	p.dialAfter = now.Add(min(dialPause<<min(p.refusals-1, maxDoublings), longestDialPause))
	if failure.Code == state.CodeTooManyConnections && p.open > 0 {
		// The waiters are served by the open connections, and more are opened
		// when one of them asks again.
		return
	}
	p.log.Warn().Err(err).Str("database", string(p.server.ID)).Int("open", p.open).Int("waiting", p.queue.Len()).Msg("connection not opened")
	if p.queue.Len() > 0 {
		w := heap.Pop(&p.queue).(*waiter)
		w.result <- waitResult{err: failure}
	}
	time.AfterFunc(time.Until(p.dialAfter), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch()
	})
}
