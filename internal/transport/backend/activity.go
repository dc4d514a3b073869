package backend

import (
	"context"
	"fmt"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	stepActivity  = "ask for activity"
	stepTerminate = "end connection"
)

// IsExecuting reports whether the process of another connection is executing a
// statement. It queries the database over a new connection. An error means that
// the database gave no usable reply.
func (c *Control) IsExecuting(ctx context.Context, pid uint32) (bool, error) {
	results, err := c.runOnNewConnection(ctx, stepActivity, fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d", pid))
	if err != nil {
		return false, err
	}
	if len(results) != 1 {
		err := eris.Errorf("activity query: want one result, got %d", len(results))
		return false, state.Unknown(state.ReasonUnsupported, stepActivity, c.database.Address, err)
	}
	rows := results[0].Rows
	return len(rows) == 1 && string(rows[0][0]) == "active", nil
}

// Terminate makes the database end another connection, which also releases the
// locks of its transaction. The statement is sent over a new connection. Errors
// are *state.Failure.
func (c *Control) Terminate(ctx context.Context, pid uint32) error {
	_, err := c.runOnNewConnection(ctx, stepTerminate, fmt.Sprintf("SELECT pg_terminate_backend(%d)", pid))
	return err
}

func (c *Control) runOnNewConnection(ctx context.Context, step, statement string) ([]*pgconn.Result, error) {
	connection, err := c.dialer.connect(ctx, c.database.Address, "")
	if err != nil {
		return nil, c.unreachable(step, err)
	}
	defer closeConnection(connection)
	results, err := connection.Exec(ctx, statement).ReadAll()
	if err != nil {
		return nil, c.callError(step, err)
	}
	return results, nil
}
