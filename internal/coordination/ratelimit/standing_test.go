package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Who shares a limit, by the rows of the instances: 0 stands for no share.
func TestShareFollowsTheRows(t *testing.T) {
	const now = time.Hour
	for name, check := range map[string]struct {
		joined, others, read, renewed time.Duration // ago
		denominator                   int
	}{
		"all are old":                  {joined: time.Minute, others: time.Minute, denominator: 3},
		"joined beside old ones":       {joined: 10 * time.Second, others: time.Minute, denominator: 0},
		"others joined":                {joined: time.Minute, others: 10 * time.Second, denominator: 1},
		"others joined just now":       {joined: time.Minute, others: time.Second, denominator: 3},
		"all started together":         {joined: 4 * time.Second, others: 5 * time.Second, denominator: 3},
		"rows read long ago":           {joined: time.Minute, others: time.Minute, read: minRowsAge, denominator: 0},
		"own row renewed long ago":     {joined: time.Minute, others: time.Minute, renewed: minRowsAge, denominator: 0},
		"an outage of the store, 12 s": {joined: time.Minute, others: time.Minute, read: 16 * time.Second, renewed: 14 * time.Second, denominator: 3},
	} {
		t.Run(name, func(t *testing.T) {
			standing := leadership.Standing{
				Self: "a", Earliest: now, Latest: now, ReadAt: now - check.read, RenewedAt: now - check.renewed, Joined: now - check.joined,
				ReadInterval: 4 * time.Second, Settled: true,
				Instances: []leadership.InstanceRow{{Name: "a", Joined: now - check.joined}, {Name: "b", Joined: now - check.others}, {Name: "c", Joined: now - check.others}},
			}
			share := shareOf(standing, state.Instant(now))
			require.Equal(t, check.denominator, share.denominator)
			require.Equal(t, check.denominator > 0, share.valid(state.Instant(now)))
		})
	}
}
