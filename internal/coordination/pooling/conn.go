package pooling

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// ServerConn is a connection to a database. Its calls block until the reply or
// the deadline. A reply that can't be told from a repeat of an earlier one is the error
// *UnattributedError. After an error the connection is unusable.
type ServerConn interface {
	// Run sends a client's statement, and before it the statement to prepare. If the
	// database refuses to prepare that one, the client's has not run, and the reply is
	// the refusal. late, which may be nil, is called once if the reply takes longer than
	// usual.
	Run(statement Statement, deadline time.Time, late func()) (state.Reply, error)
	Set(name, value string, deadline time.Time) (state.Reply, error)
	Reset(deadline time.Time) (state.Reply, error)
	Rollback(deadline time.Time) (state.Reply, error)
	Status(deadline time.Time) (state.ServerStatus, error)
	StepDown(term state.Term, deadline time.Time) (state.ServerStatus, error)
	// Alive reports whether the connection is still open. It is false once the
	// database is known to have closed it.
	Alive() bool
	Close()
}

// Statement is a client's statement as it is sent to a database.
type Statement struct {
	ID   string
	Text string
	// After is the position that the database's log must cover; zero for none.
	After state.Position
	// Prepare is the prepared statement that is executed, nil for none.
	Prepare *Prepare
}

// Prepare is a statement to be prepared on a connection.
type Prepare struct {
	Name   string
	Shape  string
	Writes bool
	// Accepted is set once the connection has the name.
	Accepted bool
}

// Dialer opens connections.
type Dialer interface {
	// Dial opens a connection that belongs to a workspace, or to none.
	Dial(ctx context.Context, server state.Server, workspace state.WorkspaceID) (ServerConn, error)
	// DialTunnel opens a connection through another instance. The error is
	// state.ErrNoTunnel if no instance is known that reaches the database.
	DialTunnel(ctx context.Context, server state.Server, workspace state.WorkspaceID) (ServerConn, error)
}

// Values are the session values of a client or of a connection.
type Values struct {
	byName map[string]string
	key    string
}

// Key returns a string that is equal for equal values.
func (v *Values) Key() string {
	return v.key
}

// Set changes one value.
func (v *Values) Set(name, value string) {
	if v.byName == nil {
		v.byName = make(map[string]string)
	}
	v.byName[name] = value
	var key strings.Builder
	for _, name := range slices.Sorted(maps.Keys(v.byName)) {
		appendText(&key, name)
		appendText(&key, v.byName[name])
	}
	v.key = key.String()
}

// appendText appends a text, which may hold any bytes, with its length.
func appendText(key *strings.Builder, text string) {
	key.WriteString(strconv.Itoa(len(text)))
	key.WriteByte(':')
	key.WriteString(text)
}

// Map returns the values by name, which the caller must not modify.
func (v *Values) Map() map[string]string {
	return v.byName
}

// ValuesOf returns the values of a map.
func ValuesOf(byName map[string]string) *Values {
	values := &Values{}
	for name, value := range byName {
		values.Set(name, value)
	}
	return values
}

// hasNamesNotIn reports whether v has a name that other lacks.
func (v *Values) hasNamesNotIn(other *Values) bool {
	for name := range v.byName {
		if _, ok := other.byName[name]; !ok {
			return true
		}
	}
	return false
}

// Conn is a pooled connection with the values and prepared statements of its
// session.
type Conn struct {
	ServerConn
	Server state.Server
	// Workspace is the only workspace whose statements may run on the connection.
	Workspace state.WorkspaceID
	values    Values
	prepared  map[string]bool
	lastUsed  time.Time
	acquired  time.Time
	// starting is set from when the connection is acquired until its first
	// statement is sent. It is guarded by the pool's lock.
	starting bool
	// tunnelled is set if the connection leads through another instance. Its
	// calls don't show whether the database can be reached from this instance.
	tunnelled bool
	// forwarded is set if the statements run at another instance, on a connection
	// of that instance's pool.
	forwarded bool
}

func newConn(conn ServerConn, server state.Server, workspace state.WorkspaceID, tunnelled bool) *Conn {
	return &Conn{ServerConn: conn, Server: server, Workspace: workspace, tunnelled: tunnelled, prepared: make(map[string]bool), lastUsed: time.Now()}
}

// ApplyValues sets the connection's session values to exactly those of a client.
// It waits for the replies, so that no statement runs after a value was refused.
func (c *Conn) ApplyValues(values *Values, deadline time.Time) error {
	if carrier, ok := c.ServerConn.(valuesCarrier); ok {
		carrier.CarryValues(values)
		return nil
	}
	if c.values.key == values.key {
		return nil
	}
	if c.values.hasNamesNotIn(values) {
		if err := replyError(c.Reset(deadline)); err != nil {
			return err
		}
		c.values, c.prepared = Values{}, make(map[string]bool)
	}
	for _, name := range slices.Sorted(maps.Keys(values.byName)) {
		value := values.byName[name]
		if current, ok := c.values.byName[name]; ok && current == value {
			continue
		}
		if err := replyError(c.Set(name, value, deadline)); err != nil {
			return err
		}
		c.values.Set(name, value)
	}
	return nil
}

// Run implements ServerConn. A statement that the connection has prepared is not
// prepared again. NOSTMT says that the statement did not run and that the database does
// not know the name: the reply is then that of an overloaded database, and the statement
// is prepared again when it is repeated.
func (c *Conn) Run(statement Statement, deadline time.Time, late func()) (state.Reply, error) {
	wanted := statement.Prepare
	if wanted == nil {
		return c.ServerConn.Run(statement, deadline, late)
	}
	var sent Prepare
	if statement.Prepare = nil; !c.prepared[wanted.Name] {
		sent = *wanted
		statement.Prepare = &sent
	}
	reply, err := c.ServerConn.Run(statement, deadline, late)
	switch {
	case err != nil:
	case reply.Code == state.CodeNoStatement:
		delete(c.prepared, wanted.Name)
		reply.Code, reply.Detail = state.CodeBusy, "the prepared statement is not known to the database"
	case sent.Accepted:
		c.prepared[wanted.Name] = true
	}
	return reply, err
}

// RefusedError is a database's error reply to a call.
type RefusedError struct {
	Code   state.ErrorCode
	Detail string
}

// Error returns the code and the database's text.
func (e *RefusedError) Error() string {
	return "refused by the database: " + e.Code.String() + " " + e.Detail
}

// RefusedByDatabase reports that the database itself refused the call, which
// shows that it is running.
func (e *RefusedError) RefusedByDatabase() bool { return true }

// UnattributedError is the error of a call whose reply can't be told from a repeat of an
// earlier one. Whether the statement ran is unknown.
type UnattributedError struct {
	Step string
	Peer string
}

// Error names the step and the peer.
func (e *UnattributedError) Error() string {
	return e.Step + " at " + e.Peer + ": the reply may be a repeat of an earlier one"
}

// RefusedByDatabase reports that the database replied, which shows that it is running.
func (e *UnattributedError) RefusedByDatabase() bool { return true }

// replied reports whether the database has sent a reply, whether that can be used or not.
func replied(err error) bool {
	var unattributed *UnattributedError
	return err == nil || errors.As(err, &unattributed)
}

// answered reports whether a call got a reply, even if that was a refusal. The
// connection may then be used again.
func answered(err error) bool {
	var refused *RefusedError
	return err == nil || errors.As(err, &refused)
}

func replyError(reply state.Reply, err error) error {
	if err != nil {
		return err
	}
	if reply.Code != state.CodeNone {
		return &RefusedError{Code: reply.Code, Detail: reply.Detail}
	}
	return nil
}
