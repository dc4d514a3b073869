package replication

import (
	"context"
	"errors"
	"syscall"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Control carries the few requests that coordination makes of one database.
// Every request of a term lower than the database's is refused with an error.
// Calls are safe for concurrent use and return soon after ctx ends. An error
// means that the request may still take effect later.
type Control interface {
	// Status asks on a connection that is kept between calls. After an error
	// or a cancelled ctx, the kept connection is closed and the next call
	// opens another.
	Status(ctx context.Context) (state.DatabaseStatus, error)
	// Probe asks on a connection opened for this call.
	Probe(ctx context.Context) (state.DatabaseStatus, error)
	// Fence makes the database accept term for promoter and stop taking
	// writes and replication. It is accepted where term is above the
	// database's, or equal with the same promoter.
	Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error)
	// Promote makes a database that was fenced in term by promoter the
	// primary of term. It is idempotent.
	Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error)
	// Follow makes the database a replica of primary in term, which is at
	// least the database's. Entries that the primary's log lacks are dropped
	// before new ones arrive. It is idempotent.
	Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error)
}

// Sentinel errors, found by errors.Is in the failures that the Watcher returns.
var (
	// ErrRefused is wrapped by a Control whose connection was refused by the
	// database's host: the host runs and the database does not.
	ErrRefused = errors.New("connection refused")
	// ErrSuperseded says that too many databases have left the position's
	// term for a majority of that term to confirm it to this Watcher.
	ErrSuperseded = errors.New("term superseded")
	// ErrBehind says that the database did not prove the floor in time.
	ErrBehind = errors.New("database behind")
	// ErrStopped says that the Watcher's Run has returned.
	ErrStopped = errors.New("watcher stopped")
	// ErrUnknownDatabase says that the database is not of the group.
	ErrUnknownDatabase = errors.New("unknown database")

	errOtherDatabase = errors.New("answered by another database")
	errTermWentDown  = errors.New("term went down")
)

// IsRefused reports whether err says that the host refused the connection.
func IsRefused(err error) bool {
	return errors.Is(err, ErrRefused) || errors.Is(err, syscall.ECONNREFUSED)
}
