// Package lineserver serves clients that use a line-based protocol. A Codec
// encodes and decodes the protocol's messages.
//
// Lock order: Server.mu before client.mu.
package lineserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/relay"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Codec decodes messages of clients and encodes replies.
type Codec interface {
	// ReadStartup reads a client's first message. The key is empty if it holds none.
	ReadStartup(r *bufio.Reader) (database, key string, err error)
	ReadStatement(r *bufio.Reader) (state.Statement, error)
	AppendReply(buffer []byte, reply state.Reply) []byte
	AppendStarted(buffer []byte) []byte
	AppendRefused(buffer []byte, code state.ErrorCode, detail string) []byte
}

// SessionFactory opens a session for each accepted connection.
type SessionFactory interface {
	Open(database string, credential identity.Credential) (*relay.Session, state.Reply)
}

// Options are the settings of a server.
type Options struct {
	// MaxClients is the maximum number of concurrent connections.
	MaxClients int
	// MaxMessageError is the error that the codec returns for a message that is
	// too large.
	MaxMessageError error
}

// Server serves clients on one listener.
type Server struct {
	codec    Codec
	sessions SessionFactory
	clock    state.Clock
	log      zerolog.Logger
	options  Options

	mu       sync.Mutex
	clients  map[*client]struct{}
	draining bool
	handlers sync.WaitGroup
}

// New returns a server; Serve starts accepting clients.
func New(codec Codec, sessions SessionFactory, clock state.Clock, options Options, log zerolog.Logger) *Server {
	return &Server{codec: codec, sessions: sessions, clock: clock, options: options, log: log, clients: make(map[*client]struct{})}
}

// acceptRetryDelay is the pause after a failed accept. It prevents a busy loop
// while accepting keeps failing, for example for lack of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error().Err(err).Msg("accept client connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.admit(raw)
	}
}

func (s *Server) admit(raw net.Conn) {
	c := newClient(s, raw)
	s.mu.Lock()
	full := len(s.clients) >= s.options.MaxClients
	if !full {
		s.clients[c] = struct{}{}
		s.handlers.Add(1)
	}
	s.mu.Unlock()
	if full {
		s.log.Warn().Int("clients", s.options.MaxClients).Msg("client refused, too many connections")
		c.refuse(state.CodeBusy, "too many connections, retry after 1000 ms")
		return
	}
	go func() {
		defer s.handlers.Done()
		c.serve()
		s.mu.Lock()
		delete(s.clients, c)
		s.mu.Unlock()
	}()
}

// Clients returns the number of connections being served.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// Drain ends each session as soon as it is outside a transaction and has no
// outstanding reply. Transactions may run until transactionDeadline. When ctx
// ends, the remaining connections are closed; Drain returns their number.
func (s *Server) Drain(ctx context.Context, transactionDeadline time.Time) int {
	s.mu.Lock()
	s.draining = true
	for c := range s.clients {
		c.startDraining(transactionDeadline)
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.handlers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return 0
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		_ = c.raw.Close()
	}
	return len(s.clients)
}

// CloseIdle closes the sessions that are outside a transaction and have no
// outstanding reply, so that their clients reconnect to other instances. It
// returns the number of these sessions.
func (s *Server) CloseIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	closed := 0
	for c := range s.clients {
		if c.closeIdle() {
			closed++
		}
	}
	return closed
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
