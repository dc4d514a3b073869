package lineserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/relay"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
)

const (
	// startupTimeout bounds the wait for a client's first message.
	startupTimeout = 5 * time.Second
	// writeTimeout ends a client that does not take its answer.
	writeTimeout = 10 * time.Second
	// clientTimeout ends a client whose machine no longer confirms answers.
	clientTimeout = 10 * time.Second
	// readerBytes holds the usual statement.
	readerBytes = 1024
)

// client is one connection.
type client struct {
	server  *Server
	raw     net.Conn
	reader  *bufio.Reader
	buffer  []byte
	session *relay.Session

	mu sync.Mutex
	// closing is set once the session is to end; a transaction may go on
	// until transactionsUntil.
	closing           bool
	transactionsUntil time.Time
	// idle is set while the client has no open transaction and is owed no
	// answer; leaving, once such a session is to end.
	idle, leaving bool
}

func newClient(server *Server, raw net.Conn) *client {
	return &client{server: server, raw: raw, reader: bufio.NewReaderSize(raw, readerBytes)}
}

func (c *client) serve() {
	defer c.raw.Close()
	socket.SetUserTimeout(c.raw, clientTimeout)
	if !c.start() {
		return
	}
	defer c.session.Close()
	for c.next() {
	}
}

// start reads the startup message and opens the session.
func (c *client) start() bool {
	if err := c.raw.SetReadDeadline(time.Now().Add(startupTimeout)); err != nil {
		return false
	}
	database, _, err := c.server.codec.ReadStartup(c.reader)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			c.server.log.Info().Err(err).Stringer("peer", c.raw.RemoteAddr()).Msg("client's startup not understood")
			c.refuse(state.CodeMalformed, "startup not understood")
		}
		return false
	}
	if c.server.isClosing() {
		c.refuse(state.CodeBusy, "the instance is stopping, retry after 10 ms")
		return false
	}
	session, code := c.server.sessions.Open(database)
	if code != state.CodeNone {
		c.server.log.Info().Str("name", database).Stringer("outcome", code).Msg("client refused")
		c.refuse(code, refusals[code])
		return false
	}
	c.session = session
	return c.write(c.server.codec.AppendStarted(c.buffer[:0]))
}

// refusals are the texts of refused startups.
var refusals = map[state.ErrorCode]string{
	state.CodeNoDatabase: "no route has the name",
	state.CodeBusy:       "the instance has no configuration yet, retry after 500 ms",
}

func (c *client) refuse(code state.ErrorCode, detail string) {
	c.write(c.server.codec.AppendRefused(c.buffer[:0], code, detail))
	_ = c.raw.Close()
}

// next serves one statement and reports whether the session goes on.
func (c *client) next() bool {
	statement, err := c.read()
	if err != nil {
		return c.readFailed(err)
	}
	reply := c.session.Handle(statement, c.server.clock.Now())
	if !c.write(c.server.codec.AppendReply(c.buffer[:0], reply)) {
		return false
	}
	return reply.Code != state.CodeNoDatabase
}

// read waits for the next statement, for as long as the session may be idle.
func (c *client) read() (state.Statement, error) {
	c.mu.Lock()
	c.idle = !c.session.InTransaction()
	err := c.raw.SetReadDeadline(c.idleDeadline())
	c.mu.Unlock()
	if err != nil {
		return state.Statement{}, err
	}
	_, err = c.reader.Peek(1)
	c.mu.Lock()
	c.idle = false
	c.mu.Unlock()
	if err != nil {
		return state.Statement{}, err
	}
	if err := c.raw.SetReadDeadline(time.Now().Add(startupTimeout)); err != nil {
		return state.Statement{}, err
	}
	return c.server.codec.ReadStatement(c.reader)
}

// idleDeadline must be called with the lock held.
func (c *client) idleDeadline() time.Time {
	limit := c.session.IdleLimit()
	var deadline time.Time
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	if !c.closing {
		return deadline
	}
	if !c.session.InTransaction() {
		return time.Now()
	}
	if deadline.IsZero() || c.transactionsUntil.Before(deadline) {
		return c.transactionsUntil
	}
	return deadline
}

// closeIdle ends the session if it is idle, and reports whether it was. A
// statement that arrives at this moment is served first.
func (c *client) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	c.leaving = true
	_ = c.raw.SetReadDeadline(time.Now())
	return true
}

// stay reports whether a session that was to end has a statement to serve
// after all.
func (c *client) stay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = false
	return !socket.Quiet(c.raw)
}

// startClosing wakes a session that waits for its client.
func (c *client) startClosing(transactionsUntil time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.transactionsUntil = true, transactionsUntil
	// A session within a transaction wakes, finds that it may go on, and
	// waits again with its new deadline.
	_ = c.raw.SetReadDeadline(time.Now())
}

// readFailed decides what the end of a wait for a statement means.
func (c *client) readFailed(err error) bool {
	if errors.Is(err, c.server.options.MaxMessageError) {
		c.refuse(state.CodeTooBig, "the message is too large")
		return false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	closing, until, leaving := c.closing, c.transactionsUntil, c.leaving
	c.mu.Unlock()
	switch {
	case leaving && !c.session.InTransaction():
		return c.stay()
	case closing && !c.session.InTransaction():
		return false
	case closing && !time.Now().Before(until):
		c.session.Abort()
		c.refuse(state.CodeAborted, "the instance is stopping, the transaction was rolled back")
		return false
	case closing:
		return true
	default:
		c.server.log.Info().Stringer("peer", c.raw.RemoteAddr()).Msg("transaction ended, idle for too long")
		c.session.Abort()
		return true
	}
}

func (c *client) write(message []byte) bool {
	c.buffer = message
	if err := c.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return false
	}
	_, err := c.raw.Write(message)
	return err == nil
}
