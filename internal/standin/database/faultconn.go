package database

import (
	"io"
	"net"
	"sync"
	"time"
)

// gate blocks work while the database is frozen.
type gate struct {
	mu     sync.Mutex    // protects the fields below
	opened chan struct{} // closed unless frozen
	frozen bool
}

func newGate() *gate {
	opened := make(chan struct{})
	close(opened)
	return &gate{opened: opened}
}

func (g *gate) setFrozen(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if frozen == g.frozen {
		return
	}
	g.frozen = frozen
	if frozen {
		g.opened = make(chan struct{})
		return
	}
	close(g.opened)
}

// wait blocks while the database is frozen. It reports false if done was closed
// first.
func (g *gate) wait(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		opened := g.opened
		frozen := g.frozen
		g.mu.Unlock()
		if !frozen {
			return true
		}
		select {
		case <-opened:
		case <-done:
			return false
		}
	}
}

// faultConn is a connection that implements the freeze and silence switches.
type faultConn struct {
	net.Conn
	gate *gate
	done <-chan struct{} // closed when the server is killed

	mu       sync.Mutex // protects silenced and the closing of closed
	silenced bool
	closed   chan struct{}
}

func newFaultConn(connection net.Conn, gate *gate, done <-chan struct{}) *faultConn {
	return &faultConn{Conn: connection, gate: gate, done: done, closed: make(chan struct{})}
}

// silence discards all further writes and stops reading. The connection stays open
// until the timeout and is then closed, so that the peer notices nothing earlier.
func (c *faultConn) silence(timeout time.Duration) {
	c.mu.Lock()
	c.silenced = true
	c.mu.Unlock()
	c.SetReadDeadline(time.Unix(1, 0))
	time.AfterFunc(timeout, c.closeQuietly)
}

func (c *faultConn) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

// Read blocks while the database is frozen. On a silenced connection it returns
// no data and blocks until the connection closes or the server is killed.
func (c *faultConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if !c.gate.wait(c.done) {
		return 0, io.EOF
	}
	if c.isSilenced() {
		select {
		case <-c.closed:
		case <-c.done:
		}
		return 0, io.EOF
	}
	return count, err
}

// Write blocks while the database is frozen. On a silenced connection it
// discards the data and reports success.
func (c *faultConn) Write(data []byte) (int, error) {
	if !c.gate.wait(c.done) {
		return 0, io.ErrClosedPipe
	}
	if c.isSilenced() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection. Further calls do nothing.
func (c *faultConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
		return nil
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// closeQuietly closes the connection and ignores the error, for callers that
// cannot act on it.
func (c *faultConn) closeQuietly() {
	_ = c.Close()
}
