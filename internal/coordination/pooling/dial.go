package pooling

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

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

// NotReached reports whether the database gave no sign of life: nobody answered at its
// address, or another database did.
func (e *DialError) NotReached() bool {
	var refused *RefusedError
	return !errors.As(e.Cause, &refused) || refused.Code == state.CodeMisdirected
}

// openMore starts to open connections for the waiting requests. It must be
// called with the lock held. The pool grows in steps: after a restart of all
// instances, one connection for each waiting request would keep the database
// busy with opening them.
func (p *Pool) openMore() {
	for {
		w := p.queue.first(func(_ state.WorkspaceID, of *workspaceQueue) bool { return of.unserved() })
		if w == nil || !p.openFor(w) {
			return
		}
	}
}

// openFor starts to open a connection for a waiting request. If the share is used up,
// an idle connection makes room, without a successor if the pool is oversized. It
// returns false if none can be opened now. It must be called with the lock held.
func (p *Pool) openFor(w *waiter) bool {
	if time.Now().Before(p.dialAfter) || p.opening >= max(1, p.open/growthDivisor) {
		return false
	}
	if p.open+p.opening >= p.share {
		if !p.closeOldestIdle() || p.isOversized() && p.open+p.opening >= p.share {
			return false
		}
	}
	p.opening++
	p.queue.addOpening(w.Workspace, 1)
	go p.dial(w.Workspace)
	return true
}

// shrinkAfter is how long a pool may stay above its share while connections change
// hands. Shares go up and down by one with the demand.
const shrinkAfter = 5 * time.Second

// isOversized reports whether the pool has been above its share for long. It must be
// called with the lock held.
func (p *Pool) isOversized() bool {
	return !p.aboveSince.IsZero() && time.Since(p.aboveSince) > shrinkAfter
}

// closeOldestIdle closes the idle connection that was used least recently, if possible
// one of a workspace without waiting requests. It returns false if none is idle. It
// must be called with the lock held.
func (p *Pool) closeOldestIdle() bool {
	if len(p.idle) == 0 {
		return false
	}
	oldest := max(0, slices.IndexFunc(p.idle, func(conn *Conn) bool { return !p.queue.waits(conn.Workspace) }))
	conn := p.idle[oldest]
	p.idle = slices.Delete(p.idle, oldest, oldest+1)
	p.open--
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenpin_connections_replaced_total{group=%q}`, p.server.Group)).Inc()
	go conn.Close()
	return true
}

func (p *Pool) dial(workspace state.WorkspaceID) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	conn, tunnelled, err := p.connect(ctx, workspace)
	cancel()
	if err != nil {
		p.dialFailed(workspace, err, tunnelled)
		return
	}
	if !tunnelled {
		p.health.RecordSuccess(p.server.ID)
	}
	p.mu.Lock()
	p.opening--
	p.queue.addOpening(workspace, -1)
	if p.closed {
		p.mu.Unlock()
		conn.Close()
		return
	}
	p.open++
	p.dialFailures = 0
	p.addIdle(newConn(conn, p.server, workspace, tunnelled))
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
	raw, err := p.dialer.Dial(ctx, p.server, "")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openingForProbe--
	if err != nil {
		return nil, &DialError{Database: p.server.ID, Cause: err}
	}
	p.open++
	conn := newConn(raw, p.server, "", false)
	conn.acquired = time.Now()
	return conn, nil
}

// connect opens a connection. If the database is suspected, it connects through
// another instance where one is known that reaches the database.
func (p *Pool) connect(ctx context.Context, workspace state.WorkspaceID) (conn ServerConn, tunnelled bool, err error) {
	if p.health.Suspected(p.server.ID) {
		conn, err = p.dialer.DialTunnel(ctx, p.server, workspace)
		if err == nil {
			p.log.Info().Str("database", string(p.server.ID)).Msg("connection opened through another instance")
		}
		if !errors.Is(err, state.ErrNoTunnel) {
			return conn, true, err
		}
	}
	conn, err = p.dialer.Dial(ctx, p.server, workspace)
	return conn, false, err
}

func (p *Pool) dialFailed(workspace state.WorkspaceID, err error, tunnelled bool) {
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
	p.queue.addOpening(workspace, -1)
	now := time.Now()
	p.dialFailures++
	p.dialAfter = now.Add(min(dialPause<<min(p.dialFailures-1, maxDialPauseDoublings), maxDialPause))
	if failure.Code == state.CodeTooManyConnections && p.open > 0 {
		// The open connections of the workspace serve its waiting requests, those of
		// others make room. Further ones are opened after the pause.
		if p.queue.waits(workspace) && !p.hasIdle(workspace) && p.idleElsewhere(workspace) {
			p.closeOldestIdle()
			p.dispatchAfterPause()
		}
		return
	}
	p.log.Warn().Err(err).Str("database", string(p.server.ID)).Int("open", p.open).Int("waiting", p.queue.Len()).Msg("connection not opened")
	if w := p.queue.pop(workspace); w != nil {
		w.result <- waitResult{err: failure}
	}
	p.dispatchAfterPause()
}

// dispatchAfterPause serves the waiting requests when connections may be opened again.
// It must be called with the lock held.
func (p *Pool) dispatchAfterPause() {
	time.AfterFunc(time.Until(p.dialAfter), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dispatch()
	})
}

// idleElsewhere reports whether a connection of another workspace is idle. It must be
// called with the lock held.
func (p *Pool) idleElsewhere(workspace state.WorkspaceID) bool {
	return slices.ContainsFunc(p.idle, func(conn *Conn) bool { return conn.Workspace != workspace })
}
