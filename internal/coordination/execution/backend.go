package execution

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Message is one whole backend message. Raw begins with the type byte and the
// length; it is valid until the next Receive.
type Message struct {
	Type byte
	Raw  []byte
}

// Body returns the message without its type and length.
func (m Message) Body() []byte {
	return m.Raw[messageHeaderBytes:]
}

// messageHeaderBytes is the type byte and the four bytes of length.
const messageHeaderBytes = 5

// Backend is one open connection to a backend server. Only Cancel and Close may
// be called concurrently with other methods.
type Backend interface {
	// Write sends whole frontend messages.
	Write(ctx context.Context, messages []byte) error
	// Receive returns the next backend message.
	Receive(ctx context.Context) (Message, error)
	// Buffered reports whether a message can be received without waiting.
	Buffered() bool
	// PID returns the process id that the backend server gave the connection.
	PID() uint32
	// Cancel requests that the running statement be cancelled, and returns once
	// the backend server has received the request.
	Cancel(ctx context.Context) error
	Close()
}

// Dialer opens connections to backend servers.
type Dialer interface {
	Dial(ctx context.Context, database state.Database) (Backend, error)
}

// Slot is the right to run one statement on a backend server.
type Slot interface {
	// Release returns the slot. completed reports whether the statement ran to
	// its end, so that its duration is usable as a latency sample.
	Release(completed bool)
}

// Lease is the right to hold one connection of a backend server.
type Lease interface {
	// Release returns the right to the connection.
	Release()
}

// Gate allocates the connections and slots of one backend server. Errors are
// *state.Failure with OutcomeNotRun.
type Gate interface {
	AcquireConnection(ctx context.Context, plan state.PlanID, timeout time.Duration) (Lease, error)
	AcquireSlot(ctx context.Context, plan state.PlanID, inTransaction bool, timeout time.Duration) (Slot, error)
}

// Pacer limits how many connections to one backend server are opened at the
// same time, and delays attempts after failures. Errors that it raises itself
// are *state.Failure with OutcomeNotRun.
type Pacer interface {
	Open(ctx context.Context, open func(context.Context) error) error
}

// Replication reports the state of a group's replication to the owner.
type Replication interface {
	// Primary returns the group's primary and its term, or false while none
	// is known. The group may have a later primary that this instance has not
	// observed yet.
	Primary() (state.DatabaseID, state.Term, bool)
	// WaitAcknowledged returns nil once a majority holds the position.
	WaitAcknowledged(ctx context.Context, position state.Position) error
	// WaitForPosition returns nil once the database is known to hold minPosition.
	WaitForPosition(ctx context.Context, database state.DatabaseID, minPosition state.Position) error
	// ProvenAge returns a proven upper bound of the age of a database's data.
	ProvenAge(database state.DatabaseID) (time.Duration, bool)
	// Holders lists the databases that are known to hold the position.
	Holders(position state.Position) []state.DatabaseID
}
