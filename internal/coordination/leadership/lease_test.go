package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// The bounds of the store's clock hold for any delays of its responses.
func TestStoreClockIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		var clock storeClock
		local := state.Instant(time.Hour)
		for range rapid.IntRange(1, 40).Draw(t, "answers") {
			sent := local
			there := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "there"))
			back := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "back"))
			local = sent.Add(there + back)
			clock.observe(sent, local, time.Duration(sent.Add(there))+offset)
			truth := time.Duration(local) + offset
			most, known := clock.upperBound(local)
			require.True(t, known)
			least := clock.lowerBound(local)
			require.GreaterOrEqual(t, most, truth)
			require.LessOrEqual(t, least, truth)
			local = local.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, "pause")))
		}
	})
}

// The machine is suspended while the response to a renewal is in transit. The
// lease starts at the store's time of the renewal, so the suspension counts
// towards it.
func TestSuspensionDoesNotStretchTheLease(t *testing.T) {
	l := lease{length: 4 * time.Second, maxLength: 20 * time.Second}
	sent := state.Instant(time.Minute)
	storeNow := 10 * time.Second
	woke := sent.Add(30 * time.Second)
	l.clock.observe(sent, woke, storeNow)
	l.recordRenewal(7, storeNow, l.length)
	require.False(t, l.valid(woke))
	require.Zero(t, l.remaining(woke))
}

// Confirmations do not extend a lease beyond its maximum length.
func TestConfirmationsDoNotExceedMaxLease(t *testing.T) {
	l := lease{length: 4 * time.Second, maxLength: 20 * time.Second}
	now := state.Instant(time.Minute)
	l.clock.observe(now, now, 10*time.Second)
	l.recordRenewal(9, 10*time.Second, l.length)
	later := now.Add(10 * time.Second)
	require.False(t, l.valid(later))
	l.confirmedUntil = later.Add(time.Second)
	require.True(t, l.valid(later))
	late := now.Add(25 * time.Second)
	l.confirmedUntil = late.Add(time.Second)
	require.False(t, l.valid(late))
}
