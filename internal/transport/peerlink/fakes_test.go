package peerlink

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// halfConn is one direction of a connection, with a bounded buffer.
type halfConn struct {
	mu        sync.Mutex
	cond      *sync.Cond
	data      []byte
	bytesRead int  // bytes that the reader has received
	frozen    bool // the reader receives neither data nor the end
	closed    bool // closed by the writer: the reader receives the rest of the data, then EOF
	broken    bool // closed by the reader or by breakConnections: writes fail, data is lost
}

const halfConnBytes = 32 << 10

func newHalfConn() *halfConn {
	w := &halfConn{}
	w.cond = sync.NewCond(&w.mu)
	return w
}

func (h *halfConn) change(apply func()) {
	h.mu.Lock()
	apply()
	h.mu.Unlock()
	h.cond.Broadcast()
}

func (h *halfConn) read(data []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.broken && (h.frozen || (len(h.data) == 0 && !h.closed)) {
		h.cond.Wait()
	}
	if h.broken || len(h.data) == 0 {
		return 0, io.EOF
	}
	n := copy(data, h.data)
	h.data = h.data[n:]
	h.bytesRead += n
	h.cond.Broadcast()
	return n, nil
}

func (h *halfConn) write(data []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for !h.broken && !h.closed && len(h.data) > halfConnBytes {
		h.cond.Wait()
	}
	if h.broken || h.closed {
		return 0, io.ErrClosedPipe
	}
	h.data = append(h.data, data...)
	h.cond.Broadcast()
	return len(data), nil
}

// memoryConn is one end of an in-memory connection.
type memoryConn struct {
	net.Conn // nil: the link calls only the methods below
	in, out  *halfConn
}

func (c *memoryConn) Read(data []byte) (int, error)  { return c.in.read(data) }
func (c *memoryConn) Write(data []byte) (int, error) { return c.out.write(data) }
func (c *memoryConn) RemoteAddr() net.Addr           { return &net.TCPAddr{} }
func (c *memoryConn) Close() error {
	c.in.change(func() { c.in.broken = true })
	c.out.change(func() { c.out.closed = true })
	return nil
}

// network connects clients to the listener at an address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     []*memoryConn // dialling ends, in the order of the dials
	heldUp    bool          // the peer's process reads nothing, on new connections either
}

func newNetwork() *network {
	return &network{listeners: make(map[string]*memoryListener)}
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	listener, found := n.listeners[address]
	n.mu.Unlock()
	if !found {
		return nil, errors.New("connection refused")
	}
	up, down := newHalfConn(), newHalfConn()
	near, far := &memoryConn{in: down, out: up}, &memoryConn{in: up, out: down}
	select {
	case listener.conns <- far:
	case <-listener.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns = append(n.conns, near)
	up.change(func() { up.frozen = n.heldUp })
	n.mu.Unlock()
	return near, nil
}

// holdUp makes the peer's process read nothing until it is resumed.
func (n *network) holdUp() {
	n.mu.Lock()
	n.heldUp = true
	n.mu.Unlock()
	n.freeze()
}

func (n *network) resume() {
	n.mu.Lock()
	n.heldUp = false
	n.mu.Unlock()
	n.unfreeze()
}

func (n *network) each(apply func(w *halfConn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.in.change(func() { apply(conn.in) })
		conn.out.change(func() { apply(conn.out) })
	}
}

func (n *network) breakConnections() { n.each(func(w *halfConn) { w.broken = true }) }
func (n *network) freeze()           { n.each(func(w *halfConn) { w.frozen = true }) }
func (n *network) unfreeze()         { n.each(func(w *halfConn) { w.frozen = false }) }

func (n *network) dials() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

func (n *network) listen(address string) *memoryListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = listener
	return listener
}

type memoryListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// fakeExecutor is an executor whose units carry their own name as text. The
// reply to a unit is a number of events that all repeat the name.
type fakeExecutor struct {
	mu         sync.Mutex
	executed   map[string]int
	cancelled  map[string]bool
	open       int
	sent       int // number of events
	eventBytes int
	delay      time.Duration // before each event, open and call, and during a Cancel
}

func newFakeExecutor() *fakeExecutor {
	return &fakeExecutor{executed: make(map[string]int), cancelled: make(map[string]bool), eventBytes: 64}
}

func (e *fakeExecutor) withLock(apply func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	apply()
}

func (e *fakeExecutor) Open(ctx context.Context, _ execution.OpenRequest) (execution.Stream, error) {
	select {
	case <-time.After(e.delay):
	case <-ctx.Done():
		return nil, state.NotRun(state.ReasonOverloaded, "queue", "", 0, ctx.Err())
	}
	e.withLock(func() { e.open++ })
	return &fakeStream{executor: e, closed: make(chan struct{})}, nil
}

func (e *fakeExecutor) HandleCall(ctx context.Context, from state.InstanceID, method string, body []byte) (any, error) {
	select {
	case <-time.After(e.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var name string
	if err := peerproto.Unmarshal(body, &name); err != nil {
		return nil, err
	}
	e.withLock(func() { e.executed[name]++ })
	return fmt.Sprint(from, method, name), nil
}

type fakeStream struct {
	executor   *fakeExecutor
	closed     chan struct{}
	once       sync.Once
	mu         sync.Mutex
	name       string // of the running unit
	eventsLeft int
}

// eventCount returns the number of events in the reply to the named unit: the
// length of the name after its last slash.
func eventCount(name string) int {
	return len(name[strings.LastIndex(name, "/")+1:])
}

func (s *fakeStream) Send(ctx context.Context, unit execution.Unit) error {
	if ctx.Err() != nil {
		return state.NotRun(state.ReasonConnectionLost, "backend send", "", 0, ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.name = string(unit.Messages)
	s.eventsLeft = eventCount(s.name)
	s.executor.withLock(func() { s.executor.executed[s.name]++ })
	return nil
}

func (s *fakeStream) Receive(ctx context.Context) (execution.Event, error) {
	select {
	case <-time.After(s.executor.delay):
	case <-s.closed:
		return execution.Event{}, state.Unknown(state.ReasonConnectionLost, "backend receive", "", nil)
	case <-ctx.Done():
		return execution.Event{}, state.Unknown(state.ReasonConnectionLost, "backend receive", "", ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventsLeft--
	event := execution.Event{Messages: eventMessages(s.name, s.executor.eventBytes), Done: s.eventsLeft == 0, TxStatus: 'I'}
	s.executor.withLock(func() { s.executor.sent++ })
	if event.Done {
		s.name = ""
	}
	return event, nil
}

func eventMessages(name string, size int) []byte {
	return []byte((name + strings.Repeat(".", size))[:max(size, len(name))])
}

func (s *fakeStream) Cancel(context.Context) error {
	time.Sleep(s.executor.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.name != "" {
		s.executor.withLock(func() { s.executor.cancelled[s.name] = true })
	}
	return nil
}

func (s *fakeStream) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.executor.withLock(func() { s.executor.open-- })
	})
}
