// Package linebackend sends statements to databases over connections that use a
// line-based protocol. A Codec encodes and decodes the protocol's messages.
package linebackend

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/tunnel"
)

// Codec encodes messages to databases and decodes their replies.
type Codec interface {
	AppendConnect(buffer []byte, group state.GroupID, user string, id state.DatabaseID) []byte
	AppendStatement(buffer []byte, id, text string, after state.Position) []byte
	AppendSet(buffer []byte, name, value string) []byte
	AppendPrepare(buffer []byte, name, shape string, writes bool) []byte
	AppendReset(buffer []byte) []byte
	AppendRollback(buffer []byte) []byte
	AppendStatus(buffer []byte) []byte
	AppendStepDown(buffer []byte, term state.Term) []byte
	// BeginsTransaction reports whether a statement begins a transaction.
	BeginsTransaction(text string) bool
	ReadReply(r *bufio.Reader) (state.Reply, error)
	ParseStatus(reply state.Reply) (state.ServerStatus, error)
}

const (
	// lateThreshold is the time after which a reply counts as late; the database
	// is then probed.
	lateThreshold = 300 * time.Millisecond
	// readerBytes is enough for a typical reply.
	readerBytes = 2048
)

// Dialer opens connections to databases.
type Dialer struct {
	Codec Codec
	// User is the user name sent in the startup message of connections that belong
	// to no workspace. Those of a workspace send its name.
	User string
	// TunnelInstances returns the addresses of the instances that reach the
	// primary of a group.
	TunnelInstances func(state.GroupID) []string
	// Open opens connections to databases; nil stands for TCP.
	Open func(ctx context.Context, server state.Server) (net.Conn, error)
	Log  zerolog.Logger

	repeating repeatRecord
}

// Dial opens a connection to a database. The error is a *pooling.RefusedError if
// the database at that address refuses the session, as it does when its group or
// id is not the expected one.
func (d *Dialer) Dial(ctx context.Context, server state.Server, workspace state.WorkspaceID) (pooling.ServerConn, error) {
	open := d.Open
	if open == nil {
		open = openTCP
	}
	raw, err := open(ctx, server)
	if err != nil {
		return nil, eris.Wrapf(err, "dial database %s at %s", server.ID, server.Address)
	}
	socket.SetUserTimeout(raw, socket.BackendUserTimeout)
	return d.startSession(ctx, raw, server, workspace, string(server.ID))
}

func openTCP(ctx context.Context, server state.Server) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", server.Address)
}

// maxTunnelAttempts is the maximum number of other instances tried for one
// connection.
const maxTunnelAttempts = 2

// DialTunnel implements pooling.Dialer.
func (d *Dialer) DialTunnel(ctx context.Context, server state.Server, workspace state.WorkspaceID) (pooling.ServerConn, error) {
	instances := d.TunnelInstances(server.Group)
	if len(instances) == 0 {
		return nil, state.ErrNoTunnel
	}
	rand.Shuffle(len(instances), func(i, j int) { instances[i], instances[j] = instances[j], instances[i] })
	var errs error
	for _, instance := range instances[:min(maxTunnelAttempts, len(instances))] {
		raw, err := tunnel.Open(ctx, instance, server.ID)
		if err == nil {
			tunnelCounter("opened").Inc()
			return d.startSession(ctx, raw, server, workspace, string(server.ID)+" through "+instance)
		}
		tunnelCounter("failed").Inc()
		errs = errors.Join(errs, err)
	}
	return nil, errs
}

func tunnelCounter(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_detours_total{result="` + result + `"}`)
}

// startSession sends the startup message on a new connection and reads the
// reply. Errors name the peer.
func (d *Dialer) startSession(ctx context.Context, raw net.Conn, server state.Server, workspace state.WorkspaceID, peer string) (pooling.ServerConn, error) {
	conn := &Conn{raw: raw, reader: bufio.NewReaderSize(socket.Reader{Conn: raw}, readerBytes), codec: d.Codec, peer: peer, log: d.Log, repeats: d.repeating.of(server.ID)}
	deadline, _ := ctx.Deadline()
	conn.buffer = d.Codec.AppendConnect(conn.buffer, server.Group, cmp.Or(string(workspace), d.User), server.ID)
	reply, err := conn.exchange(call{step: "startup", expected: greeting, deadline: deadline})
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

// Conn is one connection to a database. Only one goroutine may use it at a time,
// except that Close may be called from any goroutine.
type Conn struct {
	raw    net.Conn
	reader *bufio.Reader
	codec  Codec
	peer   string
	log    zerolog.Logger
	buffer []byte
	// transaction is the session's state after the last reply.
	transaction state.TransactionState
	seen        replyHistory
	// marked is set from markers on until a reply with a proof arrives. A refusal may
	// be that of a marker until then, if a repeat was taken for the marker's.
	marked bool
	// repeated is set once the database has repeated a reply. Others may follow, so
	// that the connection is not used again.
	repeated bool
	// repeats is set once any connection to the database has had a repeat.
	repeats *atomic.Bool
}

// ExchangeError reports a call that got no complete reply.
type ExchangeError struct {
	Step string
	Peer string
	// Timeout is set if the connection was open but the deadline passed.
	Timeout bool
	Cause   error
}

// Error returns a message with the step, the peer and the cause.
func (e *ExchangeError) Error() string {
	return e.Step + " at " + e.Peer + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// send sends the buffered messages. If late is not nil, it is called once when the
// reply is late.
func (c *Conn) send(call call) error {
	err := c.raw.SetWriteDeadline(call.deadline)
	if err == nil {
		_, err = c.raw.Write(c.buffer)
	}
	c.buffer = c.buffer[:0]
	if err != nil {
		return c.exchangeError(call.step, err)
	}
	if call.late != nil {
		c.callIfLate(call.deadline, call.late)
	}
	if err := c.raw.SetReadDeadline(call.deadline); err != nil {
		return c.exchangeError(call.step, err)
	}
	return nil
}

// exchangeError names the step and the peer of a failed call.
func (c *Conn) exchangeError(step string, err error) error {
	return &ExchangeError{Step: step, Peer: c.peer, Timeout: errors.Is(err, os.ErrDeadlineExceeded), Cause: err}
}

// callIfLate waits for the first byte of the reply and calls late if none
// arrives within lateThreshold. It does nothing if the deadline comes first.
func (c *Conn) callIfLate(deadline time.Time, late func()) {
	lateAt := time.Now().Add(lateThreshold)
	if !lateAt.Before(deadline) {
		return
	}
	if err := c.raw.SetReadDeadline(lateAt); err != nil {
		return // the next read returns the error
	}
	if _, err := c.reader.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
		late()
	}
}

// Run implements pooling.ServerConn.
func (c *Conn) Run(statement pooling.Statement, deadline time.Time, late func()) (state.Reply, error) {
	run := call{step: "statement", expected: result, deadline: deadline, late: late}
	if c.codec.BeginsTransaction(statement.Text) {
		run.expected = begun
	}
	prepare := statement.Prepare
	if prepare == nil {
		c.buffer = c.codec.AppendStatement(c.buffer, statement.ID, statement.Text, statement.After)
		return c.exchange(run)
	}
	c.buffer = c.codec.AppendPrepare(c.buffer, prepare.Name, prepare.Shape, prepare.Writes)
	c.buffer = c.codec.AppendStatement(c.buffer, statement.ID, statement.Text, statement.After)
	if err := c.send(run); err != nil {
		return state.Reply{}, err
	}
	prepared, unsure, err := c.await(call{step: "prepare", expected: done})
	if err != nil {
		return state.Reply{}, err
	}
	reply, err := c.finish(run, unsure)
	prepare.Accepted = prepared.Code == state.CodeNone
	if err == nil && reply.Code == state.CodeNoStatement && !prepare.Accepted {
		reply.Code, reply.Detail = prepared.Code, prepared.Detail
	}
	return reply, err
}

// Set implements pooling.ServerConn.
func (c *Conn) Set(name, value string, deadline time.Time) (state.Reply, error) {
	c.buffer = c.codec.AppendSet(c.buffer, name, value)
	return c.exchange(call{step: "set a session value", expected: done, deadline: deadline})
}

// Reset implements pooling.ServerConn.
func (c *Conn) Reset(deadline time.Time) (state.Reply, error) {
	c.buffer = c.codec.AppendReset(c.buffer)
	return c.exchange(call{step: "reset the session", expected: done, deadline: deadline})
}

// Rollback implements pooling.ServerConn.
func (c *Conn) Rollback(deadline time.Time) (state.Reply, error) {
	c.buffer = c.codec.AppendRollback(c.buffer)
	return c.exchange(call{step: "roll back", expected: rolledBack, deadline: deadline})
}

// Status implements pooling.ServerConn.
func (c *Conn) Status(deadline time.Time) (state.ServerStatus, error) {
	c.buffer = c.codec.AppendStatus(c.buffer)
	return c.exchangeStatus("ask for the state", deadline)
}

// StepDown implements pooling.ServerConn.
func (c *Conn) StepDown(term state.Term, deadline time.Time) (state.ServerStatus, error) {
	c.buffer = c.codec.AppendStepDown(c.buffer, term)
	return c.exchangeStatus("step down", deadline)
}

func (c *Conn) exchangeStatus(step string, deadline time.Time) (state.ServerStatus, error) {
	reply, err := c.exchange(call{step: step, expected: status, deadline: deadline})
	if err != nil {
		return state.ServerStatus{}, err
	}
	if reply.Code != state.CodeNone {
		return state.ServerStatus{}, &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
	}
	status, err := c.codec.ParseStatus(reply)
	return status, eris.Wrapf(err, "%s at %s", step, c.peer)
}

// Alive implements pooling.ServerConn. Between two calls nothing may be readable:
// data would be an unsolicited reply, and an end of stream means that the
// database closed the connection.
func (c *Conn) Alive() bool {
	if c.repeated {
		return false
	}
	if c.reader.Buffered() == 0 && socket.IsIdle(c.raw) {
		return true
	}
	c.recordUnsolicited()
	return false
}

// recordUnsolicited counts and logs data that arrived while no reply was outstanding.
func (c *Conn) recordUnsolicited() {
	if err := c.raw.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		return // the connection was closed
	}
	if _, err := c.reader.Peek(1); err == nil {
		c.repeats.Store(true)
		strayCounter("idle").Inc()
		c.log.Warn().Str("peer", c.peer).Msg("the database sent data while no reply was outstanding")
	}
}

// Close implements pooling.ServerConn.
func (c *Conn) Close() {
	_ = c.raw.Close()
}
