// Package rowstore defines the coordination layer's interface to the store of
// versioned rows that instances share, and a Follower of its tables. Responses
// are linearizable. A call without a response may have taken effect, or may
// take effect later if its conditions still hold.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// Errors of the store that callers distinguish.
var (
	// ErrConflict means that a condition of a transaction failed.
	ErrConflict = errors.New("a row has changed")
	// ErrHistoryLost means that the store no longer holds the changes after a
	// watch's version: the table must be listed again.
	ErrHistoryLost = errors.New("the store no longer holds the requested history")
	// ErrRefused means that the store refused a call, which has no effect.
	ErrRefused = errors.New("the store refused the call")
)

// Row is one versioned value. Version is that of the transaction that wrote it.
// Removed marks a row that a watch reports as deleted.
type Row struct {
	Table   string
	Key     string
	Value   []byte
	Version uint64
	Removed bool
}

// Snapshot is the store's response to List or Watch. Version is the store's
// newest version and Now the reading of the store's steady clock at that time.
type Snapshot struct {
	Rows    []Row
	Version uint64
	Now     time.Duration
	// Latest is a reading by which all rows had been written, if that is later than Now:
	// a list that was read in pages also holds rows newer than Version.
	Latest time.Duration
	// Era is the era of the response; 0 if the store has not reported one.
	Era uint64
}

// ConflictError is the error of a transaction with a failed condition. Rows are the
// current rows of its conditions. It wraps ErrConflict.
type ConflictError struct {
	Step string
	Rows []Row
	// Era is the era of the response.
	Era uint64
}

// Error returns the step and the present versions of the rows.
func (e *ConflictError) Error() string {
	versions := make([]string, len(e.Rows))
	for i, row := range e.Rows {
		versions[i] = fmt.Sprintf("%s/%s is at %d", row.Table, row.Key, row.Version)
	}
	return fmt.Sprintf("%s: %s: %s", e.Step, ErrConflict, strings.Join(versions, ", "))
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Holds reports whether a condition of the transaction held.
func (e *ConflictError) Holds(condition Condition) bool {
	row, _ := e.Row(condition)
	return row.Version == condition.Version
}

// Row returns the present row of a condition; its version is 0 if it does not exist.
func (e *ConflictError) Row(condition Condition) (row Row, found bool) {
	for _, row := range e.Rows {
		if row.Table == condition.Table && row.Key == condition.Key {
			return row, true
		}
	}
	return Row{}, false
}

// Condition holds if the row has the given version. Version 0 means that the
// row must not exist.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Transaction applies all its writes if all conditions hold, otherwise none.
type Transaction struct {
	// Era is the era in which the versions of the conditions were read.
	Era        uint64
	Conditions []Condition
	Puts       []Row
	Deletes    []Row
}

// Commit is the result of a successful transaction.
type Commit struct {
	Version uint64
	Now     time.Duration
	// Era is the era of the response.
	Era uint64
}

// Store is a client of the store. A snapshot that is returned with an error holds only
// the era of the store's response, if there was one. List returns all rows of a table. Watch
// returns the rows that changed after a version; without changes the store
// delays its response by up to wait.
type Store interface {
	List(ctx context.Context, table string) (Snapshot, error)
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error)
	Transact(ctx context.Context, transaction Transaction) (Commit, error)
}

// ResultOf returns the name of a call's result for logs and metrics.
func ResultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrHistoryLost):
		return "history_lost"
	case errors.Is(err, ErrEraChanged):
		return "era_changed"
	case errors.Is(err, ErrRefused):
		return "refused"
	default:
		return "failed"
	}
}
