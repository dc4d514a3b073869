package backend

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	stepStatus  = "group status"
	stepFence   = "group fence"
	stepPromote = "group promote"
	stepFollow  = "group follow"
	stepProbe   = "group probe"

	// codeRefused is the SQLSTATE with which a database refuses a group
	// statement because of its term.
	codeRefused = "55000"

	// controlBufferBytes is the receive buffer of a connection for group statements,
	// whose replies are short.
	controlBufferBytes = 2 << 10
)

// RefusedError reports that a database refused a fence, promotion or follow
// statement because of the term that it holds.
type RefusedError struct {
	Step    string
	Peer    string // address of the database
	Message string // the database's error message
}

// Error describes the refusal on one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s at %s: refused: %s", e.Step, e.Peer, e.Message)
}

// Control runs group statements on one database over one connection that it
// keeps open. Calls run one at a time. A call that fails or times out closes the
// connection, and the next call dials a new one; a refused statement leaves the
// connection open. Errors are *RefusedError or *state.Failure.
type Control struct {
	dialer   *Dialer
	database state.Database
	// semaphore holds one token. The goroutine that has received it may use
	// connection and prepared.
	semaphore  chan struct{}
	connection *Conn
	// prepared is set once the status statement was prepared on connection.
	prepared bool
}

// statusStatement is the text of the status query, and also its name as a
// prepared statement.
const statusStatement = "SELECT * FROM group_status()"

var (
	prepareStatus = encodeMessages(&pgproto3.Parse{Name: statusStatement, Query: statusStatement})
	executeStatus = encodeMessages(&pgproto3.Bind{PreparedStatement: statusStatement}, &pgproto3.Execute{}, &pgproto3.Sync{})
)

// statusQuery runs a statement that returns a status row.
type statusQuery func(ctx context.Context, connection *Conn) ([]row, error)

// asText returns a query that sends a statement by the simple query protocol.
func asText(statement string) statusQuery {
	return func(ctx context.Context, connection *Conn) ([]row, error) {
		return connection.query(ctx, encodeMessages(&pgproto3.Query{String: statement}))
	}
}

// NewControl returns a Control that has not dialled yet.
func NewControl(dialer *Dialer, database state.Database) *Control {
	control := &Control{dialer: dialer, database: database, semaphore: make(chan struct{}, 1)}
	control.semaphore <- struct{}{}
	return control
}

// Database returns the database that the Control runs statements on.
func (c *Control) Database() state.Database {
	return c.database
}

// Status returns the database's status.
func (c *Control) Status(ctx context.Context) (state.DatabaseStatus, error) {
	return c.call(ctx, stepStatus, c.queryPreparedStatus)
}

// queryPreparedStatus queries the status with a prepared statement, whose reply
// omits the column names. An owner sends this query to each database several
// times a second.
func (c *Control) queryPreparedStatus(ctx context.Context, connection *Conn) ([]row, error) {
	if c.prepared {
		return connection.query(ctx, executeStatus)
	}
	rows, err := connection.query(ctx, slices.Concat(prepareStatus, executeStatus))
	c.prepared = err == nil
	return rows, err
}

// Fence makes the database accept a term for a promoter and become fenced.
func (c *Control) Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.call(ctx, stepFence, asText(fmt.Sprintf("SELECT * FROM group_fence(%d, %s)", term, quote(string(promoter)))))
}

// Promote makes the database the primary of the term. The same promoter must
// have fenced it for that term.
func (c *Control) Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.call(ctx, stepPromote, asText(fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quote(string(promoter)))))
}

// Follow makes the database a replica of the term's primary.
func (c *Control) Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error) {
	return c.call(ctx, stepFollow, asText(fmt.Sprintf("SELECT * FROM group_follow(%d, %s, %s)",
		term, quote(string(primary.ID)), quote(primary.Address))))
}

// Probe returns the status over a new connection, which it then closes. So it
// distinguishes a database that is unreachable from a kept connection that no
// longer receives replies.
func (c *Control) Probe(ctx context.Context) (state.DatabaseStatus, error) {
	connection, err := c.dial(ctx)
	if err != nil {
		return state.DatabaseStatus{}, c.unreachable(stepProbe, err)
	}
	defer connection.Close()
	return c.queryStatus(ctx, connection, stepProbe, asText(statusStatement))
}

// Close closes the kept connection after any call in progress.
func (c *Control) Close() {
	<-c.semaphore
	c.dropConnection()
	c.semaphore <- struct{}{}
}

// call runs a query on the kept connection, dialling it if necessary.
func (c *Control) call(ctx context.Context, step string, run statusQuery) (state.DatabaseStatus, error) {
	select {
	case <-c.semaphore:
	case <-ctx.Done():
		return state.DatabaseStatus{}, state.NotRun(state.ReasonSilent, step, c.database.Address, dialRetryAfter, ctx.Err())
	}
	defer func() { c.semaphore <- struct{}{} }()
	if c.connection == nil {
		connection, err := c.dial(ctx)
		if err != nil {
			return state.DatabaseStatus{}, c.unreachable(step, err)
		}
		c.connection, c.prepared = connection, false
	}
	status, err := c.queryStatus(ctx, c.connection, step, run)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) {
		c.dropConnection()
	}
	return status, err
}

// queryStatus runs a query and parses the status that it returns.
func (c *Control) queryStatus(ctx context.Context, connection *Conn, step string, run statusQuery) (state.DatabaseStatus, error) {
	rows, err := run(ctx, connection)
	if err != nil {
		return state.DatabaseStatus{}, c.callError(step, err)
	}
	status, err := parseStatus(rows)
	if err != nil {
		return state.DatabaseStatus{}, state.Unknown(state.ReasonUnsupported, step, c.database.Address, err)
	}
	if status.Database != c.database.ID {
		err := eris.Errorf("answered by database %q instead of %q", status.Database, c.database.ID)
		return state.DatabaseStatus{}, state.Unknown(state.ReasonUnreachable, step, c.database.Address, err)
	}
	return status, nil
}

func (c *Control) callError(step string, err error) error {
	if failure, ok := state.AsFailure(err); ok {
		err = failure.Cause
	}
	var response *pgconn.PgError
	switch {
	case errors.As(err, &response) && response.Code == codeRefused:
		return &RefusedError{Step: step, Peer: c.database.Address, Message: response.Message}
	case isTimeout(err):
		return state.Unknown(state.ReasonSilent, step, c.database.Address, err)
	default:
		return state.Unknown(state.ReasonConnectionLost, step, c.database.Address, err)
	}
}

func (c *Control) unreachable(step string, err error) error {
	return state.NotRun(state.ReasonUnreachable, step, c.database.Address, dialRetryAfter, err)
}

func (c *Control) dial(ctx context.Context) (*Conn, error) {
	return c.dialer.dial(ctx, c.database, "", controlBufferBytes)
}

func (c *Control) dropConnection() {
	if c.connection != nil {
		c.connection.Close()
		c.connection = nil
	}
}

// quote returns text as an SQL string literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
