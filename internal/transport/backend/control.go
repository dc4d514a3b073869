package backend

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	stepStatus  = "group status"
	stepFence   = "group fence"
	stepPromote = "group promote"
	stepFollow  = "group follow"
	stepProbe   = "group probe"

	// codeRefused is the SQLSTATE by which a database refuses a term.
	codeRefused = "55000"

	closeTimeout = 100 * time.Millisecond
)

// RefusedError says that a database refused a fence, promotion or primary,
// because of the term that it holds.
type RefusedError struct {
	Step    string
	Peer    string // address of the database
	Message string // the database's own words
}

// Error writes the refusal on one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s at %s: refused: %s", e.Step, e.Peer, e.Message)
}

// Control runs the group statements of one database over one connection that
// it keeps. Calls run one at a time. A call that fails or times out closes the
// connection, and the next call dials anew. Errors are *RefusedError or
// *state.Failure.
type Control struct {
	dialer   *Dialer
	database state.Database
	// turn holds one token; who takes it owns connection.
	turn       chan struct{}
	connection *pgconn.PgConn
	// prepared is the status statement on connection; nil before the first.
	prepared *pgconn.StatementDescription
}

// statusStatement is both the name and the text of what is asked most often.
const statusStatement = "SELECT * FROM group_status()"

// statusQuery runs a statement on a connection.
type statusQuery func(ctx context.Context, connection *pgconn.PgConn) ([]*pgconn.Result, error)

// plainly sends a statement as its text.
func plainly(statement string) statusQuery {
	return func(ctx context.Context, connection *pgconn.PgConn) ([]*pgconn.Result, error) {
		return connection.Exec(ctx, statement).ReadAll()
	}
}

// NewControl returns a Control that has not dialled yet.
func NewControl(dialer *Dialer, database state.Database) *Control {
	control := &Control{dialer: dialer, database: database, turn: make(chan struct{}, 1)}
	control.turn <- struct{}{}
	return control
}

// Database returns the database that the Control talks to.
func (c *Control) Database() state.Database {
	return c.database
}

// Status asks for the database's status.
func (c *Control) Status(ctx context.Context) (state.DatabaseStatus, error) {
	return c.call(ctx, stepStatus, c.preparedStatus)
}

// preparedStatus asks by a prepared statement, whose answer carries no names of
// columns: an owner asks each database several times a second.
func (c *Control) preparedStatus(ctx context.Context, connection *pgconn.PgConn) ([]*pgconn.Result, error) {
	if c.prepared == nil {
		prepared, err := connection.Prepare(ctx, statusStatement, statusStatement, nil)
		if err != nil {
			return nil, err
		}
		c.prepared = prepared
	}
	result := connection.ExecStatement(ctx, c.prepared, nil, nil, nil).Read()
	return []*pgconn.Result{result}, result.Err
}

// Fence asks the database to accept a term for a promoter.
func (c *Control) Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.call(ctx, stepFence, plainly(fmt.Sprintf("SELECT * FROM group_fence(%d, %s)", term, quote(string(promoter)))))
}

// Promote asks the database, which the same promoter has fenced, to be the
// primary of the term.
func (c *Control) Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.call(ctx, stepPromote, plainly(fmt.Sprintf("SELECT * FROM group_promote(%d, %s)", term, quote(string(promoter)))))
}

// Follow asks the database to be a replica of the primary of the term.
func (c *Control) Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error) {
	return c.call(ctx, stepFollow, plainly(fmt.Sprintf("SELECT * FROM group_follow(%d, %s, %s)",
		term, quote(string(primary.ID)), quote(primary.Address))))
}

// Probe asks for the status over a new connection, which it then closes. It
// tells a database that is gone from a connection that went silent.
func (c *Control) Probe(ctx context.Context) (state.DatabaseStatus, error) {
	connection, err := c.dialer.connect(ctx, c.database.Address, "")
	if err != nil {
		return state.DatabaseStatus{}, c.unreachable(stepProbe, err)
	}
	defer closeConnection(connection)
	return c.ask(ctx, connection, stepProbe, plainly(statusStatement))
}

// Close closes the kept connection, after the call that runs now.
func (c *Control) Close() {
	<-c.turn
	c.drop()
	c.turn <- struct{}{}
}

// call runs a query on the kept connection.
func (c *Control) call(ctx context.Context, step string, run statusQuery) (state.DatabaseStatus, error) {
	select {
	case <-c.turn:
	case <-ctx.Done():
		return state.DatabaseStatus{}, state.NotRun(state.ReasonSilent, step, c.database.Address, dialRetryAfter, ctx.Err())
	}
	defer func() { c.turn <- struct{}{} }()
	if c.connection == nil || c.connection.IsClosed() {
		connection, err := c.dialer.connect(ctx, c.database.Address, "")
		if err != nil {
			return state.DatabaseStatus{}, c.unreachable(step, err)
		}
		c.connection, c.prepared = connection, nil
	}
	status, err := c.ask(ctx, c.connection, step, run)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) {
		c.drop()
	}
	return status, err
}

// ask runs a query and reads the status that it answers.
func (c *Control) ask(ctx context.Context, connection *pgconn.PgConn, step string, run statusQuery) (state.DatabaseStatus, error) {
	results, err := run(ctx, connection)
	if err != nil {
		return state.DatabaseStatus{}, c.callError(step, err)
	}
	status, err := parseStatus(results)
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
	var failure *pgconn.PgError
	switch {
	case errors.As(err, &failure) && failure.Code == codeRefused:
		return &RefusedError{Step: step, Peer: c.database.Address, Message: failure.Message}
	case isTimeout(err):
		return state.Unknown(state.ReasonSilent, step, c.database.Address, err)
	default:
		return state.Unknown(state.ReasonConnectionLost, step, c.database.Address, err)
	}
}

func (c *Control) unreachable(step string, err error) error {
	return state.NotRun(state.ReasonUnreachable, step, c.database.Address, dialRetryAfter, err)
}

func (c *Control) drop() {
	if c.connection != nil {
		closeConnection(c.connection)
		c.connection = nil
	}
}

// closeConnection says goodbye where the database still listens.
func closeConnection(connection *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = connection.Close(ctx)
}

// quote writes a string literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
