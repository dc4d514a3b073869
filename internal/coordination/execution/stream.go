package execution

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Access says what a request needs of the backend server that runs it.
type Access uint8

const (
	// AccessWrite needs the primary, and waits until a majority holds what
	// was written before the answer goes out.
	AccessWrite Access = iota
	// AccessRead runs on any database that satisfies the floor or the age.
	AccessRead
)

// Setting is a session parameter that the caller changed with SET.
type Setting struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// OpenRequest asks the owner of a backend server for a stream on it.
type OpenRequest struct {
	Plan     state.PlanID     `msgpack:"plan"`
	Group    state.GroupID    `msgpack:"group"`
	Database state.DatabaseID `msgpack:"db"`
	Access   Access           `msgpack:"access"`
	// MinPosition is the position that the first unit must see, and MaxAge the age
	// of data that it accepts, as in Unit.
	MinPosition state.Position `msgpack:"floor"`
	MaxAge      time.Duration  `msgpack:"age"`
	// QueueTimeout bounds the wait for a connection and a slot. The owner
	// refuses at once when it expects to exceed it.
	QueueTimeout time.Duration `msgpack:"queue"`
	Settings     []Setting     `msgpack:"settings"`
}

// PreparedStatement is a named statement that a unit uses. Message is the
// encoded Parse message, under the name that the proxy gave it.
type PreparedStatement struct {
	Name    string `msgpack:"n"`
	Message []byte `msgpack:"m"`
}

// Unit is what a backend answers with exactly one ReadyForQuery: one Query
// message, or extended-protocol messages up to and including one Sync.
type Unit struct {
	Messages []byte `msgpack:"m"`
	// Prepare lists the statements that must exist on the connection.
	Prepare []PreparedStatement `msgpack:"p"`
	// Parses lists the names of statements that Messages itself parses.
	Parses []string `msgpack:"ps"`
	// Access is that of this unit; within a transaction it may differ from
	// the stream's.
	Access Access `msgpack:"a"`
	// MinPosition is the position that the unit must see. It says nothing within a
	// transaction, whose data is that of its first unit or later.
	MinPosition state.Position `msgpack:"f"`
	// MaxAge, when above zero, requires of a read that the data is proven at
	// most this old when the first message of the answer arrives. It goes
	// beside the floor, which then holds only the session's own writes.
	MaxAge time.Duration `msgpack:"ma"`
	// RequestID, when set, gives the unit at-most-once execution.
	RequestID string `msgpack:"r"`
	// Begins is set when a unit with a RequestID begins the transaction block in
	// which the id is to be recorded, and leaves it open.
	Begins bool `msgpack:"b"`
	// Extended is set when Messages are of the extended query protocol.
	Extended bool `msgpack:"x"`
	// ChangesSettings is set when the unit changes session parameters.
	ChangesSettings bool `msgpack:"cs"`
	// Pins is set when the unit leaves state on the connection that cannot be
	// replayed on another.
	Pins bool `msgpack:"pin"`
}

// Event is one step of the answer to a unit.
type Event struct {
	// Messages are backend messages to pass on to the caller.
	Messages []byte `msgpack:"m"`
	// Partial is set when Messages end in the middle of a message, whose rest
	// comes with the next event. If none comes, the caller's connection can't
	// go on.
	Partial bool `msgpack:"pt"`
	// Done is set on the unit's last event; its messages end with the
	// ReadyForQuery.
	Done bool `msgpack:"d"`
	// Errored is set with Done when the answer holds an error response.
	Errored bool `msgpack:"e"`
	// TxStatus is the transaction status of that ReadyForQuery: I, T or E.
	TxStatus byte `msgpack:"tx"`
	// Position is the log position of the group that the unit reached, set
	// with Done when it wrote; it has been acknowledged by a majority.
	Position state.Position `msgpack:"pos"`
	// Holders lists the databases that are known to hold Position.
	Holders []state.DatabaseID `msgpack:"h"`
	// Pinned is set with Done when the connection holds session state that
	// cannot be replayed, so that the stream must be kept.
	Pinned bool `msgpack:"pin"`
}

// Stream is a hold on one backend connection. Its methods are for one
// goroutine, but for Cancel and Close.
type Stream interface {
	// Send starts a unit. It may be called again once the unit before is Done.
	Send(ctx context.Context, unit Unit) error
	// Receive returns the next event of the unit. An error is a
	// *state.Failure, says what became of the unit, and ends the stream.
	Receive(ctx context.Context) (Event, error)
	// Cancel asks the backend server to cancel the unit that runs now. It
	// never touches another unit.
	Cancel(ctx context.Context) error
	// Close gives the connection back. A transaction still open is rolled
	// back by closing the connection.
	Close()
}

// Executor opens streams on backend servers.
type Executor interface {
	// Open returns a stream once a connection is held. An error is a
	// *state.Failure with OutcomeNotRun.
	Open(ctx context.Context, request OpenRequest) (Stream, error)
}
