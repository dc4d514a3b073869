package rowstore

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

type bubbleClock struct{ started time.Time }

func (c bubbleClock) Now() state.Instant { return state.Instant(time.Since(c.started)) + 1 }

// changingStore has a change of its table each interval until it stops changing, and
// loses the response to watches while loses is set.
type changingStore struct {
	Store
	started  time.Time
	interval time.Duration
	until    time.Duration
	loses    atomic.Bool
	watches  int
}

func (s *changingStore) newest() uint64 {
	return uint64(min(time.Since(s.started), s.until)/s.interval) + 1
}

func (s *changingStore) List(context.Context, string) (Snapshot, error) {
	return Snapshot{Version: s.newest()}, nil
}

func (s *changingStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (Snapshot, error) {
	s.watches++
	if s.loses.Load() {
		state.Pause(ctx, wait)
		return Snapshot{}, ErrRefused
	}
	for deadline := time.Now().Add(wait); s.newest() <= after && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	snapshot := Snapshot{Version: s.newest()}
	if s.newest() > after {
		snapshot.Rows = []Row{{Table: "t", Key: "k", Version: s.newest()}}
	}
	return snapshot, nil
}

// run follows the store's table for a time. It returns when each version was
// seen first.
func (s *changingStore) run(t *testing.T, lasts time.Duration) (seenAt map[uint64]time.Duration) {
	t.Helper()
	seenAt = make(map[uint64]time.Duration)
	s.started = time.Now()
	follower := NewFollower(FollowerConfig{
		Store: s, Table: "t", Wait: ShortWait, MinInterval: BatchInterval, MaxInterval: MaxBatchInterval,
		Availability: NewAvailability(), Clock: bubbleClock{time.Now()}, Log: zerolog.Nop(),
		Apply: func(update Update) {
			if _, seen := seenAt[update.Version]; !seen {
				seenAt[update.Version] = time.Since(s.started)
			}
		},
	})
	ctx, cancel := context.WithTimeout(t.Context(), lasts)
	defer cancel()
	follower.Run(ctx)
	return seenAt
}

// Hundreds of databases are replaced one after another. 1,470 instances that read each
// change would call the store more often than it allows.
func TestManyChangesAreReadTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{interval: 100 * time.Millisecond, until: time.Hour}
		store.run(t, 30*time.Second)
		require.LessOrEqual(t, store.watches, 20, "watches in 30 s")
	})
}

// The response that reports a change is lost during a series of changes. It must be
// noticed as soon as at any other time.
func TestLostResponseDuringChangesIsNoticedInTime(t *testing.T) {
	for phase := range 20 {
		synctest.Test(t, func(t *testing.T) {
			lostFrom := 19*time.Second + time.Duration(phase)*100*time.Millisecond
			store := &changingStore{interval: 100 * time.Millisecond, until: lostFrom + 200*time.Millisecond}
			time.AfterFunc(lostFrom, func() { store.loses.Store(true) })
			time.AfterFunc(lostFrom+MaxBatchInterval+BatchInterval, func() { store.loses.Store(false) })
			noticed := store.run(t, time.Minute)[uint64(store.until/store.interval)+1]
			require.NotZero(t, noticed)
			require.LessOrEqual(t, noticed-lostFrom, ShortWait+maxRetryWait)
		})
	}
}

// A single change after a quiet time is read at once.
func TestSingleChangeIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &changingStore{interval: 3 * time.Second, until: time.Hour}
		for version, at := range store.run(t, 30*time.Second) {
			if version > 1 {
				require.Less(t, at-time.Duration(version-1)*store.interval, 100*time.Millisecond)
			}
		}
	})
}
