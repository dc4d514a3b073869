//go:build !linux

package socket

import (
	"syscall"
	"time"
)

// SetRawUserTimeout does nothing where the system offers no such option.
func SetRawUserTimeout(syscall.RawConn, time.Duration) error { return nil }

func quiet(syscall.RawConn) bool { return true }
