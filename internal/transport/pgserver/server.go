package pgserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/session"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Configurations provides the configuration that is in force, or nil.
type Configurations interface {
	Current() *state.Configuration
}

// SessionFactory creates client sessions.
type SessionFactory interface {
	NewSession(identity session.Identity, token state.Position) *session.Session
}

// CancelForwarder forwards a cancel request to the instances that may hold the
// session with the given key.
type CancelForwarder interface {
	ForwardCancel(ctx context.Context, key CancelKey)
}

// Options holds the server's limits and identity.
type Options struct {
	// Instance is the id of this instance.
	Instance state.InstanceID
	// StartupTimeout bounds startup and authentication.
	StartupTimeout time.Duration
	// MaxMessageBytes limits the size of one message from a client.
	MaxMessageBytes int
	// MaxClients limits the number of client connections of this instance.
	MaxClients int
	// QueueTimeout bounds a request's wait for a connection or a slot.
	QueueTimeout time.Duration
	// IdleInTransaction is the longest time that a transaction may be idle,
	// for plans that set no limit of their own.
	IdleInTransaction time.Duration
	// WriteTimeout bounds each write to a client that does not read its reply.
	WriteTimeout time.Duration
	// TLS encrypts the connections of clients that request it. When it is nil,
	// the server declines such requests.
	TLS *tls.Config
	// ServerVersion is the server_version reported to clients.
	ServerVersion string
}

// DefaultOptions returns the limits of a production instance.
func DefaultOptions() Options {
	return Options{
		StartupTimeout:    10 * time.Second,
		MaxMessageBytes:   16 << 20,
		MaxClients:        20_000,
		QueueTimeout:      5 * time.Second,
		IdleInTransaction: time.Minute,
		WriteTimeout:      30 * time.Second,
		ServerVersion:     "16.0",
	}
}

// Server accepts client connections. Its mutex guards the set of connections
// and is locked before the mutex of a connection.
type Server struct {
	options        Options
	configurations Configurations
	sessions       SessionFactory
	forwarder      CancelForwarder
	log            zerolog.Logger
	cancels        *cancelRegistry

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	draining bool
	// drainingNow mirrors draining for connections, which read it with their
	// own mutex locked and must not lock mu then.
	drainingNow atomic.Bool
	wg          sync.WaitGroup
}

// New returns a server that does not accept connections until Serve is called.
func New(options Options, configurations Configurations, sessions SessionFactory, forwarder CancelForwarder, log zerolog.Logger) *Server {
	return &Server{
		options: options, configurations: configurations, sessions: sessions, forwarder: forwarder,
		log: log, cancels: newCancelRegistry(options.Instance), conns: map[*conn]struct{}{},
	}
}

// Serve accepts clients until the listener is closed by Shutdown or Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		netConn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn().Err(err).Str("step", "accept client").Msg("failed to accept client connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.startConn(netConn)
	}
}

// acceptRetryDelay is the pause after a failed accept, for example while the
// process has no file descriptors left.
const acceptRetryDelay = 10 * time.Millisecond

func (s *Server) startConn(netConn net.Conn) {
	c := newConn(s, netConn)
	s.mu.Lock()
	if s.draining {
		s.mu.Unlock()
		netConn.Close()
		return
	}
	s.conns[c] = struct{}{}
	s.wg.Add(1)
	s.mu.Unlock()
	go func() {
		defer s.wg.Done()
		defer s.removeConn(c)
		c.serve()
	}()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// tooManyClients reports whether there are more connections than MaxClients.
func (s *Server) tooManyClients() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) > s.options.MaxClients
}

// Clients returns the number of client connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Shutdown stops accepting, ends idle sessions with admin_shutdown, and waits
// until requests and transactions in progress have ended. When ctx ends first,
// it closes the remaining connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.beginDrain()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.closeConns()
		<-done
		return eris.Wrap(ctx.Err(), "stop serving clients")
	}
}

func (s *Server) beginDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.drainingNow.Store(true)
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.interruptIdle()
	}
}

func (s *Server) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
}

// EndSessions ends the sessions for which keep returns false: idle ones at once,
// others after their request or transaction. It is called when the configuration
// changes.
func (s *Server) EndSessions(keep func(plan state.PlanID, group state.GroupID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if plan, group, ok := c.identity(); ok && !keep(plan, group) {
			c.endWhenIdle()
		}
	}
}

// CountByPlan returns the number of sessions of each plan, for the state dump.
func (s *Server) CountByPlan() map[state.PlanID]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[state.PlanID]int{}
	for c := range s.conns {
		if plan, _, ok := c.identity(); ok {
			counts[plan]++
		}
	}
	return counts
}
