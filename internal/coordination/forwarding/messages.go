package forwarding

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Prepared is a prepared statement that a call executes.
type Prepared struct {
	Name   string
	Shape  string
	Writes bool
}

// Operation is what a call asks for.
type Operation uint8

const (
	// OperationRun runs a statement.
	OperationRun Operation = iota
	// OperationRollback rolls back the stream's transaction.
	OperationRollback
)

// Call is a request to a holder. The first call of a stream names the database;
// the later ones of a transaction run on the same connection.
type Call struct {
	Operation Operation
	Group     state.GroupID
	Database  state.DatabaseID
	// Born identifies the run of the database.
	Born      int64
	Workspace state.WorkspaceID
	Priority  int
	// Primary is set if the statement needs the group's primary.
	Primary bool
	Values  map[string]string
	// Prepared is the statement to prepare unless the connection has it.
	Prepared *Prepared
	ID, Text string
	// After is the position that the database's log must cover.
	After state.Position
	// Wait is how long the call may wait for a connection, Left how long the
	// sender waits for the answer.
	Wait, Left time.Duration
}

// Refusal says why a statement was not sent to the database.
type Refusal uint8

// The refusals. RefusedLost is none: the statement may have run.
const (
	NotRefused Refusal = iota
	// RefusedLost means that the database did not answer.
	RefusedLost
	// RefusedNoConnection means that no connection was free in time.
	RefusedNoConnection
	// RefusedNotHolder means that the instance holds no connections to the
	// database.
	RefusedNotHolder
	// RefusedUnknown means that the database is not registered with the holder, or
	// has been leaving for too long.
	RefusedUnknown
	// RefusedStopping means that the holder is stopping.
	RefusedStopping
	// RefusedConnect means that the holder can't connect to the database.
	RefusedConnect
	// RefusedPrimary means that the holder may not use the primary now.
	RefusedPrimary
)

// String returns the refusal's name for logs and metrics.
func (r Refusal) String() string {
	names := [...]string{"none", "lost", "no_connection", "not_holder", "unknown_database", "stopping", "connect_failed", "no_primary"}
	if int(r) >= len(names) {
		return "unknown_refusal"
	}
	return names[r]
}

// Answer is the response to a call: the database's reply, unchanged, or a
// refusal.
type Answer struct {
	Refusal Refusal
	Detail  string
	// RetryAfter is when a connection may be free, for RefusedNoConnection.
	RetryAfter time.Duration
	Reply      state.Reply
}

// Stream carries the calls of one request or transaction to one holder.
type Stream interface {
	// Call sends a call and waits for the answer until deadline. The error is
	// ErrNotWritten if nothing of the call was written, ErrLinkLost if the link
	// ended before the answer.
	Call(call Call, deadline time.Time) (Answer, error)
	// Close ends the stream. The holder rolls back what is open and drops the
	// answer of a call that runs. It may be called from any goroutine.
	Close()
}

// Links opens streams to other instances.
type Links interface {
	Open(ctx context.Context, address string) (Stream, error)
}

// ErrNotWritten is the error of a call of which nothing was sent.
var ErrNotWritten = errors.New("link lost before the call was sent")

// ErrLinkLost is the error of a call that may have reached the holder.
var ErrLinkLost = errors.New("link lost before the answer")

// errClosed is the error of a call on a connection that was closed.
var errClosed = errors.New("the forwarded connection was closed")

// Pinned reports whether the transaction goes on after the answer, on the same
// connection.
func (a Answer) Pinned() bool {
	return a.Refusal == NotRefused && a.Reply.Transaction != state.TransactionNone
}
