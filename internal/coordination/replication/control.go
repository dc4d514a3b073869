package replication

import (
	"context"
	"errors"
	"syscall"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Control sends the requests of the coordination layer to one database. The
// database rejects a request with a lower term than its own. Calls are safe for
// concurrent use and return soon after ctx ends. After an error, the request may
// still take effect later.
type Control interface {
	// Status requests the status on a connection that is kept open between
	// calls. After an error or a cancelled ctx, that connection is closed and
	// the next call opens another.
	Status(ctx context.Context) (state.DatabaseStatus, error)
	// Probe requests the status on a connection opened for this call.
	Probe(ctx context.Context) (state.DatabaseStatus, error)
	// Fence makes the database accept term for promoter and stop accepting
	// writes and replication. The database accepts it if term is above its
	// own, or equal and from the same promoter.
	Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error)
	// Promote makes a database that was fenced in term by promoter the
	// primary of term. It is idempotent.
	Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error)
	// Follow makes the database a replica of primary in term, which must not
	// be lower than the database's. The database drops entries that the
	// primary's log lacks before it receives new ones. It is idempotent.
	Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error)
}

// Sentinel errors of this package, to be tested with errors.Is.
var (
	// ErrRefused is wrapped by a Control whose connection was refused by the
	// database's host: the host runs and the database does not.
	ErrRefused = errors.New("connection refused")
	// ErrSuperseded says that so many databases have moved to later terms
	// that no majority can confirm the position in its own term any more.
	ErrSuperseded = errors.New("term superseded")
	// ErrBehind says that the database did not prove in time that it holds
	// the required position.
	ErrBehind = errors.New("database behind")
	// ErrStopped says that the Watcher's Run has returned.
	ErrStopped = errors.New("watcher stopped")
	// ErrUnknownDatabase says that the database does not belong to the group.
	ErrUnknownDatabase = errors.New("unknown database")

	errWrongDatabase = errors.New("answered by another database")
	errTermDecreased = errors.New("term went down")
)

// IsRefused reports whether err means that the host refused the connection.
func IsRefused(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, syscall.ECONNREFUSED)
}
