//go:build !linux

package state

import "time"

var processStart = time.Now()

// BootClock falls back to the runtime's monotonic clock, which stands still
// while the machine is suspended on some systems.
type BootClock struct{}

// Now implements Clock.
func (BootClock) Now() Instant {
	return Instant(time.Since(processStart))
}
