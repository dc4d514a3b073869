//go:build !linux

package socket

import (
	"syscall"
	"time"
)

// SetRawUserTimeout does nothing: the option is only set on Linux.
func SetRawUserTimeout(syscall.RawConn, time.Duration) error { return nil }

func isIdle(syscall.RawConn) bool { return true }
