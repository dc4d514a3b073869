// Package socket sets options of TCP sockets and inspects their state.
package socket

import (
	"net"
	"syscall"
	"time"
)

// BackendUserTimeout is the TCP user timeout of connections to databases and of the
// connections that make up a tunnel to one. It exceeds the longest round trip
// with its retransmissions.
const BackendUserTimeout = 2 * time.Second

// SetUserTimeout bounds how long sent data may stay unacknowledged by the other
// machine before the kernel closes the connection. It has no effect on
// connections that are not TCP, as in tests. If the kernel refuses the option,
// its own, longer timeout applies.
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

// IsIdle reports, without blocking, whether a connection is open and has nothing
// to read. It returns true for connections whose state cannot be inspected.
func IsIdle(conn net.Conn) bool {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	return isIdle(raw)
}
