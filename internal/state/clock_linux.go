package state

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock reads the kernel's CLOCK_BOOTTIME.
type BootClock struct{}

// Now implements Clock.
func (BootClock) Now() Instant {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has had this clock since 2.6.39. Without it a lease's expiry
		// can't be checked, so the process must not continue.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(time.Duration(now.Nano()))
}
