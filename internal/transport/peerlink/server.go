package peerlink

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// maxHandshakes bounds the connections that are not yet authenticated.
	maxHandshakes = 256
	// shutdownPollInterval is how often Shutdown checks whether the links have
	// finished.
	shutdownPollInterval = 10 * time.Millisecond
	// lingerAfterStreams is how long Shutdown waits for peers to close links
	// that have no streams, calls or queued frames left.
	lingerAfterStreams = time.Second
)

// Handler runs the streams and calls of peers.
type Handler interface {
	execution.Executor
	// HandleCall runs one unary request; its result is encoded with
	// peerproto.Marshal. A *state.Failure is sent to the caller as it is, any
	// other error with an unknown outcome.
	HandleCall(ctx context.Context, from state.InstanceID, method string, body []byte) (any, error)
}

// Server accepts links from peers. It is safe for concurrent use.
type Server struct {
	config     Config
	handler    Handler
	ctx        context.Context // cancelled by Close
	cancel     context.CancelFunc
	callQueue  chan callJob
	goroutines sync.WaitGroup

	mu        sync.Mutex
	links     map[*serverLink]struct{}
	listeners map[net.Listener]struct{}
	streams   int // open streams over all links
	leaving   bool
	closed    bool
}

// NewServer returns a server with its call workers running; Close stops them.
func NewServer(config Config, handler Handler) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config: config.withDefaults(), handler: handler, ctx: ctx, cancel: cancel,
		links: make(map[*serverLink]struct{}), listeners: make(map[net.Listener]struct{}),
	}
	s.callQueue = make(chan callJob, s.config.CallQueue)
	s.goroutines.Add(s.config.CallWorkers)
	for range s.config.CallWorkers {
		go s.runCalls()
	}
	return s
}

// Serve accepts peers until the listener fails or is closed by Shutdown or
// Close; in the latter case it returns nil. The server owns the listener.
func (s *Server) Serve(listener net.Listener) error {
	if !s.addListener(listener) {
		listener.Close()
		return nil
	}
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := listener.Accept()
		if err != nil {
			if s.stopping() {
				return nil
			}
			return eris.Wrap(err, "accept peer")
		}
		select {
		case handshakes <- struct{}{}:
		case <-s.ctx.Done():
			conn.Close()
			return nil
		}
		if !s.trackGoroutine() {
			conn.Close()
			return nil
		}
		go func() {
			defer s.goroutines.Done()
			link, err := s.accept(conn)
			<-handshakes
			if err != nil {
				linksRefused.Inc()
				s.config.Logger.Warn().Err(err).Stringer("remote", conn.RemoteAddr()).Msg("peer refused")
				return
			}
			linksAccepted.Inc()
			link.wait()
		}()
	}
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.closed {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// trackGoroutine adds a goroutine for which Close waits. It returns false if
// the server is closed.
func (s *Server) trackGoroutine() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.goroutines.Add(1)
	return true
}

func (s *Server) stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving || s.closed
}

// accept performs the handshake and starts the link.
func (s *Server) accept(conn net.Conn) (*serverLink, error) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.HandshakeTimeout)
	defer cancel()
	raw := conn
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	conn = serverTLS(conn, s.config.ServerTLS)
	handshake, err := peerproto.Accept(conn, s.config.party(), s.admit)
	if err == nil && !stop() {
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	peer := state.Instance{
		ID: handshake.Peer.ID, Incarnation: handshake.Peer.Incarnation, DataCentre: handshake.Peer.DataCentre,
		PeerAddress: conn.RemoteAddr().String(),
	}
	link := newServerLink(s, newLink(s.config, conn, peer, handshake))
	if err := s.addLink(link); err != nil {
		conn.Close()
		return nil, err
	}
	link.start(link)
	if s.stopping() {
		link.send(peerproto.KindGoAway, 0, nil)
	}
	return link, nil
}

// admit refuses a peer if a later incarnation of it is connected. The refused
// one is then a paused process that has resumed.
func (s *Server) admit(handshake peerproto.HandshakeResult) (peerproto.Welcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for link := range s.links {
		if link.peer.ID == handshake.Peer.ID && link.peer.Incarnation > handshake.Peer.Incarnation {
			return peerproto.Welcome{}, &peerproto.RefusedError{Message: "a later incarnation is connected"}
		}
	}
	return peerproto.Welcome{Leaving: s.leaving}, nil
}

// addLink registers a link and ends those of earlier incarnations of its peer.
func (s *Server) addLink(added *serverLink) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	for link := range s.links {
		if link.peer.ID == added.peer.ID && link.peer.Incarnation < added.peer.Incarnation {
			go link.fail(errReplaced)
		}
	}
	s.links[added] = struct{}{}
	return nil
}

func (s *Server) removeLink(link *serverLink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, link)
}

// addStream counts a new stream, or returns why it cannot be opened.
func (s *Server) addStream() *state.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := peerName(s.config.Self.ID, s.config.Self.PeerAddress)
	if s.leaving || s.closed {
		return state.NotRun(state.ReasonLeaving, stepOpen, self, 0, nil)
	}
	if s.streams >= s.config.MaxStreams {
		return state.NotRun(state.ReasonOverloaded, stepOpen, self, retryAfterLost, nil)
	}
	s.streams++
	s.goroutines.Add(1)
	return nil
}

func (s *Server) removeStream() {
	s.mu.Lock()
	s.streams--
	s.mu.Unlock()
	s.goroutines.Done()
}

// Shutdown stops accepting links and streams, sends GoAway to all peers, and
// waits until the streams and calls in progress have ended or ctx is done. It
// then closes the links. The error wraps that of ctx if streams or calls were
// aborted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.leaving = true
	for listener := range s.listeners {
		listener.Close()
	}
	links := slices.Collect(maps.Keys(s.links))
	s.mu.Unlock()
	for _, link := range links {
		link.send(peerproto.KindGoAway, 0, nil)
	}
	err := s.awaitStreams(ctx)
	s.Close()
	return err
}

func (s *Server) awaitStreams(ctx context.Context) error {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	var idleFor time.Duration
	for idleFor < lingerAfterStreams {
		links, streams, busy := s.load()
		if links == 0 && streams == 0 {
			return nil
		}
		if streams > 0 || busy {
			idleFor = 0
		} else {
			idleFor += shutdownPollInterval
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if streams == 0 && !busy {
				return nil
			}
			return eris.Wrapf(ctx.Err(), "shutdown aborted %d streams", streams)
		}
	}
	return nil
}

// load returns the numbers of links and streams, and whether any link has a
// call queued or running or a frame to write.
func (s *Server) load() (links, streams int, busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for link := range s.links {
		busy = busy || link.busy()
	}
	return len(s.links), s.streams, busy
}

// Close ends all links and streams at once and waits for all goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for listener := range s.listeners {
		listener.Close()
	}
	links := slices.Collect(maps.Keys(s.links))
	s.mu.Unlock()
	s.cancel()
	for _, link := range links {
		link.fail(errClosed)
	}
	s.goroutines.Wait()
}
