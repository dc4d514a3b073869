package backend

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout bounds how long sent data may stay unacknowledged by the
// database's machine before the kernel ends the connection.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
