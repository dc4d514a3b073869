package network

import (
	"io"
	"net"
	"sync"
	"time"
)

// bufferBytes is the size of the buffers between a stream and a socket.
const bufferBytes = 32 << 10

// conn is a connection with one stream for each direction. Writes never block.
type conn struct {
	raw          net.Conn
	out, in      *stream
	readDeadline deadline
	closeOnce    sync.Once
	closed       chan struct{}
}

func newConn(network *Network, raw net.Conn, from, to Place) *conn {
	c := &conn{
		raw: raw, closed: make(chan struct{}),
		out: newStream(network, direction{from, to}), in: newStream(network, direction{to, from}),
	}
	c.readDeadline.init()
	go c.writeOutgoing()
	go c.readIncoming()
	return c
}

// writeOutgoing writes the bytes that arrive on the outgoing stream to the socket.
func (c *conn) writeOutgoing() {
	c.out.copyTo(c.raw)
	c.raw.Close()
}

// readIncoming sends the bytes read from the socket through the incoming stream.
func (c *conn) readIncoming() {
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
	return c.in.receive(p, c.readDeadline.expired())
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.out.send(p, nil)
	return len(p), nil
}

// Close implements net.Conn. Bytes written before it are still delivered, and
// then the server's end of the connection is closed.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.in.close()
		c.out.send(nil, io.EOF)
	})
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.raw.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// SetDeadline implements net.Conn. It sets only the read deadline, as writes
// never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.Conn. It has no effect, as writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// deadline closes a channel at a time that can be changed. Its mutex guards the
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

// set changes the deadline, also for reads that are already blocked. A time that
// has passed wakes them at once.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil && !d.timer.Stop() {
		<-d.channel // the timer has fired: it closes the channel, or has closed it
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
