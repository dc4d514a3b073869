package pgserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/session"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/outcome"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errClientDone ends a connection after the client's Terminate message.
var errClientDone = errors.New("client terminated")

// conn is one client connection. Its goroutine reads requests and runs them one
// at a time.
type conn struct {
	server  *Server
	net     net.Conn
	backend *pgproto3.Backend
	session *session.Session
	key     CancelKey
	// encrypted is set once the connection uses TLS.
	encrypted bool

	statements map[string]*preparedStatement
	batch      batch
	// maxAge and requestID are the session's values of max_staleness and
	// request_id.
	maxAge    time.Duration
	requestID string
	// reportedPosition is the position in the last token sent to the client.
	reportedPosition state.Position
	limit            limitCache

	ctx    context.Context
	cancel context.CancelFunc

	// mu guards the fields below and changes of net, which other goroutines
	// use. It is a leaf lock.
	mu      sync.Mutex
	plan    state.PlanID
	group   state.GroupID
	started bool
	idle    bool
	// ending is set when the connection must end as soon as it is idle.
	ending bool
}

// limitCache caches the plan's limit in the configuration last used.
type limitCache struct {
	configuration *state.Configuration
	limit         state.Limit
	found         bool
}

func newConn(server *Server, netConn net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: server, statements: map[string]*preparedStatement{}, ctx: ctx, cancel: cancel}
	c.setNetConn(netConn)
	return c
}

// setNetConn makes netConn the connection that all later reads and writes use.
func (c *conn) setNetConn(netConn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.net = netConn
	c.backend = pgproto3.NewBackend(netConn, netConn)
	c.backend.SetMaxBodyLen(c.server.options.MaxMessageBytes)
}

// serve runs the connection until it ends.
func (c *conn) serve() {
	defer c.abort()
	err := c.startup()
	if err == nil {
		err = c.serveRequests()
	}
	if c.session != nil {
		c.server.cancels.remove(c.key, c)
		c.session.Close()
	}
	if err != nil && !isNormalEnd(err) {
		c.server.log.Debug().Err(err).Str("step", "serve client").Str("peer", c.net.RemoteAddr().String()).Msg("client connection ended")
	}
}

func isNormalEnd(err error) bool {
	return errors.Is(err, errClientDone) || errors.Is(err, errConnectionDone) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// serveRequests reads and runs requests until the client or the instance ends
// the connection.
func (c *conn) serveRequests() error {
	for {
		message, err := c.nextMessage()
		if err != nil {
			return err
		}
		if err := c.handle(message); err != nil {
			return err
		}
	}
}

// nextMessage waits for a message. While the connection is idle, a graceful
// shutdown may end the wait. Within a transaction or an unfinished batch, the
// wait is bounded by the plan's idle limit.
func (c *conn) nextMessage() (pgproto3.FrontendMessage, error) {
	for {
		idle := c.batch.empty() && c.session.Status() == session.StatusIdle
		if idle && c.enterIdle() {
			return nil, c.sendShutdown()
		}
		if !idle {
			c.net.SetReadDeadline(time.Now().Add(c.idleInTransaction()))
		}
		message, err := c.backend.Receive()
		ending := c.leaveIdle()
		if err == nil {
			return message, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, eris.Wrap(err, "receive request")
		}
		if idle && ending {
			return nil, c.sendShutdown()
		}
		if !idle {
			if err := c.endIdleTransaction(); err != nil {
				return nil, err
			}
		}
	}
}

// endIdleTransaction closes the backend connection of a transaction that was idle
// for too long, and sends the client an error.
func (c *conn) endIdleTransaction() error {
	c.session.Abandon()
	failure := state.NotRun(state.ReasonTransactionLimit, "await request", "", 0, nil)
	failure.Message = "the transaction was idle for too long and has been rolled back"
	return c.sendFatal(outcome.Response(failure))
}

// sendShutdown ends an idle connection because the instance is shutting down or
// because EndSessions was called for its plan and group.
func (c *conn) sendShutdown() error {
	c.net.SetDeadline(time.Now().Add(shutdownTimeout))
	err := c.sendFatal(outcome.NewError(outcome.SQLStateAdminShutdown, "the session is ended; connect again"))
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		// Closing a connection with unread data resets it, and the client could
		// lose the message. So the client's data is read first.
		_ = half.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(c.net, maxDiscardedBytes))
	}
	return err
}

const (
	// shutdownTimeout bounds sending the shutdown error to a client and
	// reading its remaining data.
	shutdownTimeout = time.Second
	// maxDiscardedBytes bounds the data read and discarded after the shutdown
	// error.
	maxDiscardedBytes = 1 << 20
)

// enterIdle marks the connection as idle, so that interruptIdle can end its
// read. It reports whether the connection must end instead.
func (c *conn) enterIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.server.drainingNow.Load() {
		return true
	}
	c.net.SetReadDeadline(time.Time{})
	c.idle = true
	return false
}

// leaveIdle clears the idle mark. It reports whether the connection must end.
func (c *conn) leaveIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.ending
}

// interruptIdle makes the connection end as soon as it is idle, which may be at
// once.
func (c *conn) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	if c.idle {
		c.net.SetReadDeadline(time.Now())
	}
}

func (c *conn) endWhenIdle() {
	c.interruptIdle()
}

// abort cancels any request in progress and closes the connection.
func (c *conn) abort() {
	c.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.net.Close()
}

func (c *conn) setIdentity(plan state.PlanID, group state.GroupID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan, c.group, c.started = plan, group, true
}

func (c *conn) identity() (state.PlanID, state.GroupID, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.plan, c.group, c.started
}

// planLimit returns the plan's limit in the configuration that is in force.
func (c *conn) planLimit() state.Limit {
	configuration := c.server.configurations.Current()
	if configuration != c.limit.configuration {
		limit, found := configuration.LimitOf(c.plan)
		c.limit = limitCache{configuration: configuration, limit: limit, found: found}
	}
	return c.limit.limit
}

func (c *conn) idleInTransaction() time.Duration {
	if millis := c.planLimit().IdleInTransactionMillis; millis > 0 {
		return time.Duration(millis) * time.Millisecond
	}
	return c.server.options.IdleInTransaction
}

// handle processes one message.
func (c *conn) handle(message pgproto3.FrontendMessage) error {
	switch message := message.(type) {
	case *pgproto3.Query:
		return c.simpleQuery(message.String)
	case *pgproto3.Parse:
		return c.parse(message)
	case *pgproto3.Bind:
		return c.bind(message)
	case *pgproto3.Describe:
		return c.describe(message)
	case *pgproto3.Execute:
		return c.execute(message)
	case *pgproto3.Close:
		return c.closeStatement(message)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush()
	case *pgproto3.Terminate:
		return errClientDone
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // follows a COPY statement that was rejected
	case *pgproto3.FunctionCall:
		return c.replyWithError(outcome.NewError(outcome.SQLStateFeatureNotSupported, "function calls by protocol message are not supported"))
	default:
		return c.sendFatal(outcome.NewError(outcome.SQLStateProtocolViolation, "unexpected message"))
	}
}

// deliver writes one event of a reply to the client. Into the last event it
// inserts the session's token if the token has changed.
func (c *conn) deliver(event execution.Event) error {
	c.net.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	messages := event.Messages
	if event.Done && c.session.MinPosition() != c.reportedPosition {
		messages = c.insertToken(messages)
	}
	if _, err := c.net.Write(messages); err != nil {
		return eris.Wrap(err, "write reply")
	}
	return nil
}

// readyForQueryBytes is the length of a ReadyForQuery message.
const readyForQueryBytes = 6

// insertToken puts the session's token before the final ReadyForQuery.
func (c *conn) insertToken(messages []byte) []byte {
	c.reportedPosition = c.session.MinPosition()
	status := pgproto3.ParameterStatus{Name: parameterToken, Value: formatToken(c.group, c.reportedPosition)}
	split := len(messages) - readyForQueryBytes
	ready := [readyForQueryBytes]byte(messages[split:])
	withToken, err := status.Encode(messages[:split])
	if err != nil {
		return messages
	}
	return append(withToken, ready[:]...)
}

// replyWithError sends an error response and ReadyForQuery.
func (c *conn) replyWithError(response *pgproto3.ErrorResponse) error {
	c.backend.Send(response)
	return c.sendReady()
}

func (c *conn) sendReady() error {
	c.net.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.Status()})
	if err := c.backend.Flush(); err != nil {
		return eris.Wrap(err, "write reply")
	}
	return nil
}

// replyWithFailure sends the error response for a unit that failed with err. An
// error other than *state.Failure comes from writing to the client; it is
// returned and ends the connection.
func (c *conn) replyWithFailure(err error) error {
	failure, ok := state.AsFailure(err)
	if !ok {
		return err
	}
	countFailure(failure)
	return c.replyWithError(outcome.Response(failure))
}

// countFailure counts a request that ended in a failure.
func countFailure(failure *state.Failure) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenpin_failures_total{outcome=%q,reason=%q}`, failure.Outcome, failure.Reason)).Inc()
}
