package database

import (
	"io"
	"net"
	"sync"
	"time"
)

// gate is open unless the database is frozen.
type gate struct {
	mu     sync.Mutex    // protects opened
	opened chan struct{} // closed while the gate is open
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

// wait blocks while the gate is shut. It reports false when done came first.
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

// guardedConn is a connection that obeys the freeze and silence switches.
type guardedConn struct {
	net.Conn
	gate *gate
	done <-chan struct{} // closed when the server is killed

	mu       sync.Mutex // protects silenced and closed
	silenced bool
	closed   chan struct{}
}

func newGuardedConn(connection net.Conn, gate *gate, done <-chan struct{}) *guardedConn {
	return &guardedConn{Conn: connection, gate: gate, done: done, closed: make(chan struct{})}
}

// silence stops all answers and reads; after the timeout the connection is
// dropped without a word to its peer until then.
func (c *guardedConn) silence(timeout time.Duration) {
	c.mu.Lock()
	c.silenced = true
	c.mu.Unlock()
	c.SetReadDeadline(time.Unix(1, 0))
	time.AfterFunc(timeout, c.drop)
}

func (c *guardedConn) isSilenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silenced
}

// Read waits while the database is frozen, and for good once silenced.
func (c *guardedConn) Read(buffer []byte) (int, error) {
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

// Write waits while the database is frozen, and drops everything once
// silenced.
func (c *guardedConn) Write(data []byte) (int, error) {
	if !c.gate.wait(c.done) {
		return 0, io.ErrClosedPipe
	}
	if c.isSilenced() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// Close closes the connection once.
func (c *guardedConn) Close() error {
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

// drop closes the connection where an error tells nobody anything.
func (c *guardedConn) drop() {
	_ = c.Close()
}
