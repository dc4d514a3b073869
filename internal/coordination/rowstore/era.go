package rowstore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// The platform may restore the store from a copy that is some seconds old. A new
// era begins then: what was committed since the copy is gone, and the versions
// after it are assigned again. A version therefore means nothing outside its era.

// Errors of calls around the beginning of an era.
var (
	// ErrEraChanged means that the store was restored since the versions of a
	// transaction's conditions were read. If the transaction was sent, it may have
	// been committed, because its conditions may hold for other rows.
	ErrEraChanged = errors.New("the store was restored from a copy meanwhile")
	// errEarlierEra is the error of a response from before the newest era.
	errEarlierEra = errors.New("response of the store from before its restoration")
)

// EraStore is a Store that tracks the era of the store's responses. It passes on
// no response of an earlier era than the newest one, and no result of a transaction
// whose conditions belong to another era than its response.
//
// Locks: EraStore.mu is held while the listeners run, so that no response of an era
// is passed on before all listeners know of it. Listeners make no calls to the store.
type EraStore struct {
	inner Store
	log   zerolog.Logger

	mu        sync.Mutex
	era       uint64
	listeners []func(era uint64)
}

// NewEraStore returns an EraStore over a store that reports the era of each
// response, or 0 if it is not known.
func NewEraStore(inner Store, log zerolog.Logger) *EraStore {
	return &EraStore{inner: inner, log: log}
}

// OnNewEra registers a listener for the beginning of eras. The first era seen counts
// as one. It must be called before the first call to the store.
func (s *EraStore) OnNewEra(listener func(era uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, listener)
}

// Era returns the newest era seen, 0 if the store has not reported one.
func (s *EraStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// admit returns the era of a response that may be passed on. A response without an
// era belongs to the newest one seen.
func (s *EraStore) admit(era uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case era == 0 || era == s.era:
		return s.era, nil
	case era < s.era:
		s.log.Warn().Uint64("era", era).Uint64("newest_era", s.era).Msg("response of the store from an earlier era ignored")
		return 0, eris.Wrapf(errEarlierEra, "era %d after %d", era, s.era)
	}
	s.log.Info().Uint64("era", era).Uint64("previous_era", s.era).Msg("the store reports a new era")
	s.era = era
	for _, listener := range s.listeners {
		listener(era)
	}
	return era, nil
}

// admitSnapshot returns the result of a read that may be passed on. An error response
// states the era, too.
func (s *EraStore) admitSnapshot(snapshot Snapshot, err error) (Snapshot, error) {
	era, admitErr := s.admit(snapshot.Era)
	switch {
	case err != nil:
		return Snapshot{}, err
	case admitErr != nil:
		return Snapshot{}, admitErr
	}
	snapshot.Era = era
	return snapshot, nil
}

// List implements Store.
func (s *EraStore) List(ctx context.Context, table string) (Snapshot, error) {
	return s.admitSnapshot(s.inner.List(ctx, table))
}

// Watch implements Store.
func (s *EraStore) Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Snapshot, error) {
	return s.admitSnapshot(s.inner.Watch(ctx, table, after, wait))
}

// Transact implements Store. A transaction whose conditions belong to an earlier era
// is not sent.
func (s *EraStore) Transact(ctx context.Context, transaction Transaction) (Commit, error) {
	if era := s.Era(); transaction.Era != era {
		return Commit{}, eris.Wrapf(ErrEraChanged, "conditions of era %d, the store is in era %d", transaction.Era, era)
	}
	commit, err := s.inner.Transact(ctx, transaction)
	era, admitErr := s.admit(eraOf(commit, err))
	switch {
	case admitErr != nil:
		return Commit{}, admitErr
	case era != transaction.Era:
		return Commit{}, eris.Wrapf(ErrEraChanged, "conditions of era %d, response of era %d", transaction.Era, era)
	}
	commit.Era = era
	return commit, err
}

// eraOf returns the era of a transaction's response, 0 if there is none.
func eraOf(commit Commit, err error) uint64 {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict.Era
	}
	return commit.Era
}
