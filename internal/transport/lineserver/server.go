// Package lineserver accepts the sessions of clients that speak a line
// protocol, whose words the codec knows.
//
// Locks: Server.mu before client.mu.
package lineserver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/relay"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Codec reads and writes the messages.
type Codec interface {
	ReadStartup(r *bufio.Reader) (database, user string, err error)
	ReadStatement(r *bufio.Reader) (state.Statement, error)
	AppendReply(buffer []byte, reply state.Reply) []byte
	AppendStarted(buffer []byte) []byte
	AppendRefused(buffer []byte, code state.ErrorCode, detail string) []byte
}

// Sessions opens the sessions behind the connections.
type Sessions interface {
	Open(database string) (*relay.Session, state.ErrorCode)
}

// Options are the settings of a server.
type Options struct {
	// MaxClients is how many connections are served at once.
	MaxClients int
	// MaxMessageError is the codec's error of a message that is too large.
	MaxMessageError error
}

// Server serves clients on one listener.
type Server struct {
	codec    Codec
	sessions Sessions
	clock    state.Clock
	log      zerolog.Logger
	options  Options

	mu      sync.Mutex
	clients map[*client]struct{}
	closing bool
	served  sync.WaitGroup
}

// New returns a server that accepts nothing yet.
func New(codec Codec, sessions Sessions, clock state.Clock, options Options, log zerolog.Logger) *Server {
	return &Server{codec: codec, sessions: sessions, clock: clock, options: options, log: log, clients: make(map[*client]struct{})}
}

// acceptPause keeps a failing listener, out of descriptors for example, from
// spinning.
const acceptPause = 50 * time.Millisecond

// Serve accepts clients until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		raw, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Error().Err(err).Msg("client not accepted")
			time.Sleep(acceptPause)
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
		s.served.Add(1)
	}
	s.mu.Unlock()
	if full {
		s.log.Warn().Int("clients", s.options.MaxClients).Msg("client refused, too many connections")
		c.refuse(state.CodeBusy, "too many connections, retry after 1000 ms")
		return
	}
	go func() {
		defer s.served.Done()
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

// Drain ends sessions as soon as they are outside a transaction and wait for
// no answer. Transactions have until transactionsUntil; what is left when ctx
// ends is cut off. It returns how many sessions were cut off.
func (s *Server) Drain(ctx context.Context, transactionsUntil time.Time) int {
	s.mu.Lock()
	s.closing = true
	for c := range s.clients {
		c.startClosing(transactionsUntil)
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.served.Wait()
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

// CloseIdle ends the sessions that are outside a transaction and wait for no
// answer, so that their clients open new ones elsewhere. It returns their
// number.
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

func (s *Server) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}
