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

// wire is one direction of a connection, with a bounded buffer.
type wire struct {
	mu     sync.Mutex
	cond   *sync.Cond
	data   []byte
	passed int  // bytes that the reader got
	frozen bool // nothing arrives, nothing is noticed
	closed bool // by the writer: the reader sees the end after the data
	broken bool // by the reader or a cut: writes fail, data is lost
}

const wireBytes = 32 << 10

func newWire() *wire {
	w := &wire{}
	w.cond = sync.NewCond(&w.mu)
	return w
}

func (w *wire) change(apply func()) {
	w.mu.Lock()
	apply()
	w.mu.Unlock()
	w.cond.Broadcast()
}

func (w *wire) read(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.broken && (w.frozen || (len(w.data) == 0 && !w.closed)) {
		w.cond.Wait()
	}
	if w.broken || len(w.data) == 0 {
		return 0, io.EOF
	}
	n := copy(data, w.data)
	w.data = w.data[n:]
	w.passed += n
	w.cond.Broadcast()
	return n, nil
}

func (w *wire) write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.broken && !w.closed && len(w.data) > wireBytes {
		w.cond.Wait()
	}
	if w.broken || w.closed {
		return 0, io.ErrClosedPipe
	}
	w.data = append(w.data, data...)
	w.cond.Broadcast()
	return len(data), nil
}

// memoryConn is one end of an in-memory connection.
type memoryConn struct {
	net.Conn // nil: the link calls only the methods below
	in, out  *wire
}

func (c *memoryConn) Read(data []byte) (int, error)  { return c.in.read(data) }
func (c *memoryConn) Write(data []byte) (int, error) { return c.out.write(data) }
func (c *memoryConn) RemoteAddr() net.Addr           { return &net.TCPAddr{} }
func (c *memoryConn) Close() error {
	c.in.change(func() { c.in.broken = true })
	c.out.change(func() { c.out.closed = true })
	return nil
}

// network connects clients to the listener of an address.
type network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     []*memoryConn // dialling ends, in order
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
	up, down := newWire(), newWire()
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
	n.mu.Unlock()
	return near, nil
}

func (n *network) each(apply func(w *wire)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		conn.in.change(func() { apply(conn.in) })
		conn.out.change(func() { apply(conn.out) })
	}
}

func (n *network) cut()    { n.each(func(w *wire) { w.broken = true }) }
func (n *network) freeze() { n.each(func(w *wire) { w.frozen = true }) }
func (n *network) thaw()   { n.each(func(w *wire) { w.frozen = false }) }

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

// backend is an executor that answers each unit, whose text is its name, with
// events that all repeat it.
type backend struct {
	mu         sync.Mutex
	executed   map[string]int
	cancelled  map[string]bool
	open       int
	sent       int // events
	eventBytes int
	pause      time.Duration // before each event and within a Cancel
}

func newBackend() *backend {
	return &backend{executed: make(map[string]int), cancelled: make(map[string]bool), eventBytes: 64}
}

func (b *backend) do(apply func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	apply()
}

func (b *backend) Open(ctx context.Context, _ execution.OpenRequest) (execution.Stream, error) {
	select {
	case <-time.After(b.pause):
	case <-ctx.Done():
		return nil, state.NotRun(state.ReasonOverloaded, "queue", "", 0, ctx.Err())
	}
	b.do(func() { b.open++ })
	return &backendStream{backend: b, closed: make(chan struct{})}, nil
}

func (b *backend) HandleCall(ctx context.Context, from state.InstanceID, method string, body []byte) (any, error) {
	select {
	case <-time.After(b.pause):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	var name string
	if err := peerproto.Unmarshal(body, &name); err != nil {
		return nil, err
	}
	b.do(func() { b.executed[name]++ })
	return fmt.Sprint(from, method, name), nil
}

type backendStream struct {
	backend *backend
	closed  chan struct{}
	once    sync.Once
	mu      sync.Mutex
	name    string // of the unit that runs
	left    int
}

// answerEvents is how many events a unit's name asks for: its text after the
// last slash in length.
func answerEvents(name string) int {
	return len(name[strings.LastIndex(name, "/")+1:])
}

func (s *backendStream) Send(ctx context.Context, unit execution.Unit) error {
	if ctx.Err() != nil {
		return state.NotRun(state.ReasonConnectionLost, "backend send", "", 0, ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.name = string(unit.Messages)
	s.left = answerEvents(s.name)
	s.backend.do(func() { s.backend.executed[s.name]++ })
	return nil
}

func (s *backendStream) Receive(ctx context.Context) (execution.Event, error) {
	select {
	case <-time.After(s.backend.pause):
	case <-s.closed:
		return execution.Event{}, state.Unknown(state.ReasonConnectionLost, "backend receive", "", nil)
	case <-ctx.Done():
		return execution.Event{}, state.Unknown(state.ReasonConnectionLost, "backend receive", "", ctx.Err())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left--
	event := execution.Event{Messages: answerOf(s.name, s.backend.eventBytes), Done: s.left == 0, TxStatus: 'I'}
	s.backend.do(func() { s.backend.sent++ })
	if event.Done {
		s.name = ""
	}
	return event, nil
}

func answerOf(name string, size int) []byte {
	return []byte((name + strings.Repeat(".", size))[:max(size, len(name))])
}

func (s *backendStream) Cancel(context.Context) error {
	time.Sleep(s.backend.pause)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.name != "" {
		s.backend.do(func() { s.backend.cancelled[s.name] = true })
	}
	return nil
}

func (s *backendStream) Close() {
	s.once.Do(func() {
		close(s.closed)
		s.backend.do(func() { s.backend.open-- })
	})
}
