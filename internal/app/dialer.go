package app

import (
	"context"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/backend"
)

// backendDialer adapts the transport layer's dialer to execution.Dialer.
type backendDialer struct {
	dialer *backend.Dialer
}

// Dial implements execution.Dialer.
func (d backendDialer) Dial(ctx context.Context, database state.Database) (execution.Backend, error) {
	conn, err := d.dialer.Dial(ctx, database, "")
	if err != nil {
		return nil, err
	}
	return backendConn{Conn: conn}, nil
}

// backendConn adapts a connection of the transport layer to execution.Backend,
// which has a message type of its own.
type backendConn struct {
	*backend.Conn
}

// Receive implements execution.Backend.
func (c backendConn) Receive(ctx context.Context) (execution.Message, error) {
	message, err := c.Conn.Receive(ctx)
	return execution.Message(message), err
}
