package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// lostPeerTimeout is how long the far side of a link keeps a connection whose other
	// end it can't reach.
	lostPeerTimeout = 3 * time.Second
	linkBufferBytes = 16 << 10
)

// link forwards TCP connections of one instance with a delay. Unlike a proxy it keeps
// several chunks on their way, drops what was not delivered when the sender resets the
// connection, and ends connections whose far side has waited for too long.
type link struct {
	listener net.Listener
	dial     func() (net.Conn, error)
	delay    time.Duration // one way

	mu      sync.Mutex
	changed *sync.Cond
	blocks  int // cuts that are active
	refuses bool
	lost    time.Time // when the far side gives connections up, zero without a cut
	pairs   map[*linkPair]struct{}
	closed  bool
}

// linkPair is one connection through a link.
type linkPair struct {
	near, far net.Conn
	ended     bool
	// silent is set if the connection delivers nothing any more.
	silent bool
}

func newLink(t *testing.T, address string, delay time.Duration, dial func() (net.Conn, error)) *link {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	l := &link{listener: listener, dial: dial, delay: delay, pairs: make(map[*linkPair]struct{})}
	l.changed = sync.NewCond(&l.mu)
	go l.serve()
	t.Cleanup(l.close)
	return l
}

func dialTo(target string) func() (net.Conn, error) {
	return func() (net.Conn, error) { return net.Dial("tcp", target) }
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) close() {
	_ = l.listener.Close()
	l.set(func() { l.closed = true })
	l.reset()
}

func (l *link) set(change func()) {
	l.mu.Lock()
	change()
	l.mu.Unlock()
	l.changed.Broadcast()
}

// cut begins or ends a cut. Cuts overlap: the link is whole when all have ended.
func (l *link) cut(active bool) {
	l.set(func() {
		if !active {
			l.blocks--
			if l.blocks == 0 {
				l.lost = time.Time{}
			}
			return
		}
		if l.blocks++; l.blocks == 1 {
			began := time.Now().Add(lostPeerTimeout)
			l.lost = began
			time.AfterFunc(lostPeerTimeout, func() { l.endLost(began) })
		}
	})
}

func (l *link) refuse(active bool) { l.set(func() { l.refuses = active }) }

// endLost closes the far sides of all connections if the cut that began then still lasts.
func (l *link) endLost(lost time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lost.Equal(lost) {
		return
	}
	for pair := range l.pairs {
		pair.ended = true
		if pair.far != nil {
			_ = pair.far.Close()
		}
	}
}

// silence lets the open connections deliver nothing any more, and leaves new ones alone.
func (l *link) silence() {
	l.set(func() {
		for pair := range l.pairs {
			pair.silent = true
		}
	})
}

// endSilence closes the connections that deliver nothing any more.
func (l *link) endSilence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair := range l.pairs {
		if pair.silent {
			pair.ended = true
			abort(pair.near)
			abort(pair.far)
		}
	}
	l.changed.Broadcast()
}

// reset closes all connections with a TCP reset.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for pair := range l.pairs {
		pair.ended = true
		abort(pair.near)
		abort(pair.far)
	}
	l.changed.Broadcast()
}

// abort closes a connection with a TCP reset if it is one.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func (l *link) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

func (l *link) forward(near net.Conn) {
	pair := &linkPair{near: near}
	l.mu.Lock()
	refused := l.refuses || l.closed
	l.pairs[pair] = struct{}{}
	l.mu.Unlock()
	defer l.set(func() { delete(l.pairs, pair) })
	if refused || !l.awaitWhole(pair, time.Now()) {
		abort(near)
		return
	}
	l.mu.Lock()
	dial := l.dial
	l.mu.Unlock()
	far, err := dial()
	if err != nil {
		abort(near)
		return
	}
	l.mu.Lock()
	pair.far = far
	ended := pair.ended
	l.mu.Unlock()
	if ended {
		abort(near)
		abort(far)
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.carry(pair, far, near) })
	directions.Go(func() { l.carry(pair, near, far) })
	directions.Wait()
}

// awaitWhole waits until due and until no cut is active. It reports whether the pair
// still exists.
func (l *link) awaitWhole(pair *linkPair, due time.Time) bool {
	time.Sleep(time.Until(due))
	l.mu.Lock()
	defer l.mu.Unlock()
	for (l.blocks > 0 || pair.silent) && !l.closed && !pair.ended {
		l.changed.Wait()
	}
	return !pair.ended
}

// chunk is data on its way, or the end of the connection.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

// carry copies one direction of a pair.
func (l *link) carry(pair *linkPair, to, from net.Conn) {
	chunks := make(chan chunk, 4096)
	reset := make(chan struct{})
	go l.read(from, chunks, reset)
	defer func() {
		_ = to.Close()
		_ = from.Close()
		for range chunks { // ends when the reader fails
		}
	}()
	for c := range chunks {
		whole := l.awaitWhole(pair, c.due)
		select {
		case <-reset:
			abort(to)
			return
		default:
		}
		if !whole || c.err != nil {
			return
		}
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

// read queues what arrives until the connection ends, and closes reset if it ends
// otherwise than by a close.
func (l *link) read(from net.Conn, chunks chan<- chunk, reset chan<- struct{}) {
	defer close(chunks)
	for {
		buffer := make([]byte, linkBufferBytes)
		n, err := from.Read(buffer)
		due := time.Now().Add(l.delay)
		if n > 0 {
			chunks <- chunk{due: due, data: buffer[:n]}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				close(reset)
			}
			chunks <- chunk{due: due, err: err}
			return
		}
	}
}

// peerLink forwards the traffic from one instance to another: tunnels through a link,
// and datagrams, which are lost during a cut.
type peerLink struct {
	*link
	conn   *net.UDPConn
	target *net.UDPAddr
}

func newPeerLink(t *testing.T, target string, delay time.Duration) *peerLink {
	t.Helper()
	address := "127.0.0.1:" + freePort(t)
	local, err := net.ResolveUDPAddr("udp4", address)
	require.NoError(t, err)
	conn, err := net.ListenUDP("udp4", local)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	remote, err := net.ResolveUDPAddr("udp4", target)
	require.NoError(t, err)
	p := &peerLink{link: newLink(t, address, delay, dialTo(target)), conn: conn, target: remote}
	go p.serveDatagrams()
	return p
}

func (p *peerLink) serveDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		go p.relay(append([]byte(nil), buffer[:n]...), from)
	}
}

// pass waits for the delay of one direction and reports whether a datagram arrives.
func (p *peerLink) pass() bool {
	time.Sleep(p.delay)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocks == 0
}

// relay forwards one datagram, and the reply if one arrives within datagramReplyTimeout.
func (p *peerLink) relay(message []byte, from *net.UDPAddr) {
	if !p.pass() {
		return
	}
	upstream, err := net.DialUDP("udp4", nil, p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if _, err := upstream.Write(message); err != nil {
		return
	}
	_ = upstream.SetReadDeadline(time.Now().Add(datagramReplyTimeout))
	buffer := make([]byte, 64<<10)
	n, err := upstream.Read(buffer)
	if err == nil && p.pass() {
		_, _ = p.conn.WriteToUDP(buffer[:n], from)
	}
}
