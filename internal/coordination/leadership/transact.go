package leadership

import (
	"bytes"
	"context"
	"errors"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
)

// commitOnce commits a transaction of a change, at most once. While no response
// comes, it sends the transaction again: the conditions let only one of the
// attempts commit. If the first row then already has the value to be written, an
// earlier attempt has committed. The value must be unique to the caller, and the
// conditions must include one on the first row.
func (m *Manager) commitOnce(ctx context.Context, transaction rowstore.Transaction) (rowstore.Commit, error) {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	final := func(err error, sent int) bool {
		if err == nil || errors.Is(err, rowstore.ErrConflict) || errors.Is(err, rowstore.ErrEraChanged) || errors.Is(err, rowstore.ErrRefused) && sent == 1 {
			return true
		}
		m.Log.Info().Err(err).Str("table", transaction.Puts[0].Table).Msg("no response to a write of a change, sending it again")
		return false
	}
	last, sent := repeatCall(ctx, heartbeatTimeout, func(ctx context.Context) (rowstore.Commit, error) {
		return m.Store.Transact(ctx, transaction)
	}, final)
	var conflict *rowstore.ConflictError
	if errors.As(last.err, &conflict) && sent > 1 {
		return m.earlierCommit(transaction, conflict)
	}
	return last.value, last.err
}

// earlierCommit returns the commit of an attempt whose response was lost, or the
// conflict if another instance wrote the row. The time of the commit is an upper
// bound.
func (m *Manager) earlierCommit(transaction rowstore.Transaction, conflict *rowstore.ConflictError) (rowstore.Commit, error) {
	written := transaction.Puts[0]
	for _, row := range conflict.Rows {
		if row.Table == written.Table && row.Key == written.Key && bytes.Equal(row.Value, written.Value) {
			m.mu.Lock()
			defer m.mu.Unlock()
			latest, _ := m.lease.clock.upperBound(m.Clock.Now())
			return rowstore.Commit{Version: row.Version, Now: latest, Era: transaction.Era}, nil
		}
	}
	return rowstore.Commit{}, conflict
}
