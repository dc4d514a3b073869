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
	// dialTimeout is the timeout for opening a connection: two round trips
	// between regions and the database's own 12 ms, with a margin for a busy
	// database.
	dialTimeout = 600 * time.Millisecond
	// growthDivisor limits the connections being opened at a time to the number
	// of open ones divided by this.
	growthDivisor = 2
	// dialPause is the pause after a failure to open a connection, so that a
	// pool does not dial continuously while the database refuses connections.
	// It doubles with each further failure.
	dialPause             = 50 * time.Millisecond
	maxDialPause          = 200 * time.Millisecond
	maxDialPauseDoublings = 2
)

// DialError is the error of a connection that could not be opened.
type DialError struct {
	Database state.DatabaseID
	// Code is the code with which the database refused the connection; CodeNone
	// if it did not reply.
	Code  state.ErrorCode
	Cause error
}

// Error names the database and the cause.
func (e *DialError) Error() string {
	return fmt.Sprintf("connect to %s: %v", e.Database, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// RefusedByDatabase reports whether the database itself refused the connection,
// which shows that it is running.
func (e *DialError) RefusedByDatabase() bool {
	var refused *RefusedError
	return errors.As(e.Cause, &refused)
}

// openMore starts to open connections for the waiting requests. It must be
// called with the lock held. The pool grows in steps: after a restart of all
// instances, one connection for each waiting request would keep the database
// busy with opening them.
func (p *Pool) openMore() {
	if time.Now().Before(p.dialAfter) {
		return
	}
	limit := min(p.queue.Len(), max(1, p.open/growthDivisor), p.share-p.open)
	for p.opening < limit {
		p.opening++
		go p.dial()
	}
}

func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	conn, tunnelled, err := p.connect(ctx)
	cancel()
	if err != nil {
		p.dialFailed(err, tunnelled)
		return
	}
	if !tunnelled {
		p.health.RecordSuccess(p.server.ID)
	}
	p.mu.Lock()
	p.opening--
	if p.closed {
		p.mu.Unlock()
		conn.Close()
		return
	}
	p.open++
	p.dialFailures = 0
	p.addIdle(newConn(conn, p.server, tunnelled))
	p.dispatch()
	p.mu.Unlock()
}

// takeOrDial returns an idle direct connection, or opens one if the share allows.
// The error is state.ErrNotProbed if it does not.
func (p *Pool) takeOrDial(ctx context.Context) (*Conn, error) {
	if conn := p.takeDirect(); conn != nil {
		return conn, nil
	}
	p.mu.Lock()
	if p.closed || p.open+p.opening+p.openingForProbe >= p.share {
		p.mu.Unlock()
		return nil, state.ErrNotProbed
	}
	p.openingForProbe++
	p.mu.Unlock()
	raw, err := p.dialer.Dial(ctx, p.server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openingForProbe--
	if err != nil {
		return nil, &DialError{Database: p.server.ID, Cause: err}
	}
	p.open++
	conn := newConn(raw, p.server, false)
	conn.acquired = time.Now()
	return conn, nil
}

// connect opens a connection. If the database is suspected, it connects through
// another instance where one is known that reaches the database.
func (p *Pool) connect(ctx context.Context) (conn ServerConn, tunnelled bool, err error) {
	if p.health.Suspected(p.server.ID) {
		conn, err = p.dialer.DialTunnel(ctx, p.server)
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

func (p *Pool) dialFailed(err error, tunnelled bool) {
	failure := &DialError{Database: p.server.ID, Cause: err}
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		failure.Code = refused.Code
		if !tunnelled {
			p.health.RecordSuccess(p.server.ID)
		}
	case errors.Is(err, state.ErrClosedAtStartup):
		// The database accepted the connection and closed it: it is running
		// but has reached its connection limit.
		failure.Code = state.CodeTooManyConnections
	case !tunnelled:
		p.health.RecordFailure(p.server.ID)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	now := time.Now()
	p.dialFailures++
	p.dialAfter = now.Add(min(dialPause<<min(p.dialFailures-1, maxDialPauseDoublings), maxDialPause))
	if failure.Code == state.CodeTooManyConnections && p.open > 0 {
		// The open connections serve the waiting requests. Further ones are
		// opened at the next dispatch after the pause.
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
