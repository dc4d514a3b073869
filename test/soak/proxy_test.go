package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy stands between one instance and one other party. What is silenced is
// held back, and delivered late when that ends.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed *sync.Cond
	// silentTo and silentFrom hold back what goes to and comes from the
	// target.
	silentTo, silentFrom bool
	delay                time.Duration
	conns                map[net.Conn]struct{}
	closed               bool
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

// set changes what the proxy does.
func (p *proxy) set(change func()) {
	p.mu.Lock()
	change()
	p.mu.Unlock()
	p.changed.Broadcast()
}

func (p *proxy) silence(to, from bool) { p.set(func() { p.silentTo, p.silentFrom = to, from }) }

func (p *proxy) heal() { p.set(func() { p.silentTo, p.silentFrom, p.delay = false, false, 0 }) }

// reset resets all connections.
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
		go p.carry(conn)
	}
}

func (p *proxy) carry(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p.set(func() { p.conns[near], p.conns[far] = struct{}{}, struct{}{} })
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, func() bool { return p.silentTo }) })
	both.Go(func() { p.copy(near, far, func() bool { return p.silentFrom }) })
	both.Wait()
	p.set(func() { delete(p.conns, near); delete(p.conns, far) })
}

func (p *proxy) copy(to, from net.Conn, silent func() bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		for silent() && !p.closed {
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

// peerProxy leads from one instance to another: datagrams and tunnels. What is
// sent while it is cut is lost.
type peerProxy struct {
	tunnels *proxy
	conn    *net.UDPConn
	target  *net.UDPAddr
	cut     atomic.Bool
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

func (p *peerProxy) setCut(cut bool) {
	p.cut.Store(cut)
	p.tunnels.silence(cut, cut)
}

func (p *peerProxy) serve() {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := p.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if !p.cut.Load() {
			go p.exchange(append([]byte(nil), buffer[:n]...), from)
		}
	}
}

// exchange sends one datagram on, and the answer back if one comes soon.
func (p *peerProxy) exchange(message []byte, from *net.UDPAddr) {
	far, err := net.DialUDP("udp4", nil, p.target)
	if err != nil {
		return
	}
	defer far.Close()
	if _, err := far.Write(message); err != nil {
		return
	}
	_ = far.SetReadDeadline(time.Now().Add(answerWait))
	buffer := make([]byte, 64<<10)
	n, err := far.Read(buffer)
	if err == nil && !p.cut.Load() {
		_, _ = p.conn.WriteToUDP(buffer[:n], from)
	}
}

// answerWait is how long a datagram's answer is waited for.
const answerWait = 500 * time.Millisecond
