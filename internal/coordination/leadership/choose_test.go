package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// The old primary has started anew, without its log, and reports a position that any
// replica covers. With one of two replies nobody knows what replicas have acknowledged.
func TestPositionOfAPrimaryThatStartedAnewProvesNothing(t *testing.T) {
	behind := candidate{server: state.Server{Database: state.Database{ID: "d2"}}, status: state.ServerStatus{Role: state.RoleReplica, Term: 3, Received: state.Position{Term: 3, Offset: 40}}}
	replies := groupReplies{all: []candidate{behind}, running: []candidate{behind}, members: 2, copies: 1, target: state.Position{Term: 3, Offset: 1}}
	attempt := &changeAttempt{group: "g", old: "d1"}
	for _, waited := range []time.Duration{statusTimeout, time.Hour} {
		_, ok := replies.choose(attempt, waited)
		require.False(t, ok)
	}
	replies.final = true
	chosen, ok := replies.choose(attempt, statusTimeout)
	require.True(t, ok, "it led until it was made to step down")
	require.Equal(t, behind, chosen)
}
