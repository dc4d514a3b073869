package backend

import (
	"context"
	"fmt"
)

const (
	stepActivity  = "ask for activity"
	stepTerminate = "end connection"
)

// IsExecuting reports whether the process of another connection is executing a
// statement. It queries the database over a new connection. An error means that
// the database gave no usable reply.
func (c *Control) IsExecuting(ctx context.Context, pid uint32) (bool, error) {
	rows, err := c.runOnNewConnection(ctx, stepActivity, fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d", pid))
	if err != nil {
		return false, err
	}
	return len(rows) == 1 && len(rows[0]) == 1 && string(rows[0][0]) == "active", nil
}

// Terminate makes the database end another connection, which also releases the
// locks of its transaction. The statement is sent over a new connection. Errors
// are *state.Failure.
func (c *Control) Terminate(ctx context.Context, pid uint32) error {
	_, err := c.runOnNewConnection(ctx, stepTerminate, fmt.Sprintf("SELECT pg_terminate_backend(%d)", pid))
	return err
}

func (c *Control) runOnNewConnection(ctx context.Context, step, statement string) ([]row, error) {
	connection, err := c.dial(ctx)
	if err != nil {
		return nil, c.unreachable(step, err)
	}
	defer connection.Close()
	rows, err := asText(statement)(ctx, connection)
	if err != nil {
		return nil, c.callError(step, err)
	}
	return rows, nil
}
