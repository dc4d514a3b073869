package backend

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const stepActivity = "ask for activity"

// Running asks the database, over a new connection, whether the process of
// another connection runs a statement. An error means that the database gave
// no answer.
func (c *Control) Running(ctx context.Context, pid uint32) (bool, error) {
	connection, err := c.dialer.connect(ctx, c.database.Address, "")
	if err != nil {
		return false, c.unreachable(stepActivity, err)
	}
	defer closeConnection(connection)
	results, err := connection.Exec(ctx, fmt.Sprintf("SELECT state FROM pg_stat_activity WHERE pid = %d", pid)).ReadAll()
	if err != nil {
		return false, c.callError(stepActivity, err)
	}
	if len(results) != 1 {
		err := eris.Errorf("activity: want one result, got %d", len(results))
		return false, state.Unknown(state.ReasonUnsupported, stepActivity, c.database.Address, err)
	}
	rows := results[0].Rows
	return len(rows) == 1 && string(rows[0][0]) == "active", nil
}
