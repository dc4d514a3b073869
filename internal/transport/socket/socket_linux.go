package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetRawUserTimeout does what SetUserTimeout does for a socket that is not
// connected yet, and returns the error of the system call.
func SetRawUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(descriptor uintptr) {
		sockoptErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

func isIdle(raw syscall.RawConn) bool {
	idle := false
	// Control, unlike Read, also works after the connection's read deadline.
	err := raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && idle
}
