package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

type handClock struct{ now state.Instant }

func (c *handClock) Now() state.Instant { return c.now }

func (c *handClock) pass(d time.Duration) { c.now = c.now.Add(d) }

// Pattern: a database goes dark. Late answers and one failed probe are enough
// after half a second of silence; an answer clears it.
func TestSilentDatabaseIsSuspected(t *testing.T) {
	clock := &handClock{now: state.Instant(time.Minute)}
	tracker := NewTracker(clock)
	tracker.Success("db")
	clock.pass(300 * time.Millisecond)
	tracker.Warning("db")
	tracker.Warning("db")
	require.True(t, tracker.Degraded("db"))
	clock.pass(300 * time.Millisecond)
	require.False(t, tracker.Suspected("db"), "late answers alone are load")
	tracker.Failure("db")
	require.True(t, tracker.Suspected("db"))
	tracker.Success("db")
	require.False(t, tracker.Suspected("db"))
	require.False(t, tracker.Degraded("db"))
}

// Pattern: connections are reset while new ones work.
func TestFailuresAmongSuccessesRaiseNoSuspicion(t *testing.T) {
	clock := &handClock{now: state.Instant(time.Minute)}
	tracker := NewTracker(clock)
	for range 50 {
		tracker.Failure("db")
		tracker.Failure("db")
		tracker.Failure("db")
		clock.pass(400 * time.Millisecond)
		tracker.Success("db")
		require.False(t, tracker.Suspected("db"))
	}
}

func TestNeverAskedDatabaseHasBeenSilentForEver(t *testing.T) {
	clock := &handClock{now: state.Instant(time.Minute)}
	require.Equal(t, time.Minute, NewTracker(clock).SilentFor("db"))
}
