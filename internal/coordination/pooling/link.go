package pooling

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Conn is one connection to a database. Its calls block until the answer or
// the deadline; an error leaves the connection unusable.
type Conn interface {
	// Run sends a client's statement. Late is called once if the answer takes
	// longer than usual; it may be nil.
	Run(statement Statement, deadline time.Time, late func()) (state.Reply, error)
	// Prepare is sent with the next call, whose error it may become.
	Prepare(name, shape string, writes bool)
	Set(name, value string, deadline time.Time) (state.Reply, error)
	Reset(deadline time.Time) (state.Reply, error)
	Rollback(deadline time.Time) (state.Reply, error)
	Status(deadline time.Time) (state.ServerStatus, error)
	StepDown(term state.Term, deadline time.Time) (state.ServerStatus, error)
	// Alive reports whether the other side has not closed the connection, as
	// far as is known here.
	Alive() bool
	Close()
}

// Statement is what is sent to a database for a client's statement.
type Statement struct {
	ID   string
	Text string
	// After is the position that the database's log must cover; zero for none.
	After state.Position
}

// Dialer opens connections.
type Dialer interface {
	Dial(ctx context.Context, server state.Server) (Conn, error)
	// Detour opens one through another instance. The error is
	// state.ErrNoTunnel where none is known that reaches the database.
	Detour(ctx context.Context, server state.Server) (Conn, error)
}

// Values are the session values of a client or of a connection.
type Values struct {
	byName map[string]string
	key    string
}

// Key identifies the values.
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
		key.WriteString(name)
		key.WriteByte(0)
		key.WriteString(v.byName[name])
		key.WriteByte(0)
	}
	v.key = key.String()
}

// exceeds reports whether v holds a name that other lacks.
func (v *Values) exceeds(other *Values) bool {
	for name := range v.byName {
		if _, ok := other.byName[name]; !ok {
			return true
		}
	}
	return false
}

// Link is a pooled connection with what is known of its session.
type Link struct {
	Conn
	Server   state.Server
	values   Values
	prepared map[string]bool
	lastUsed time.Time
	acquired time.Time
	// starting is set from the hand-over to the first statement. The pool's
	// lock guards it.
	starting bool
	// detoured connections lead through another instance, so they tell nothing
	// of the way from here.
	detoured bool
}

func newLink(conn Conn, server state.Server, detoured bool) *Link {
	return &Link{Conn: conn, Server: server, detoured: detoured, prepared: make(map[string]bool), lastUsed: time.Now()}
}

// Adopt gives the connection exactly the session values of a client. The
// answers are awaited, so that no statement runs where one was refused.
func (l *Link) Adopt(values *Values, deadline time.Time) error {
	if l.values.key == values.key {
		return nil
	}
	if l.values.exceeds(values) {
		if err := replyError(l.Reset(deadline)); err != nil {
			return err
		}
		l.values, l.prepared = Values{}, make(map[string]bool)
	}
	for _, name := range slices.Sorted(maps.Keys(values.byName)) {
		value := values.byName[name]
		if current, ok := l.values.byName[name]; ok && current == value {
			continue
		}
		if err := replyError(l.Set(name, value, deadline)); err != nil {
			return err
		}
		l.values.Set(name, value)
	}
	return nil
}

// Ensure prepares a statement on the connection, together with the next call.
func (l *Link) Ensure(name, shape string, writes bool) {
	if l.prepared[name] {
		return
	}
	l.Prepare(name, shape, writes)
	l.prepared[name] = true
}

// RefusedError is a database's refusal of the proxy's own statement.
type RefusedError struct {
	Code   state.ErrorCode
	Detail string
}

// Error gives the code and the database's text.
func (e *RefusedError) Error() string {
	return "refused by the database: " + e.Code.String() + " " + e.Detail
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
