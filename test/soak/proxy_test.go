package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections of one instance to the store, a database or
// another instance. Data sent in a blocked direction is held back and delivered
// once the direction is unblocked.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	// blockedTo and blockedFrom block the directions to and from the target.
	blockedTo, blockedFrom bool
	delay                  time.Duration
	conns                  map[net.Conn]struct{}
	closed                 bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	return newProxyAt(t, "127.0.0.1:0", target)
}

func newProxyAt(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	p.changed = sync.NewCond(&p.mu)
	go p.serve()
	t.Cleanup(p.close)
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(func() { p.closed = true })
	p.reset()
}

// set changes the proxy's state under its lock and wakes blocked connections.
func (p *proxy) set(change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
	p.changed.Broadcast()
}

func (p *proxy) block(to, from bool) { p.set(func() { p.blockedTo, p.blockedFrom = to, from }) }

func (p *proxy) heal() { p.set(func() { p.blockedTo, p.blockedFrom, p.delay = false, false, 0 }) }

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) serve() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(incoming net.Conn) {
	outgoing, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = incoming.Close()
		return
	}
	p.set(func() { p.conns[incoming], p.conns[outgoing] = struct{}{}, struct{}{} })
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(outgoing, incoming, func() bool { return p.blockedTo }) })
	directions.Go(func() { p.copy(incoming, outgoing, func() bool { return p.blockedFrom }) })
	directions.Wait()
	p.set(func() { delete(p.conns, incoming); delete(p.conns, outgoing) })
}

func (p *proxy) copy(to, from net.Conn, blocked func() bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for blocked() && !p.closed {
			p.changed.Wait()
		}
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// peerProxy forwards the traffic from one instance to another: peer datagrams
// and tunnels. During a partition, datagrams are lost and tunnels are blocked.
type peerProxy struct {
	tunnels     *proxy
	conn        *net.UDPConn
	target      *net.UDPAddr
	partitioned atomic.Bool
}

func newPeerProxy(t *testing.T, target string) *peerProxy {
	t.Helper()
	address := "127.0.0.1:" + freePort(t)
	local, err := net.ResolveUDPAddr("udp4", address)
	require.NoError(t, err)
	conn, err := net.ListenUDP("udp4", local)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	remote, err := net.ResolveUDPAddr("udp4", target)
	require.NoError(t, err)
	p := &peerProxy{tunnels: newProxyAt(t, address, target), conn: conn, target: remote}
	go p.serve()
	return p
}

func (p *peerProxy) address() string { return p.tunnels.address() }

func (p *peerProxy) setPartition(partitioned bool) {
	p.partitioned.Store(partitioned)
	p.tunnels.block(partitioned, partitioned)
}

func (p *peerProxy) serve() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if !p.partitioned.Load() {
			go p.relayDatagram(append([]byte(nil), buffer[:n]...), from)
		}
	}
}

// relayDatagram forwards one datagram to the target, and the reply to the sender
// if one arrives within datagramReplyTimeout.
func (p *peerProxy) relayDatagram(message []byte, from *net.UDPAddr) {
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
	if err == nil && !p.partitioned.Load() {
		_, _ = p.conn.WriteToUDP(buffer[:n], from)
	}
}

// datagramReplyTimeout is how long relayDatagram waits for a reply.
const datagramReplyTimeout = 500 * time.Millisecond
