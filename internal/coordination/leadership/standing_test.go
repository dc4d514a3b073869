package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// An instance that is restarted stays known to the others by name, unless its row was
// not renewed for so long that they may have dropped it, or was lost with an era.
func TestRestartedInstanceStatesSinceWhenItHasARow(t *testing.T) {
	const storeNow = time.Minute
	row := func(run int64, era uint64, renewed time.Duration) heartbeat {
		return heartbeat{Run: run, Era: era, Joined: int64(5 * time.Second), Lease: 4 * time.Second, Until: int64(renewed + 4*time.Second)}
	}
	for name, check := range map[string]struct {
		earlier heartbeat
		since   time.Duration
	}{
		"restarted":                {row(1, 3, storeNow-time.Second), 5 * time.Second},
		"away for long":            {row(1, 3, storeNow-maxRowGap-time.Second), 0},
		"row of another era":       {row(1, 2, storeNow-time.Second), 0},
		"own row, response lost":   {row(2, 3, storeNow-time.Second), 0},
		"without an earlier row":   {},
		"restarted more than once": {heartbeat{Run: 1, Era: 3, Since: int64(2 * time.Second), Joined: int64(50 * time.Second), Lease: 1, Until: int64(storeNow)}, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			m := New(Config{Self: "entry-1", Run: 2, Clock: &manualClock{now: state.Instant(time.Hour)}})
			now := m.Clock.Now()
			m.lease.clock.observe(now, now, storeNow)
			m.era.number = 3
			m.continuity.recordOwnRow(m, check.earlier)
			require.Equal(t, int64(check.since), m.continuity.update(m))
		})
	}
}
