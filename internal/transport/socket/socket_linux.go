package socket

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetRawUserTimeout is SetUserTimeout for a socket that is not connected yet.
func SetRawUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, failure)
}

func quiet(raw syscall.RawConn) bool {
	open := false
	// Control, unlike Read, works past the connection's read deadline.
	err := raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && open
}
