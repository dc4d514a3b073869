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
		// Every Linux since 2.6.39 has this clock. Without it, nothing that
		// a lease protects may be done.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(time.Duration(now.Nano()))
}
