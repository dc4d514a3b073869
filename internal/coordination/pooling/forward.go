package pooling

import (
	"errors"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Placement is this instance's part in the connections to a database.
type Placement struct {
	// Share is how many connections this instance may open.
	Share int
	// Forward is set if its own requests may run on connections of other instances.
	Forward bool
	// Holds is set if this instance is a holder too.
	Holds bool
	// CloseExcess is set if idle connections beyond the share are closed at once:
	// the holders have changed, and the new ones need them.
	CloseExcess bool
}

// Forwarder passes statements to instances that hold connections to a database.
type Forwarder interface {
	// Open returns a connection whose statements run at a holder. It does no I/O;
	// the first statement may wait for a connection of the holder until deadline.
	// It returns nil if this instance itself is the holder to use.
	Open(server state.Server, request Request, deadline time.Time) ServerConn
}

// valuesCarrier is a connection that sends the session's values with each
// statement, so that they need no exchange of their own.
type valuesCarrier interface {
	CarryValues(values *Values)
}

// SetPlacement sets what decides which instances open connections. It must be
// called before the manager is used.
func (m *Manager) SetPlacement(placement func(state.Server) Placement, forwarder Forwarder) {
	m.placement, m.forwarder = placement, forwarder
}

func (m *Manager) placementOf(server state.Server) Placement {
	if m.placement == nil {
		return Placement{Share: m.DirectShare(server.Group)}
	}
	return m.placement(server)
}

// DirectShare returns this instance's share of the connections to a database of a
// group if every instance opens its own.
func (m *Manager) DirectShare(group state.GroupID) int {
	return share(m.maxConnections(group), m.divisionOf(group))
}

// forward returns a connection whose statements run at another instance; nil if the
// request is to use a connection of this pool.
func (p *Pool) forward(request Request, deadline time.Time) *Conn {
	p.mu.Lock()
	forwards := p.forwards && !p.closed && !request.Local
	p.mu.Unlock()
	if !forwards {
		return nil
	}
	if conn := p.forwarder.Open(p.server, request, deadline); conn != nil {
		return newForwardedConn(conn, p.server, request.Workspace)
	}
	return nil
}

const (
	// failedTime is what a forwarded statement that failed counts in the average
	// latency. The holder may refuse it at once, and a database that is down must
	// not seem to be fast.
	failedTime = 300 * time.Millisecond
	// forgetWeight is how fast the average latency of a database that is not used
	// returns to the assumed one with each sample of the demand, so that it is tried
	// again after some seconds. Its health is known to its holders only.
	forgetWeight = 0.04
)

// forwardedTime returns what a forwarded statement counts in the average latency. It
// must be called with the lock held.
func (p *Pool) forwardedTime(took time.Duration, err error) time.Duration {
	var noConn *NoConnectionError
	switch {
	case err == nil:
		return took
	case errors.As(err, &noConn):
		return p.latency // Saturated tells of it
	default:
		return max(took, failedTime)
	}
}

func newForwardedConn(conn ServerConn, server state.Server, workspace state.WorkspaceID) *Conn {
	return &Conn{ServerConn: conn, Server: server, Workspace: workspace, forwarded: true, prepared: make(map[string]bool), lastUsed: time.Now()}
}

// UnsentError is the error of a statement that was surely not sent to the
// database.
type UnsentError struct {
	Database state.DatabaseID
	Cause    error
}

// Error names the database and the cause.
func (e *UnsentError) Error() string {
	return "not sent to " + string(e.Database) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// NotSent reports whether err says that the statement was surely not sent to the
// database.
func NotSent(err error) bool {
	var unsent *UnsentError
	return errors.As(err, &unsent)
}
