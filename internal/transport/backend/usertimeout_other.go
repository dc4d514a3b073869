//go:build !linux

package backend

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing where the system offers no such option.
func setUserTimeout(syscall.RawConn, time.Duration) error {
	return nil
}
