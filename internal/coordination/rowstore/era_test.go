package rowstore

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// scriptedStore responds in the era that the test sets.
type scriptedStore struct {
	era  uint64
	sent int
	err  error
}

func (s *scriptedStore) List(context.Context, string) (Snapshot, error) {
	return Snapshot{Era: s.era, Version: 5}, s.err
}

func (s *scriptedStore) Watch(context.Context, string, uint64, time.Duration) (Snapshot, error) {
	return Snapshot{Era: s.era, Version: 5}, s.err
}

func (s *scriptedStore) Transact(context.Context, Transaction) (Commit, error) {
	s.sent++
	return Commit{Era: s.era, Version: 6}, s.err
}

func newScripted(era uint64) (*scriptedStore, *EraStore, *[]uint64) {
	inner := &scriptedStore{era: era}
	store := NewEraStore(inner, zerolog.Nop())
	seen := new([]uint64)
	store.OnNewEra(func(era uint64) { *seen = append(*seen, era) })
	return inner, store, seen
}

// The conditions of a transaction may hold by chance after a restoration, because
// versions are assigned again.
func TestCommitOfALaterEraProvesNothing(t *testing.T) {
	inner, store, seen := newScripted(1)
	_, err := store.List(t.Context(), "t")
	require.NoError(t, err)
	inner.era = 2
	_, err = store.Transact(t.Context(), Transaction{Era: 1, Conditions: []Condition{{Version: 5}}})
	require.ErrorIs(t, err, ErrEraChanged)
	require.Equal(t, []uint64{1, 2}, *seen)
	_, err = store.Transact(t.Context(), Transaction{Era: 1})
	require.ErrorIs(t, err, ErrEraChanged)
	require.Equal(t, 1, inner.sent, "a transaction of an earlier era is not sent")
	commit, err := store.Transact(t.Context(), Transaction{Era: 2})
	require.NoError(t, err)
	require.Equal(t, uint64(2), commit.Era)
}

// A response from before the restoration arrives late.
func TestResponseOfAnEarlierEraIsNoResponse(t *testing.T) {
	inner, store, seen := newScripted(2)
	_, err := store.Watch(t.Context(), "t", 1, 0)
	require.NoError(t, err)
	inner.era = 1
	_, err = store.List(t.Context(), "t")
	require.ErrorIs(t, err, errEarlierEra)
	require.Equal(t, uint64(2), store.Era())
	require.Equal(t, []uint64{2}, *seen)
}

// A response without an era belongs to the newest one; an error response announces an
// era, too.
func TestErasOfResponsesWithoutRowsOrHeader(t *testing.T) {
	inner, store, seen := newScripted(3)
	inner.err = ErrHistoryLost
	_, err := store.Watch(t.Context(), "t", 9, 0)
	require.ErrorIs(t, err, ErrHistoryLost)
	require.Equal(t, []uint64{3}, *seen)
	inner.era, inner.err = 0, nil
	snapshot, err := store.List(t.Context(), "t")
	require.NoError(t, err)
	require.Equal(t, uint64(3), snapshot.Era)
}
