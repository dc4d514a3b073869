package relay

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Limits admits operations of workspaces.
type Limits interface {
	// Admit waits briefly for a permit. If the operation is not admitted, retryAfter
	// says when the caller may return.
	Admit(ctx context.Context, workspace state.WorkspaceID) (retryAfter time.Duration, admitted bool)
	// Return gives back the permit of an operation of which nothing reached a
	// database.
	Return(workspace state.WorkspaceID)
}

// limited runs an operation, which is a single statement or the beginning of a
// transaction, if its workspace's limit admits it. Further attempts that run makes
// belong to the same operation. If nothing was sent to a database, the operation does
// not count.
func (s *Session) limited(r *request, run func(*request) state.Reply) state.Reply {
	limits := s.engine.Limits
	if limits == nil || r.workspace == "" {
		return run(r)
	}
	ctx, cancel := context.WithDeadline(s.engine.ctx, r.queueDeadline())
	retryAfter, admitted := limits.Admit(ctx, r.workspace)
	cancel()
	if !admitted {
		return r.busyReply("the workspace's limit is reached", retryAfter)
	}
	reply := run(r)
	if r.ran == 0 {
		limits.Return(r.workspace)
	}
	return reply
}
