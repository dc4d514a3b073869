package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Guards against a minimum position that lacks commits acknowledged before the
// requested time, for any sequence of commits and observations.
func TestMinPositionCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := NewTracker()
		now, offset := state.Instant(time.Hour), uint64(0)
		type moment struct {
			at     state.Instant
			offset uint64
		}
		var commits []moment
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "commit") {
				offset++
				commits = append(commits, moment{now, offset})
				continue
			}
			tracker.Observe("g", now, state.Position{Term: 1, Offset: offset})
		}
		notBefore := now.Add(-time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "age")))
		minPosition, known := tracker.MinPosition("g", notBefore)
		if !known {
			return
		}
		for _, commit := range commits {
			if commit.at < notBefore {
				require.GreaterOrEqual(t, minPosition.Offset, commit.offset)
			}
		}
	})
}
