package forward

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
)

const (
	// idleTime is how long a link stays open without streams. Opening it costs a
	// round trip, keeping it open some kilobytes of memory on both sides.
	idleTime      = 20 * time.Second
	sweepInterval = 5 * time.Second
	// maxStreams bounds the streams of one link.
	maxStreams = 1024
	// closeWait bounds how long the end of a stream waits for room in the outbox.
	closeWait = 200 * time.Millisecond
)

// Client opens links to other instances. It implements forwarding.Links.
type Client struct {
	// Dial opens a connection to another instance.
	dial func(ctx context.Context, address string) (net.Conn, error)
	log  zerolog.Logger

	mu    sync.Mutex
	links map[string]*clientLink
}

// Dial connects to another instance over TCP.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		socket.SetUserTimeout(conn, userTimeout)
	}
	return conn, err
}

// NewClient returns a client that connects with dial.
func NewClient(dial func(context.Context, string) (net.Conn, error), log zerolog.Logger) *Client {
	return &Client{dial: dial, log: log, links: make(map[string]*clientLink)}
}

// clientLink is the sender's side of a link. opened is closed when it is open or
// has failed.
type clientLink struct {
	opened  chan struct{}
	openErr error
	*link

	mu       sync.Mutex
	streams  map[uint32]*stream
	calls    int
	next     uint32
	lastUsed time.Time
}

// Open implements forwarding.Links.
func (c *Client) Open(ctx context.Context, address string) (forwarding.Stream, error) {
	c.mu.Lock()
	l, ok := c.links[address]
	if !ok {
		l = &clientLink{opened: make(chan struct{}), streams: make(map[uint32]*stream), lastUsed: time.Now()}
		c.links[address] = l
		go c.open(l, address) //nolint:gosec // the link outlives the stream that opens it
	}
	c.mu.Unlock()
	select {
	case <-l.opened:
	case <-ctx.Done():
		return nil, eris.Wrapf(ctx.Err(), "open link to %s", address)
	}
	if l.openErr != nil {
		return nil, l.openErr
	}
	return l.newStream()
}

// linkOpenTimeout bounds the opening of a link, which several streams may await.
const linkOpenTimeout = 300 * time.Millisecond

// open opens a link and reads from it until it ends.
func (c *Client) open(l *clientLink, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), linkOpenTimeout)
	conn, err := c.dial(ctx, address)
	cancel()
	if err == nil {
		conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err = conn.Write([]byte{Preamble, version})
	}
	if err != nil {
		c.forget(address, l)
		l.openErr = eris.Wrapf(err, "open link to %s", address)
		close(l.opened)
		return
	}
	l.link = newLink(conn, senderLimits, l.awaits)
	close(l.opened)
	go l.write()
	l.read(bufio.NewReaderSize(conn, bufferBytes), l.handle)
	c.forget(address, l)
	if cause := l.cause(); !errors.Is(cause, errLinkClosed) {
		c.log.Info().Err(cause).Str("peer", address).Msg("link ended")
	}
	l.endStreams()
}

func (c *Client) forget(address string, l *clientLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] == l {
		delete(c.links, address)
	}
}

// Links returns the number of open links.
func (c *Client) Links() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

// Run closes idle links until ctx ends, and then all.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		limit := idleTime
		select {
		case <-ctx.Done():
			limit = -1
		case <-ticker.C:
		}
		for _, l := range c.all() {
			if l.openErr == nil && l.idle(limit) {
				l.close(errLinkClosed)
			}
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// all returns the links that are open.
func (c *Client) all() []*clientLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	var open []*clientLink
	for _, l := range c.links {
		select {
		case <-l.opened:
			open = append(open, l)
		default:
		}
	}
	return open
}

// idle reports whether the link has had no stream for limit; a negative limit
// means in any case.
func (l *clientLink) idle(limit time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return limit < 0 || len(l.streams) == 0 && time.Since(l.lastUsed) > limit
}

func (l *clientLink) newStream() (*stream, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.streams) >= maxStreams {
		return nil, eris.Errorf("%d streams are open on the link", maxStreams)
	}
	l.next++
	s := &stream{link: l, id: l.next, answers: make(chan frame, 1)}
	l.streams[s.id] = s
	l.lastUsed = time.Now()
	return s, nil
}

// awaits reports whether an answer is awaited.
func (l *clientLink) awaits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls > 0
}

func (l *clientLink) addCalls(change int) {
	l.mu.Lock()
	l.calls += change
	l.mu.Unlock()
}

// handle passes an answer to its stream. Answers of ended streams are dropped.
func (l *clientLink) handle(f frame) error {
	if f.kind != kindAnswer {
		return eris.Errorf("unexpected frame of kind %d", f.kind)
	}
	l.mu.Lock()
	s := l.streams[f.stream]
	l.mu.Unlock()
	if s == nil {
		return nil
	}
	select {
	case s.answers <- f:
		return nil
	default:
		return eris.Errorf("unexpected answer on stream %d", f.stream)
	}
}

func (l *clientLink) endStreams() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.streams)
}

// stream is the sender's side of a stream.
type stream struct {
	link    *clientLink
	id      uint32
	answers chan frame

	mu sync.Mutex
	// open is set while the holder may have something to end: a call runs or a
	// transaction is open.
	open   bool
	ended  bool
	closed chan struct{}
}

// Call implements forwarding.Stream.
func (s *stream) Call(call forwarding.Call, deadline time.Time) (forwarding.Answer, error) {
	closed, ok := s.begin()
	if !ok {
		return forwarding.Answer{}, eris.Wrap(forwarding.ErrNotWritten, "the stream is closed")
	}
	s.link.addCalls(1)
	defer s.link.addCalls(-1)
	s.link.watch()
	err := s.link.send(kindCall, s.id, encodeCall(call), deadline)
	if err != nil {
		return forwarding.Answer{}, eris.Wrap(errors.Join(forwarding.ErrNotWritten, err), "send call")
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case f := <-s.answers:
		return s.finish(f)
	case <-s.link.done:
	case <-closed:
		return forwarding.Answer{}, eris.New("the stream was closed")
	case <-timer.C:
		err = eris.Wrap(os.ErrDeadlineExceeded, "await answer")
	}
	// An answer that has come is delivered, whatever has happened besides.
	select {
	case f := <-s.answers:
		return s.finish(f)
	default:
	}
	if err == nil {
		err = errors.Join(forwarding.ErrLinkLost, s.link.cause())
	}
	return forwarding.Answer{}, err
}

func (s *stream) begin() (closed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return nil, false
	}
	s.open = true
	s.closed = make(chan struct{})
	return s.closed, true
}

func (s *stream) finish(f frame) (forwarding.Answer, error) {
	answer, err := decodeAnswer(f.body)
	if err != nil {
		s.link.close(err)
		return answer, errors.Join(forwarding.ErrLinkLost, err)
	}
	if err := checkReply(answer.Reply); err != nil {
		return forwarding.Answer{}, errors.Join(forwarding.ErrLinkLost, err)
	}
	s.mu.Lock()
	s.open = answer.Pinned()
	s.mu.Unlock()
	return answer, nil
}

// Close implements forwarding.Stream.
func (s *stream) Close() {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.ended = true
	open := s.open
	if s.closed != nil {
		close(s.closed)
	}
	s.mu.Unlock()
	s.link.mu.Lock()
	delete(s.link.streams, s.id)
	s.link.lastUsed = time.Now()
	s.link.mu.Unlock()
	if open {
		if err := s.link.send(kindClose, s.id, nil, time.Now().Add(closeWait)); err != nil {
			// The holder must not keep a transaction that nobody continues.
			s.link.close(eris.Wrap(err, "send the end of a stream"))
		}
	}
}
