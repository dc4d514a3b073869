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

// errClientDone ends a connection that the client has terminated.
var errClientDone = errors.New("client terminated")

// conn is one client connection. Its goroutine reads requests and runs them
// one after the other.
type conn struct {
	server  *Server
	net     net.Conn
	backend *pgproto3.Backend
	session *session.Session
	key     CancelKey
	// encrypted is set once the connection is under TLS.
	encrypted bool

	statements map[string]*preparedStatement
	batch      batch
	// maxAge and requestID are the proxy's own parameters of the session.
	maxAge    time.Duration
	requestID string
	// reportedFloor is the token that the client was last told.
	reportedFloor state.Position
	limit         limitCache

	ctx    context.Context
	cancel context.CancelFunc

	// mu guards what other goroutines see, and changes of net. It is a leaf
	// lock.
	mu      sync.Mutex
	plan    state.PlanID
	group   state.GroupID
	started bool
	idle    bool
	// ending is set when the connection is to end at the next idle moment.
	ending bool
}

// limitCache keeps the plan's limit of the configuration last looked at.
type limitCache struct {
	configuration *state.Configuration
	limit         state.Limit
	found         bool
}

func newConn(server *Server, netConn net.Conn) *conn {
	ctx, cancel := context.WithCancel(context.Background())
	c := &conn{server: server, statements: map[string]*preparedStatement{}, ctx: ctx, cancel: cancel}
	c.useConnection(netConn)
	return c
}

// useConnection reads and writes over netConn from now on.
func (c *conn) useConnection(netConn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.net = netConn
	c.backend = pgproto3.NewBackend(netConn, netConn)
	c.backend.SetMaxBodyLen(c.server.options.MaxMessageBytes)
}

// serve runs the connection to its end.
func (c *conn) serve() {
	defer c.abort()
	err := c.startup()
	if err == nil {
		err = c.requests()
	}
	if c.session != nil {
		c.server.cancels.remove(c.key, c)
		c.session.Close()
	}
	if err != nil && !isOrdinaryEnd(err) {
		c.server.log.Debug().Err(err).Str("step", "serve client").Str("peer", c.net.RemoteAddr().String()).Msg("client connection ended")
	}
}

func isOrdinaryEnd(err error) bool {
	return errors.Is(err, errClientDone) || errors.Is(err, errStartupEnded) ||
		errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// requests reads and runs requests until the client or the instance ends the
// connection.
func (c *conn) requests() error {
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

// nextMessage waits for a message. Between requests outside a transaction the
// wait may be ended by a graceful stop; within a transaction it is bounded by
// the plan's idle limit.
func (c *conn) nextMessage() (pgproto3.FrontendMessage, error) {
	for {
		atRest := c.batch.empty() && c.session.Status() == session.StatusIdle
		if atRest && c.enterIdle() {
			return nil, c.sayGoodbye()
		}
		if !atRest {
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
		if atRest && ending {
			return nil, c.sayGoodbye()
		}
		if !atRest {
			if err := c.endIdleTransaction(); err != nil {
				return nil, err
			}
		}
	}
}

// endIdleTransaction gives up the backend connection of a transaction that has
// been idle for too long, and tells the client.
func (c *conn) endIdleTransaction() error {
	c.session.Abandon()
	failure := state.NotRun(state.ReasonTransactionLimit, "await request", "", 0, nil)
	failure.Message = "the transaction was idle for too long and has been rolled back"
	return c.refuse(outcome.Response(failure))
}

// sayGoodbye ends an idle connection because the instance is leaving or the
// plan may no longer use it.
func (c *conn) sayGoodbye() error {
	c.net.SetDeadline(time.Now().Add(goodbyeTimeout))
	err := c.refuse(outcome.NewError(outcome.SQLStateAdminShutdown, "the session is ended; connect again"))
	if half, ok := c.net.(interface{ CloseWrite() error }); ok {
		// Closing with unread data would reset the connection and could
		// destroy the message on its way.
		_ = half.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(c.net, maxGoodbyeBytes))
	}
	return err
}

const (
	// goodbyeTimeout bounds the farewell to a client.
	goodbyeTimeout = time.Second
	// maxGoodbyeBytes bounds what is read and dropped after the farewell.
	maxGoodbyeBytes = 1 << 20
)

// enterIdle marks the connection as interruptible. It reports whether the
// connection is to end instead.
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

// leaveIdle reports whether the connection was asked to end meanwhile.
func (c *conn) leaveIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	return c.ending
}

// interruptIdle ends the connection at its next idle moment, which may be now.
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

// abort ends the connection whatever it does.
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

// handle runs one message.
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
		return nil // belongs to a COPY that was refused
	case *pgproto3.FunctionCall:
		return c.answerError(outcome.NewError(outcome.SQLStateFeatureNotSupported, "function calls by protocol message are not supported"))
	default:
		return c.refuse(outcome.NewError(outcome.SQLStateProtocolViolation, "unexpected message"))
	}
}

// deliver writes an event of an answer to the client. With the last one it
// reports the session's token, if it changed.
func (c *conn) deliver(event execution.Event) error {
	c.net.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	messages := event.Messages
	if event.Done && c.session.MinPosition() != c.reportedFloor {
		messages = c.insertToken(messages)
	}
	if _, err := c.net.Write(messages); err != nil {
		return eris.Wrap(err, "write answer")
	}
	return nil
}

// readyForQueryBytes is the length of a ReadyForQuery message.
const readyForQueryBytes = 6

// insertToken puts the session's token before the final ReadyForQuery.
func (c *conn) insertToken(messages []byte) []byte {
	c.reportedFloor = c.session.MinPosition()
	status := pgproto3.ParameterStatus{Name: parameterToken, Value: formatToken(c.group, c.reportedFloor)}
	split := len(messages) - readyForQueryBytes
	ready := [readyForQueryBytes]byte(messages[split:])
	withToken, err := status.Encode(messages[:split])
	if err != nil {
		return messages
	}
	return append(withToken, ready[:]...)
}

// answerError sends an error response and ReadyForQuery.
func (c *conn) answerError(response *pgproto3.ErrorResponse) error {
	c.backend.Send(response)
	return c.sendReady()
}

func (c *conn) sendReady() error {
	c.net.SetWriteDeadline(time.Now().Add(c.server.options.WriteTimeout))
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.session.Status()})
	if err := c.backend.Flush(); err != nil {
		return eris.Wrap(err, "write answer")
	}
	return nil
}

// answerFailure answers a unit that failed with err. An error that is no
// failure means that the client itself is gone.
func (c *conn) answerFailure(err error) error {
	failure, ok := state.AsFailure(err)
	if !ok {
		return err
	}
	countFailure(failure)
	return c.answerError(outcome.Response(failure))
}

// countFailure counts a request that got no ordinary answer.
func countFailure(failure *state.Failure) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamenpin_failures_total{outcome=%q,reason=%q}`, failure.Outcome, failure.Reason)).Inc()
}
