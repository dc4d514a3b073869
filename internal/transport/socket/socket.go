// Package socket sets options of TCP sockets and looks at their state.
package socket

import (
	"net"
	"syscall"
	"time"
)

// BackendUserTimeout ends a connection to a database, or a part of the way there,
// whose other machine no longer confirms what was sent; it is above the longest
// round trip and its repeats.
const BackendUserTimeout = 2 * time.Second

// SetUserTimeout bounds how long sent data may stay unconfirmed by the other
// machine before the kernel ends the connection. Connections that are not TCP,
// as in tests, have no such bound; a kernel that refuses the option leaves its
// own, longer one in force.
func SetUserTimeout(conn net.Conn, timeout time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = SetRawUserTimeout(raw, timeout)
}

// IsIdle reports whether a connection is open and has nothing to read, without
// waiting. It is true where that can't be told.
func IsIdle(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	return quiet(raw)
}
