package freshness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Whatever is observed, a floor covers all that was acknowledged before the
// moment asked for.
func TestFloorCoversWhatWasAcknowledged(t *testing.T) {
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
		asked := now.Add(-time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "age")))
		floor, known := tracker.MinPosition("g", asked)
		if !known {
			return
		}
		for _, commit := range commits {
			if commit.at < asked {
				require.GreaterOrEqual(t, floor.Offset, commit.offset)
			}
		}
	})
}
