//go:build !linux

package state

import "time"

var processStart = time.Now()

// BootClock falls back to the runtime's monotonic clock, which on some systems
// stops while the machine is suspended.
type BootClock struct{}

// Now implements Clock.
func (BootClock) Now() Instant {
	return Instant(time.Since(processStart))
}
