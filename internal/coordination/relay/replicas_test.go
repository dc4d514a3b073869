package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Guards against a replica with a backlog of many seconds that refuses more
// reads than it serves: the pause between attempts grows, and ends when the
// replica replies with a position.
func TestReplicaWithABacklogIsTriedSeldom(t *testing.T) {
	known := newReplicaPositions()
	minPosition := state.Position{Term: 1, Offset: 100}
	now := state.Instant(time.Minute)
	attempts := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if known.mayHold("r", minPosition, now) {
			known.recordLagging("r", minPosition, now)
			attempts++
		}
	}
	require.LessOrEqual(t, attempts, 10*1000/800+backlogRefusals+3, "in ten seconds")
	require.GreaterOrEqual(t, attempts, 10)
	known.recordApplied("r", state.Position{Term: 1, Offset: 99})
	now = now.Add(laggingPause)
	require.True(t, known.mayHold("r", minPosition, now))
}

// A replica that lacked a position may still be tried for an earlier one.
func TestLaggingReplicaMayHoldAnEarlierPosition(t *testing.T) {
	known := newReplicaPositions()
	now := state.Instant(time.Minute)
	known.recordLagging("r", state.Position{Term: 1, Offset: 100}, now)
	require.True(t, known.mayHold("r", state.Position{Term: 1, Offset: 90}, now))
	require.False(t, known.mayHold("r", state.Position{Term: 1, Offset: 100}, now))
}
