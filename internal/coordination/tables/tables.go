// Package tables defines the interface of the platform's transactional table
// service as the coordination layer uses it: versioned records, conditional
// transactions, and the assumptions that the rest of the product relies on.
//
// Transactions are linearizable. Get and Scan may read from an older snapshot.
// A version is never used twice, even when an operator of the platform restores
// older data: a restored record gets a new version.
package tables

import (
	"context"
	"math"
)

// VersionAbsent is the version of a record that does not exist.
const VersionAbsent uint64 = 0

// versionNever is a version that no record has.
const versionNever uint64 = math.MaxUint64

// Record is one versioned value. Version is VersionAbsent if the key has no
// value.
type Record struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"version"`
}

// Exists reports whether the key has a value.
func (r Record) Exists() bool {
	return r.Version != VersionAbsent
}

// Condition holds if the key's version equals Version. VersionAbsent requires
// that the key does not exist.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a key, or deletes it.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all its writes if all its conditions hold, else none.
// ID is an idempotency key: for a repeated ID, the service returns the result of
// the first execution.
type Transaction struct {
	ID         string      `json:"id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Result is the outcome of a transaction.
type Result struct {
	Committed bool `json:"committed"`
	// Records holds the written records without their values if the
	// transaction committed, else the current records of all conditions, in
	// the order of the transaction.
	Records []Record `json:"records"`
}

// Reader reads records. An error is a *state.Failure.
type Reader interface {
	// Get returns one record for each key, in the order of keys. The records
	// may be older than the latest committed ones.
	Get(ctx context.Context, keys ...string) ([]Record, error)
}

// Scanner lists records. An error is a *state.Failure.
type Scanner interface {
	// Scan returns the records whose key starts with prefix, sorted by key.
	// They may be older than the latest committed ones.
	Scan(ctx context.Context, prefix string) ([]Record, error)
}

// Transactor executes transactions. An error is a *state.Failure; with
// OutcomeUnknown the transaction may have committed.
type Transactor interface {
	Transact(ctx context.Context, transaction Transaction) (Result, error)
}

// ReadLatest reads the latest committed records of keys, in the order of keys.
// It costs one transaction, with conditions that no record meets, which returns
// the current records and writes nothing. The id must be new for each call.
func ReadLatest(ctx context.Context, service Transactor, id string, keys ...string) ([]Record, error) {
	conditions := make([]Condition, len(keys))
	for i, key := range keys {
		conditions[i] = Condition{Key: key, Version: versionNever}
	}
	result, err := service.Transact(ctx, Transaction{ID: id, Conditions: conditions})
	if err != nil {
		return nil, err
	}
	return result.Records, nil
}
