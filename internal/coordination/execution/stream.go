package execution

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Access states which backend servers may run a request.
type Access uint8

const (
	// AccessWrite requires the primary. The reply is withheld until a majority
	// holds what was written.
	AccessWrite Access = iota
	// AccessRead runs on any database that satisfies the minimum position and
	// the maximum age.
	AccessRead
)

// Setting is a session parameter that the caller changed with SET.
type Setting struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// SurvivesResetAll reports whether RESET ALL leaves the parameter unchanged.
func (s Setting) SurvivesResetAll() bool {
	return s.Name == "role" || s.Name == "session_authorization"
}

// OpenRequest requests a stream from the owner of a backend server.
type OpenRequest struct {
	Plan     state.PlanID     `msgpack:"plan"`
	Group    state.GroupID    `msgpack:"group"`
	Database state.DatabaseID `msgpack:"db"`
	Access   Access           `msgpack:"access"`
	// MinPosition is the position that the first unit must see, and MaxAge the
	// age of data that it accepts, as in Unit.
	MinPosition state.Position `msgpack:"floor"`
	MaxAge      time.Duration  `msgpack:"age"`
	// QueueTimeout bounds the wait for a connection and a slot. The owner
	// refuses at once when it expects to exceed it.
	QueueTimeout time.Duration `msgpack:"queue"`
	Settings     []Setting     `msgpack:"settings"`
}

// PreparedStatement is a named statement that a unit uses. Message is the
// encoded Parse message, with the name that the proxy assigned.
type PreparedStatement struct {
	Name    string `msgpack:"n"`
	Message []byte `msgpack:"m"`
}

// Unit is a sequence of messages to which a backend replies with exactly one
// ReadyForQuery: one Query message, or extended-protocol messages up to and
// including one Sync.
type Unit struct {
	Messages []byte `msgpack:"m"`
	// Prepare lists the statements that must exist on the connection.
	Prepare []PreparedStatement `msgpack:"p"`
	// Parses lists the names of the statements that Messages prepares.
	Parses []string `msgpack:"ps"`
	// Access is the access of this unit; within a transaction it may differ
	// from the stream's.
	Access Access `msgpack:"a"`
	// MinPosition is the position that the unit must see. It is ignored within
	// a transaction, which sees the data of its first unit or later.
	MinPosition state.Position `msgpack:"f"`
	// MaxAge, when above zero, requires of a read that the data is proven at
	// most this old when the first message of the reply arrives. It applies
	// together with MinPosition, which then covers only the session's own
	// writes.
	MaxAge time.Duration `msgpack:"ma"`
	// RequestID, when set, ensures that the unit runs at most once.
	RequestID string `msgpack:"r"`
	// BeginsTransaction is set when a unit with a RequestID itself begins a
	// transaction block and leaves it open. The id is recorded in that block.
	BeginsTransaction bool `msgpack:"b"`
	// Extended is set when Messages are of the extended query protocol.
	Extended bool `msgpack:"x"`
	// ChangesSettings is set when the unit changes session parameters.
	ChangesSettings bool `msgpack:"cs"`
	// Pins is set when the unit leaves state on the connection that cannot be
	// replayed on another.
	Pins bool `msgpack:"pin"`
}

// Event is one part of the reply to a unit.
type Event struct {
	// Messages are backend messages to forward to the caller.
	Messages []byte `msgpack:"m"`
	// Partial is set when Messages may end in the middle of a message, whose
	// rest comes with the next event. Without a next event, the caller's
	// connection cannot be used further.
	Partial bool `msgpack:"pt"`
	// Done is set on the unit's last event; its messages end with the
	// ReadyForQuery.
	Done bool `msgpack:"d"`
	// Errored is set with Done when the reply holds an error response.
	Errored bool `msgpack:"e"`
	// TxStatus is the transaction status of that ReadyForQuery: I, T or E.
	TxStatus byte `msgpack:"tx"`
	// Position is the log position of the group after the unit's write, set
	// with Done when the unit wrote. A majority has acknowledged it.
	Position state.Position `msgpack:"pos"`
	// Holders lists the databases that are known to hold Position.
	Holders []state.DatabaseID `msgpack:"h"`
	// Pinned is set with Done when the connection holds session state that
	// cannot be replayed on another, so that the caller must keep the stream.
	Pinned bool `msgpack:"pin"`
}

// Stream runs units on one backend connection that it holds exclusively. Only
// Cancel and Close may be called concurrently with other methods.
type Stream interface {
	// Send starts a unit. It may be called again once the previous unit is Done.
	Send(ctx context.Context, unit Unit) error
	// Receive returns the next event of the unit. An error is a *state.Failure
	// with the outcome of the unit, and ends the stream.
	Receive(ctx context.Context) (Event, error)
	// Cancel requests that the backend server cancel the running unit. It never
	// affects another unit.
	Cancel(ctx context.Context) error
	// Close releases the connection. A transaction that is still open is rolled
	// back by closing the connection.
	Close()
}

// Executor opens streams on backend servers.
type Executor interface {
	// Open returns a stream once a connection is held. An error is a
	// *state.Failure with OutcomeNotRun.
	Open(ctx context.Context, request OpenRequest) (Stream, error)
}
