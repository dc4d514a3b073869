package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Message is one message received from a database.
type Message struct {
	Type byte
	// Raw is the whole message with its type byte and length. It is valid
	// until the next Receive.
	Raw []byte
}

// Conn is a connection to a database after startup. Each Write is followed by calls
// of Receive up to the ReadyForQuery of its reply. Cancel and Close may be called at
// any time.
type Conn struct {
	dialer            *Dialer
	database          state.Database
	pid               uint32
	secret            []byte
	parameterStatuses map[string]string

	connection net.Conn
	exchanges  exchanges
	// parts holds the marker and the messages of one Write, and outgoing what is left
	// of them to send.
	parts    [2][]byte
	outgoing net.Buffers
	reader   *messageReader
	reading  deadlines
	writing  deadlines
	broken   atomic.Bool
}

func newConn(dialer *Dialer, database state.Database, hijacked *pgconn.HijackedConn, bufferBytes int) *Conn {
	_ = hijacked.Conn.SetDeadline(time.Time{})
	return &Conn{
		dialer:            dialer,
		database:          database,
		pid:               hijacked.PID,
		secret:            hijacked.SecretKey,
		parameterStatuses: hijacked.ParameterStatuses,
		connection:        hijacked.Conn,
		exchanges:         newExchanges(),
		reader:            newMessageReader(hijacked.Conn, dialer.maxMessageBytes(), bufferBytes),
		reading:           deadlines{set: hijacked.Conn.SetReadDeadline},
		writing:           deadlines{set: hijacked.Conn.SetWriteDeadline},
	}
}

// Database returns the database that the connection was dialled to.
func (c *Conn) Database() state.Database {
	return c.database
}

// PID returns the id of the database's process for this connection.
func (c *Conn) PID() uint32 {
	return c.pid
}

// ParameterStatuses returns the parameters that the database reported at
// startup. The caller must not change the map.
func (c *Conn) ParameterStatuses() map[string]string {
	return c.parameterStatuses
}

// Broken reports whether the connection can no longer be used, after a failed
// write or read or after Close.
func (c *Conn) Broken() bool {
	return c.broken.Load()
}

// Write sends raw frontend messages to which the database replies with exactly one
// ReadyForQuery. An error is a *state.Failure with OutcomeUnknown, since a part may
// have been sent. A failed write breaks the connection.
func (c *Conn) Write(ctx context.Context, messages []byte) error {
	if c.broken.Load() {
		return c.failure(stepWrite, net.ErrClosed)
	}
	if err := c.writing.apply(ctx); err != nil {
		return c.failure(stepWrite, err)
	}
	c.parts = [2][]byte{c.exchanges.begin(), messages}
	c.outgoing = c.parts[:]
	if _, err := c.outgoing.WriteTo(c.connection); err != nil {
		c.broken.Store(true)
		return c.failure(stepWrite, err)
	}
	return nil
}

// Receive returns the next message of the reply to the last Write. Messages that
// belong to an earlier reply are dropped. An error is a *state.Failure with
// OutcomeUnknown. After a timeout or the end of ctx (ReasonSilent), a later call
// continues where this one stopped. After any other error the connection is
// broken.
func (c *Conn) Receive(ctx context.Context) (Message, error) {
	for {
		message, err := c.receive(ctx)
		if err != nil {
			return Message{}, err
		}
		accepted, err := c.exchanges.accept(message.Raw)
		if err != nil {
			c.broken.Store(true)
			return Message{}, c.failure(stepReceive, err)
		}
		if accepted {
			return message, nil
		}
	}
}

// receive returns the next message of any kind.
func (c *Conn) receive(ctx context.Context) (Message, error) {
	if c.broken.Load() {
		return Message{}, c.failure(stepReceive, net.ErrClosed)
	}
	if !c.reader.buffered() {
		if err := c.reading.apply(ctx); err != nil {
			return Message{}, c.failure(stepReceive, err)
		}
	}
	raw, err := c.reader.next()
	if err != nil {
		if !isTimeout(err) {
			c.broken.Store(true)
		}
		return Message{}, c.failure(stepReceive, err)
	}
	return Message{Type: raw[0], Raw: raw}, nil
}

// Cancel sends a cancel request for the statement that runs on this connection.
// It uses a separate connection and waits until the database closes that, which
// it does once it has processed the request.
func (c *Conn) Cancel(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, orDefault(c.dialer.ConnectTimeout, defaultConnectTimeout))
	defer cancel()
	connection, err := c.dialer.dialTCP(ctx, "tcp", c.database.Address)
	if err != nil {
		return c.failure(stepCancel, err)
	}
	defer connection.Close()
	stop := context.AfterFunc(ctx, func() { connection.SetDeadline(aLongTimeAgo) })
	defer stop()
	request := &pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secret}
	encoded, err := request.Encode(nil)
	if err != nil {
		return c.failure(stepCancel, err)
	}
	if _, err := connection.Write(encoded); err != nil {
		return c.failure(stepCancel, err)
	}
	if _, err := io.Copy(io.Discard, connection); err != nil && isTimeout(err) {
		return c.failure(stepCancel, err)
	}
	return nil
}

// Close closes the connection at once. Operations in progress fail.
func (c *Conn) Close() {
	c.broken.Store(true)
	c.connection.Close()
	c.reading.clear()
	c.writing.clear()
}

func (c *Conn) failure(step string, err error) *state.Failure {
	reason := state.ReasonConnectionLost
	if isTimeout(err) {
		reason = state.ReasonSilent
	}
	return state.Unknown(reason, step, c.database.Address, err)
}

// isTimeout reports whether an error was caused by a deadline or a context.
func isTimeout(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, context.Canceled)
}
