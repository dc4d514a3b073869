// Package linebackend carries statements to databases over connections of a
// line protocol, whose words the codec knows.
package linebackend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/tunnel"
)

// Codec writes and reads the messages.
type Codec interface {
	AppendConnect(buffer []byte, group state.GroupID, who string, id state.DatabaseID) []byte
	AppendStatement(buffer []byte, id, text string, after state.Position) []byte
	AppendSet(buffer []byte, name, value string) []byte
	AppendPrepare(buffer []byte, name, shape string, writes bool) []byte
	AppendReset(buffer []byte) []byte
	AppendRollback(buffer []byte) []byte
	AppendStatus(buffer []byte) []byte
	AppendStepDown(buffer []byte, term state.Term) []byte
	ReadReply(r *bufio.Reader) (state.Reply, error)
	ParseStatus(reply state.Reply) (state.ServerStatus, error)
}

const (
	// lateAfter is when an answer counts as late, so that the database is
	// probed.
	lateAfter = 300 * time.Millisecond
	// readerBytes holds the usual answer.
	readerBytes = 2048
)

// Dialer opens connections to databases.
type Dialer struct {
	Codec Codec
	// Who is the name under which the connections are made.
	Who string
	// Carriers returns the instances that reach the primary of a group.
	Carriers func(state.GroupID) []string
}

// Dial opens a connection to a database. Where another database, or one of
// another group, answers at its address, the error is a
// *pooling.RefusedError.
func (d *Dialer) Dial(ctx context.Context, server state.Server) (pooling.Conn, error) {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial database %s at %s", server.ID, server.Address)
	}
	socket.SetUserTimeout(raw, socket.BackendUserTimeout)
	return d.start(ctx, raw, server, string(server.ID))
}

// maxCarriers is how many other instances are tried for one connection.
const maxCarriers = 2

// Detour implements pooling.Dialer.
func (d *Dialer) Detour(ctx context.Context, server state.Server) (pooling.Conn, error) {
	carriers := d.Carriers(server.Group)
	if len(carriers) == 0 {
		return nil, state.ErrNoTunnel
	}
	rand.Shuffle(len(carriers), func(i, j int) { carriers[i], carriers[j] = carriers[j], carriers[i] })
	var failures error
	for _, carrier := range carriers[:min(maxCarriers, len(carriers))] {
		raw, err := tunnel.Open(ctx, carrier, server.ID)
		if err == nil {
			detours("opened").Inc()
			return d.start(ctx, raw, server, string(server.ID)+" through "+carrier)
		}
		detours("failed").Inc()
		failures = errors.Join(failures, err)
	}
	return nil, failures
}

func detours(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_detours_total{result="` + result + `"}`)
}

// start begins a session on a new connection. Errors name the peer.
func (d *Dialer) start(ctx context.Context, raw net.Conn, server state.Server, peer string) (pooling.Conn, error) {
	conn := &Conn{raw: raw, reader: bufio.NewReaderSize(raw, readerBytes), codec: d.Codec, peer: peer}
	deadline, _ := ctx.Deadline()
	conn.buffer = d.Codec.AppendConnect(conn.buffer, server.Group, d.Who, server.ID)
	reply, err := conn.exchange("startup", deadline, nil)
	if err == nil && reply.Code != state.CodeNone {
		err = &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
	}
	if err != nil {
		conn.Close()
		if errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
			err = errors.Join(state.ErrClosedAtStartup, err)
		}
		return nil, err
	}
	return conn, nil
}

// Conn is one connection. It is used by one goroutine at a time; Close may be
// called by any.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	codec  Codec
	peer   string
	buffer []byte
	// preparing is how many answers come before that of the next call.
	preparing int
}

// ExchangeError is the error of a call without a whole answer.
type ExchangeError struct {
	Step string
	Peer string
	// Timeout tells that the connection was open, but the answer late.
	Timeout bool
	Cause   error
}

// Error gives step, peer and cause.
func (e *ExchangeError) Error() string {
	return e.Step + " at " + e.Peer + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// exchange sends what is buffered and reads the answer.
func (c *Conn) exchange(step string, deadline time.Time, late func()) (state.Reply, error) {
	if err := c.raw.SetWriteDeadline(deadline); err != nil {
		return state.Reply{}, c.failure(step, err)
	}
	_, err := c.raw.Write(c.buffer)
	c.buffer = c.buffer[:0]
	if err != nil {
		return state.Reply{}, c.failure(step, err)
	}
	if late != nil {
		c.noteLate(deadline, late)
	}
	if err := c.raw.SetReadDeadline(deadline); err != nil {
		return state.Reply{}, c.failure(step, err)
	}
	if err := c.readPrepared(); err != nil {
		return state.Reply{}, c.failure(step, err)
	}
	reply, err := c.codec.ReadReply(c.reader)
	if err != nil {
		return state.Reply{}, c.failure(step, err)
	}
	return reply, nil
}

// noteLate waits for the first byte of the answer, and calls late when it
// takes longer than lateAfter.
func (c *Conn) noteLate(deadline time.Time, late func()) {
	doubt := time.Now().Add(lateAfter)
	if !doubt.Before(deadline) {
		return
	}
	if err := c.raw.SetReadDeadline(doubt); err != nil {
		return // the following read reports it
	}
	if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		late()
	}
}

// readPrepared reads the answers to the statements prepared in advance. A
// refused one shows in the answer to its execution.
func (c *Conn) readPrepared() error {
	for ; c.preparing > 0; c.preparing-- {
		if _, err := c.codec.ReadReply(c.reader); err != nil {
			return err
		}
	}
	return nil
}

func (c *Conn) failure(step string, err error) error {
	return &ExchangeError{Step: step, Peer: c.peer, Timeout: errors.Is(err, os.ErrDeadlineExceeded), Cause: err}
}

// Run implements pooling.Conn.
func (c *Conn) Run(statement pooling.Statement, deadline time.Time, late func()) (state.Reply, error) {
	c.buffer = c.codec.AppendStatement(c.buffer, statement.ID, statement.Text, statement.After)
	return c.exchange("statement", deadline, late)
}

// Prepare implements pooling.Conn.
func (c *Conn) Prepare(name, shape string, writes bool) {
	c.buffer = c.codec.AppendPrepare(c.buffer, name, shape, writes)
	c.preparing++
}

// Set implements pooling.Conn.
func (c *Conn) Set(name, value string, deadline time.Time) (state.Reply, error) {
	c.buffer = c.codec.AppendSet(c.buffer, name, value)
	return c.exchange("set a session value", deadline, nil)
}

// Reset implements pooling.Conn.
func (c *Conn) Reset(deadline time.Time) (state.Reply, error) {
	c.buffer = c.codec.AppendReset(c.buffer)
	return c.exchange("reset the session", deadline, nil)
}

// Rollback implements pooling.Conn.
func (c *Conn) Rollback(deadline time.Time) (state.Reply, error) {
	c.buffer = c.codec.AppendRollback(c.buffer)
	return c.exchange("roll back", deadline, nil)
}

// Status implements pooling.Conn.
func (c *Conn) Status(deadline time.Time) (state.ServerStatus, error) {
	c.buffer = c.codec.AppendStatus(c.buffer)
	return c.status("ask for the state", deadline)
}

// StepDown implements pooling.Conn.
func (c *Conn) StepDown(term state.Term, deadline time.Time) (state.ServerStatus, error) {
	c.buffer = c.codec.AppendStepDown(c.buffer, term)
	return c.status("step down", deadline)
}

func (c *Conn) status(step string, deadline time.Time) (state.ServerStatus, error) {
	reply, err := c.exchange(step, deadline, nil)
	if err != nil {
		return state.ServerStatus{}, err
	}
	if reply.Code != state.CodeNone {
		return state.ServerStatus{}, &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
	}
	status, err := c.codec.ParseStatus(reply)
	return status, eris.Wrapf(err, "%s at %s", step, c.peer)
}

// Alive implements pooling.Conn. Between two calls nothing may be readable:
// bytes would be an answer to nothing, and an end means that the database
// closed the connection.
func (c *Conn) Alive() bool {
	return c.reader.Buffered() == 0 && socket.Quiet(c.raw)
}

// Close implements pooling.Conn.
func (c *Conn) Close() {
	_ = c.raw.Close()
}
