package leadership

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// handClock is set by the test.
type handClock struct{ now state.Instant }

func (c *handClock) Now() state.Instant { return c.now }

// versions is a store of which a test sets the versions of rows.
type versions struct {
	rowstore.Store
	clock   *handClock
	version uint64
	rows    map[string]uint64
	// unlisted makes lists fail.
	unlisted bool
}

func (v *versions) Transact(_ context.Context, transaction rowstore.Transaction) (rowstore.Commit, error) {
	conflict := &rowstore.Conflict{Step: "transact"}
	held := true
	for _, condition := range transaction.Conditions {
		conflict.Rows = append(conflict.Rows, rowstore.Row{Table: condition.Table, Key: condition.Key, Version: v.rows[condition.Key]})
		held = held && v.rows[condition.Key] == condition.Version
	}
	if !held {
		return rowstore.Commit{}, conflict
	}
	v.version++
	return rowstore.Commit{Version: v.version, Now: time.Duration(v.clock.now)}, nil
}

func (v *versions) List(context.Context, string) (rowstore.Snapshot, error) {
	if v.unlisted {
		return rowstore.Snapshot{}, rowstore.ErrRefused
	}
	value, err := encode(Record{Epoch: 1, Changing: true, Primary: "d1"})
	return rowstore.Snapshot{
		Rows:    []rowstore.Row{{Table: TablePrimaries, Key: "g", Value: value, Version: v.rows[rowPrimaries]}},
		Version: v.version, Now: time.Duration(v.clock.now),
	}, err
}

type noServers struct{ Directory }

func (noServers) Servers(state.GroupID) []directory.Entry { return nil }

func renewing(clock *handClock, store *versions) (manager *Manager, outdated *int) {
	outdated = new(int)
	manager = New(Config{
		Self: "a", Options: DefaultOptions(), Store: store, Link: rowstore.NewAvailability(), Directory: noServers{},
		Followed: func() []rowstore.Condition { return []rowstore.Condition{{Table: "op", Key: "config", Version: 5}} },
		Outdated: func() { *outdated++ }, Clock: clock, Log: zerolog.Nop(),
	})
	manager.lease.length, manager.lease.longest = manager.Options.Lease, manager.Options.LongestLease
	return manager, outdated
}

// Pattern: the store's answer that told of a change is lost, while renewals
// are answered. A renewal must not count before the change has been seen.
func TestRenewalIsRefusedWhileAChangeIsUnseen(t *testing.T) {
	clock := &handClock{now: state.Instant(time.Minute)}
	store := &versions{clock: clock, version: 10, rows: map[string]uint64{"config": 5}}
	m, _ := renewing(clock, store)
	require.True(t, m.beat(t.Context()))
	require.True(t, m.lease.valid(clock.now))

	store.rows[rowPrimaries], store.unlisted = 12, true
	clock.now = clock.now.Add(5 * time.Second)
	require.False(t, m.beat(t.Context()))
	require.False(t, m.lease.valid(clock.now))

	store.unlisted = false
	require.True(t, m.beat(t.Context()))
	require.True(t, m.lease.valid(clock.now))
	require.True(t, m.group("g").record.Changing, "the change was read before the renewal")
}

// Pattern: the answer that told of a new configuration is lost. The renewal
// goes on, and the configuration is read again.
func TestRenewalNoticesAnOutdatedConfiguration(t *testing.T) {
	clock := &handClock{now: state.Instant(time.Minute)}
	store := &versions{clock: clock, version: 10, rows: map[string]uint64{"config": 6}}
	m, outdated := renewing(clock, store)
	require.True(t, m.beat(t.Context()))
	require.Equal(t, 1, *outdated)
	require.True(t, m.lease.valid(clock.now))
}
