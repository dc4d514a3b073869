// Package rowstore describes the store of versioned rows that instances share,
// as the coordination layer uses it. Answers are linearizable. A call without
// an answer may have taken effect, or may take effect later if its conditions
// still hold.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of the store that callers tell apart.
var (
	// ErrConflict is the error of a transaction of which a condition failed.
	ErrConflict = errors.New("a row has changed")
	// ErrHistoryLost is the error of a watch whose history is gone: the table
	// must be listed again.
	ErrHistoryLost = errors.New("the store no longer holds the history asked for")
	// ErrRefused is the error of a call that the store refused without effect.
	ErrRefused = errors.New("the store refused the call")
)

// Row is one versioned value. Version is that of the transaction that wrote
// it; Removed marks a row that a watch reports as deleted.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Snapshot is an answer about rows. Version is the store's newest at that
// moment and Now the store's steady clock.
type Snapshot struct {
	Rows    []Row
	Version uint64
	Now     time.Duration
}

// Conflict is the error of a transaction of which a condition failed, with the
// rows of its conditions as they are. It is an ErrConflict.
type Conflict struct {
	Step string
	Rows []Row
}

// Error gives the step and the present versions.
func (e *Conflict) Error() string {
	versions := make([]string, len(e.Rows))
	for i, row := range e.Rows {
		versions[i] = fmt.Sprintf("%s/%s is at %d", row.Table, row.Key, row.Version)
	}
	return fmt.Sprintf("%s: %s: %s", e.Step, ErrConflict, strings.Join(versions, ", "))
}

// Unwrap makes it an ErrConflict.
func (e *Conflict) Unwrap() error { return ErrConflict }

// Holds reports whether a condition of the transaction held.
func (e *Conflict) Holds(condition Condition) bool {
	for _, row := range e.Rows {
		if row.Table == condition.Table && row.Key == condition.Key {
			return row.Version == condition.Version
		}
	}
	return condition.Version == 0
}

// Condition holds when the row has the version; version 0 asks that the row
// must not exist.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Transaction applies all its writes if all conditions hold, else none.
type Transaction struct {
	Conditions []Condition
	Puts       []Row
	Deletes    []Row
}

// Commit is the result of a transaction.
type Commit struct {
	Version uint64
	Now     time.Duration
}

// Store is the store as its users see it.
type Store interface {
	List(ctx context.Context, table string) (Snapshot, error)
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
	Transact(ctx context.Context, transaction Transaction) (Commit, error)
}

// ResultOf names the result of a call for logs and metrics.
func ResultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrHistoryLost):
		return "history_lost"
	case errors.Is(err, ErrRefused):
		return "refused"
	default:
		return "failed"
	}
}
