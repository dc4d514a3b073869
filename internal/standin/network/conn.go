package network

import (
	"io"
	"net"
	"sync"
	"time"
)

// bufferBytes is the size of the buffers between a line and a socket.
const bufferBytes = 32 << 10

// conn is a connection whose two directions are lines. Writes never wait.
type conn struct {
	raw      net.Conn
	out, in  *line
	reading  deadline
	closing  sync.Once
	closedCh chan struct{}
}

func newConn(network *Network, raw net.Conn, from, to Place) *conn {
	c := &conn{
		raw: raw, closedCh: make(chan struct{}),
		out: newLine(network, direction{from, to}), in: newLine(network, direction{to, from}),
	}
	c.reading.init()
	go c.deliver()
	go c.collect()
	return c
}

// deliver writes to the socket what has crossed the network.
func (c *conn) deliver() {
	c.out.pump(c.raw)
	c.raw.Close()
}

// collect reads the socket and sends what comes across the network.
func (c *conn) collect() {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := c.raw.Read(buffer)
		if count > 0 {
			c.in.send(buffer[:count], nil)
		}
		if err != nil {
			c.in.send(nil, err)
			return
		}
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	return c.in.receive(p, c.reading.expired())
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closedCh:
		return 0, net.ErrClosed
	default:
	}
	c.out.send(p, nil)
	return len(p), nil
}

// Close implements net.Conn. What was written before is still delivered, and
// then the server sees the end of the connection.
func (c *conn) Close() error {
	c.closing.Do(func() {
		close(c.closedCh)
		c.in.close()
		c.out.send(nil, io.EOF)
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// SetDeadline implements net.Conn. Writes have no need of a deadline.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.reading.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// deadline closes a channel at a time that may be moved. Its mutex guards the
// other fields.
type deadline struct {
	mu      sync.Mutex
	timer   *time.Timer
	channel chan struct{}
}

func (d *deadline) init() {
	d.channel = make(chan struct{})
}

// expired returns the channel that is closed at the deadline.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.channel
}

// set moves the deadline. It wakes readers only if the time has come.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.channel // the timer closes it, or has closed it
	}
	d.timer = nil
	select {
	case <-d.channel:
		d.channel = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	channel := d.channel
	remaining := time.Until(t)
	if remaining <= 0 {
		close(channel)
		return
	}
	d.timer = time.AfterFunc(remaining, func() { close(channel) })
}
