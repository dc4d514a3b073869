package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now state.Instant }

func (c *manualClock) Now() state.Instant { return c.now }

func (c *manualClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// A database stops responding. Two warnings for late replies and one failed
// probe make it suspected after half a second without a reply; a reply clears
// the suspicion.
func TestSilentDatabaseIsSuspected(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	tracker := NewTracker(clock)
	tracker.RecordSuccess("db")
	clock.advance(300 * time.Millisecond)
	tracker.RecordWarning("db")
	tracker.RecordWarning("db")
	require.True(t, tracker.Degraded("db"))
	clock.advance(300 * time.Millisecond)
	require.False(t, tracker.Suspected("db"), "late answers alone are load")
	tracker.RecordFailure("db")
	require.True(t, tracker.Suspected("db"))
	tracker.RecordSuccess("db")
	require.False(t, tracker.Suspected("db"))
	require.False(t, tracker.Degraded("db"))
}

// Guards against suspecting a database whose connections are reset while new
// connections work.
func TestFailuresBetweenSuccessesRaiseNoSuspicion(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	tracker := NewTracker(clock)
	for range 50 {
		tracker.RecordFailure("db")
		tracker.RecordFailure("db")
		tracker.RecordFailure("db")
		clock.advance(400 * time.Millisecond)
		tracker.RecordSuccess("db")
		require.False(t, tracker.Suspected("db"))
	}
}

func TestUncontactedDatabaseIsSilentSinceTheClocksStart(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	require.Equal(t, time.Minute, NewTracker(clock).SinceLastReply("db"))
}
