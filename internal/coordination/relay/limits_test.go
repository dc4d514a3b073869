package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fakeLimits admits while it has permits.
type fakeLimits struct{ permits, asked int }

func (l *fakeLimits) Admit(context.Context, state.WorkspaceID) (time.Duration, bool) {
	l.asked++
	if l.permits == 0 {
		return 40 * time.Millisecond, false
	}
	l.permits--
	return 0, true
}

func (l *fakeLimits) Return(state.WorkspaceID) { l.permits++ }

// An operation beyond the limit gets no connection; one of which nothing was sent does
// not count; one that was sent does, whatever became of it.
func TestOperationCountsIfSomethingWasSent(t *testing.T) {
	limits := &fakeLimits{permits: 1}
	session := &Session{engine: New(t.Context(), Config{Limits: limits})}
	operation := func(workspace state.WorkspaceID, ran time.Duration) (reply state.Reply, runs int) {
		r := &request{session: session, workspace: workspace, started: time.Now()}
		reply = session.limited(r, func(r *request) state.Reply {
			runs++
			r.ran = ran
			return state.Reply{}
		})
		return reply, runs
	}
	_, runs := operation("a", 0)
	require.Equal(t, []int{1, 1}, []int{runs, limits.permits})
	_, runs = operation("a", time.Millisecond)
	require.Equal(t, []int{1, 0}, []int{runs, limits.permits})
	reply, runs := operation("a", time.Millisecond)
	require.Equal(t, 0, runs)
	require.Equal(t, state.CodeBusy, reply.Code)
	require.Contains(t, reply.Detail, "retry after 40 ms")
	_, runs = operation("", time.Millisecond)
	require.Equal(t, []int{1, 3}, []int{runs, limits.asked})
}
