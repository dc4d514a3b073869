package socket

import (
	"errors"
	"net"
	"os"
	"time"
)

// readyGrace is how long after its deadline a read may take that found data ready.
const readyGrace = 20 * time.Millisecond

// Reader reads from a connection. Data that is ready when the deadline has passed is
// returned all the same: after a suspension of the process or the machine, deadlines
// pass although the other side was in time.
type Reader struct{ Conn net.Conn }

// Read implements io.Reader.
func (r Reader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || IsIdle(r.Conn) {
		return n, err
	}
	if err := r.Conn.SetReadDeadline(time.Now().Add(readyGrace)); err != nil {
		return 0, err
	}
	return r.Conn.Read(p)
}
