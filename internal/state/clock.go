package state

import (
	"context"
	"time"
)

// Instant is a reading of a Clock: the time since an unspecified start.
type Instant time.Duration

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration {
	return time.Duration(i - other)
}

// Add returns the moment d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Clock is a monotonic clock that continues while the machine is suspended.
// Leases and staleness bounds are measured on it, because the Go runtime's
// monotonic clock stops during a suspension.
type Clock interface {
	Now() Instant
}

// ClockOffsets are bounds of how far a shared clock is ahead of the local one.
type ClockOffsets struct {
	Lower, Upper time.Duration
	// Era identifies the shared clock: readings of different eras are not comparable.
	Era uint64
}

// Pause waits for a time or until ctx ends, whichever comes first.
func Pause(ctx context.Context, wait time.Duration) {
	_ = PauseOrWake(ctx, wait, nil)
}

// PauseOrWake is like Pause, but also returns when wake is ready to receive. It
// reports whether that was so.
func PauseOrWake(ctx context.Context, wait time.Duration, wake <-chan struct{}) bool {
	if wait <= 0 {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-wake:
		return true
	}
	return false
}

// Every calls action after each interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, action func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			action()
		}
	}
}
