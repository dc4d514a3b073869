package lineserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/relay"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
)

const (
	// messageTimeout bounds the wait for a client's first message, and the wait
	// for the rest of a statement that has begun to arrive.
	messageTimeout = 5 * time.Second
	// writeTimeout ends a connection whose client does not read its reply.
	writeTimeout = 10 * time.Second
	// clientUserTimeout ends a connection whose client machine no longer
	// acknowledges sent data.
	clientUserTimeout = 10 * time.Second
	// readerBytes is enough for a typical statement.
	readerBytes = 1024
)

// errStalled is returned for a message whose rest did not arrive in time. What was
// read of it is lost, so that whatever arrives later must not be read as a statement.
var errStalled = errors.New("the rest of the message, up to CR LF, did not arrive in time")

// client is one client connection and its session.
type client struct {
	server  *Server
	raw     net.Conn
	reader  *bufio.Reader
	buffer  []byte
	session *relay.Session

	mu sync.Mutex
	// draining is set once the session must end. A transaction may continue
	// until transactionDeadline.
	draining            bool
	transactionDeadline time.Time
	// idle is set while the client has neither an open transaction nor an
	// outstanding reply; closingIdle is set once such a session is to be closed.
	idle, closingIdle bool
	// receiving is set while a message arrives. Its read may only be interrupted to
	// end the session.
	receiving bool
	// receivingUntil is when that read ends.
	receivingUntil time.Time
}

func newClient(server *Server, raw net.Conn) *client {
	return &client{server: server, raw: raw, reader: bufio.NewReaderSize(socket.Reader{Conn: raw}, readerBytes)}
}

func (c *client) serve() {
	defer c.raw.Close()
	socket.SetUserTimeout(c.raw, clientUserTimeout)
	if !c.startSession() {
		return
	}
	defer c.session.Close()
	for c.serveNext() {
	}
}

// startSession reads the startup message and opens the session. It reports
// whether the session was opened.
func (c *client) startSession() bool {
	if err := c.beginReceiving(time.Now().Add(messageTimeout)); err != nil {
		return false
	}
	database, key, err := c.server.codec.ReadStartup(c.reader)
	c.endReceiving()
	switch {
	case errors.Is(err, io.EOF):
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.refuseStartup(errStalled, errStalled.Error())
		return false
	case err != nil:
		c.refuseStartup(err, "startup not understood")
		return false
	}
	if c.server.isDraining() {
		c.refuse(state.CodeBusy, "the instance is stopping, retry after 10 ms")
		return false
	}
	session, reply := c.server.sessions.Open(database, identity.NewCredential(key))
	if session == nil {
		c.refuse(reply.Code, reply.Detail)
		return false
	}
	c.session = session
	return c.write(c.server.codec.AppendStarted(c.buffer[:0]))
}

func (c *client) refuseStartup(cause error, detail string) {
	c.server.log.Info().Err(cause).Stringer("peer", c.raw.RemoteAddr()).Msg("client refused, malformed startup message")
	c.refuse(state.CodeMalformed, detail)
}

func (c *client) refuse(code state.ErrorCode, detail string) {
	c.write(c.server.codec.AppendRefused(c.buffer[:0], code, detail))
	_ = c.raw.Close()
}

// serveNext serves one statement and reports whether the session continues.
func (c *client) serveNext() bool {
	statement, err := c.read()
	if err != nil {
		return c.handleReadError(err)
	}
	reply := c.session.Handle(statement, c.server.clock.Now())
	if !c.write(c.server.codec.AppendReply(c.buffer[:0], reply)) {
		return false
	}
	return reply.Code != state.CodeNoDatabase && reply.Code != state.CodeNotAuthorized
}

// read waits for the next statement until the idle deadline and reads it.
func (c *client) read() (state.Statement, error) {
	c.mu.Lock()
	c.idle = !c.session.InTransaction()
	err := c.raw.SetReadDeadline(c.idleDeadline())
	c.mu.Unlock()
	if err != nil {
		return state.Statement{}, err
	}
	_, err = c.reader.Peek(1)
	if err != nil {
		c.mu.Lock()
		c.idle = false
		c.mu.Unlock()
		return state.Statement{}, err
	}
	if err := c.beginReceiving(c.receiveDeadline()); err != nil {
		return state.Statement{}, err
	}
	statement, err := c.server.codec.ReadStatement(c.reader)
	c.endReceiving()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errStalled
	}
	return statement, err
}

// beginReceiving bounds the read of a message.
func (c *client) beginReceiving(until time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.closingIdle = false, false
	c.receiving, c.receivingUntil = true, until
	if c.draining && c.transactionDeadline.Before(until) {
		c.receivingUntil = c.transactionDeadline
	}
	return c.raw.SetReadDeadline(c.receivingUntil)
}

func (c *client) endReceiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = false
}

// receiveDeadline returns until when the rest of a statement may arrive. An open
// transaction must not be idle for longer than allowed meanwhile.
func (c *client) receiveDeadline() time.Time {
	limit := c.session.IdleLimit()
	if limit <= 0 || limit > messageTimeout {
		limit = messageTimeout
	}
	return time.Now().Add(limit)
}

// idleDeadline returns when the wait for the next statement ends; the zero time
// means never. It must be called with c.mu held.
func (c *client) idleDeadline() time.Time {
	limit := c.session.IdleLimit()
	var deadline time.Time
	if limit > 0 {
		deadline = time.Now().Add(limit)
	}
	if !c.draining {
		return deadline
	}
	if !c.session.InTransaction() {
		return time.Now()
	}
	if deadline.IsZero() || c.transactionDeadline.Before(deadline) {
		return c.transactionDeadline
	}
	return deadline
}

// closeIdle closes the session if it is idle, and reports whether it was. If a
// statement arrives at the same moment, it is served and the session stays
// open.
func (c *client) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle {
		return false
	}
	c.closingIdle = true
	_ = c.raw.SetReadDeadline(time.Now())
	return true
}

// cancelCloseIfReadable clears a request to close an idle session and reports
// whether the session continues because the client has sent data meanwhile.
func (c *client) cancelCloseIfReadable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingIdle = false
	return !socket.IsIdle(c.raw)
}

// startDraining makes the session end once it is outside a transaction, or at
// transactionDeadline. It interrupts a wait for the client, but not the arrival of a
// message.
func (c *client) startDraining(transactionDeadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining, c.transactionDeadline = true, transactionDeadline
	if c.receiving {
		if transactionDeadline.Before(c.receivingUntil) {
			_ = c.raw.SetReadDeadline(transactionDeadline)
		}
		return
	}
	// The read of a session within a transaction fails too; handleReadError
	// lets it continue, and it waits again with its new deadline.
	_ = c.raw.SetReadDeadline(time.Now())
}

// handleReadError handles a failed read of a statement: it closes the session,
// rolls back its transaction, or lets it continue. It reports whether the
// session continues.
func (c *client) handleReadError(err error) bool {
	if errors.Is(err, c.server.options.MaxMessageError) {
		c.refuse(state.CodeTooBig, "the message is too large")
		return false
	}
	if errors.Is(err, errStalled) {
		c.server.log.Info().Err(err).Stringer("peer", c.raw.RemoteAddr()).Msg("session ended")
		c.session.Abort()
		c.refuse(state.CodeAborted, errStalled.Error())
		return false
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.mu.Lock()
	draining, transactionDeadline, closingIdle := c.draining, c.transactionDeadline, c.closingIdle
	c.mu.Unlock()
	switch {
	case closingIdle && !c.session.InTransaction():
		return c.cancelCloseIfReadable()
	case draining && !c.session.InTransaction():
		return false
	case draining && !time.Now().Before(transactionDeadline):
		c.session.Abort()
		c.refuse(state.CodeAborted, "the instance is stopping, the transaction was rolled back")
		return false
	case draining:
		return true
	default:
		c.server.log.Info().Stringer("peer", c.raw.RemoteAddr()).Msg("transaction rolled back, client idle for too long")
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
