package leadership

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var errNoResponse = errors.New("no response")

// lossyStore holds rows and loses the responses of the first calls to Transact.
type lossyStore struct {
	rowstore.Store
	clock   *manualClock
	lose    int
	version uint64
	rows    map[string]rowstore.Row
	commits int
	// sent holds the transactions, for their repetition.
	sent []rowstore.Transaction
}

func (s *lossyStore) Transact(_ context.Context, transaction rowstore.Transaction) (rowstore.Commit, error) {
	conflict := &rowstore.ConflictError{Step: "transact"}
	held := true
	s.sent = append(s.sent, transaction)
	for _, condition := range transaction.Conditions {
		row := s.rows[condition.Key]
		conflict.Rows = append(conflict.Rows, row)
		held = held && row.Version == condition.Version
	}
	if held {
		s.version++
		s.commits++
		for _, row := range transaction.Puts {
			row.Version = s.version
			s.rows[row.Key] = row
		}
		for _, row := range transaction.Deletes {
			delete(s.rows, row.Key)
		}
	}
	if s.lose > 0 {
		s.lose--
		return rowstore.Commit{}, errNoResponse
	}
	if !held {
		return rowstore.Commit{}, conflict
	}
	return rowstore.Commit{Version: s.version, Now: time.Duration(s.clock.now)}, nil
}

// The store announces a change but its responses are lost. Announcing the change
// again under a further epoch would make all instances acknowledge it again, for
// ever if responses go on being lost.
func TestAnnouncementWhoseResponseIsLostIsFound(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	store := &lossyStore{clock: clock, version: 10, lose: 2, rows: map[string]rowstore.Row{}}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	m.Store = store
	attempt := &changeAttempt{group: "g", old: "d1"}
	require.NoError(t, m.announceChange(t.Context(), attempt, causeLeaving))
	require.Equal(t, 1, store.commits)
	require.Equal(t, uint64(1), attempt.epoch)
	require.Equal(t, uint64(11), attempt.announceCommit.Version)
	require.Equal(t, Record{Epoch: 1, Changing: true, Primary: "d1", Promoter: m.runName}, m.group("g").record)
}

// Another instance announces the same change first, and the response to this
// instance's attempt is lost.
func TestAnnouncementOfAnotherInstanceIsNotTakenForTheOwn(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	value, err := encode(Record{Epoch: 1, Changing: true, Primary: "d1", Promoter: "b#1"})
	require.NoError(t, err)
	store := &lossyStore{clock: clock, version: 10, lose: 1, rows: map[string]rowstore.Row{"g": {Table: TablePrimaries, Key: "g", Value: value, Version: 10}}}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	m.Store = store
	require.ErrorIs(t, m.announceChange(t.Context(), &changeAttempt{group: "g", old: "d1"}, causeLeaving), rowstore.ErrConflict)
	require.Zero(t, store.commits)
}

// Another instance takes a change over while its promoter is paused between the
// promotion and the publication. The promoter must not end the other's change.
func TestPromoterDoesNotPublishAChangeThatWasTakenOver(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	store := &lossyStore{clock: clock, version: 10, rows: map[string]rowstore.Row{}}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	m.Store = store
	attempt := &changeAttempt{group: "g", old: "d1"}
	require.NoError(t, m.announceChange(t.Context(), attempt, causeUnreachable))

	value, err := encode(Record{Epoch: 2, Changing: true, Primary: "d1", Promoter: "b#1"})
	require.NoError(t, err)
	row := rowstore.Row{Table: TablePrimaries, Key: "g", Value: value, Version: 20}
	store.version, store.rows["g"] = 20, row
	m.Apply(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: []rowstore.Row{row}, Version: 20}})

	require.ErrorIs(t, m.publish(t.Context(), attempt, "d2", state.ServerStatus{Term: 2}), rowstore.ErrConflict)
	require.Equal(t, row, store.rows["g"])
}

// A record that was written on conditions of an earlier era replaces a newer one in the
// store. It is not applied, and the newer one is written again.
func TestOlderRecordInTheStoreIsReplaced(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	newer := Record{Epoch: 7, Primary: "d2", Promoter: "a#1"}
	store := &lossyStore{clock: clock, version: 10, rows: map[string]rowstore.Row{}}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	m.Store = store
	for version, record := range map[uint64]Record{11: newer, 12: {Epoch: 6, Primary: "d3", Promoter: "b#1"}} {
		value, err := encode(record)
		require.NoError(t, err)
		if row := (rowstore.Row{Table: TablePrimaries, Key: "g", Value: value, Version: version}); version == 12 {
			store.version, store.rows["g"] = 12, row
		} else {
			m.Apply(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: []rowstore.Row{row}, Version: version}})
		}
	}
	m.Apply(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: []rowstore.Row{store.rows["g"]}, Version: 12}})
	require.Equal(t, newer, m.group("g").record)
	require.True(t, m.restoreRecords(t.Context()))
	var stored Record
	require.NoError(t, decode("g", store.rows["g"].Value, &stored))
	require.Equal(t, newer, stored)
}

// The response to a renewal is lost. The next one finds the row, so that the lease
// counts, and a copy of the first that takes effect late is refused.
func TestRenewalWhoseResponseIsLostCounts(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	store := &lossyStore{clock: clock, version: 10, lose: 1, rows: map[string]rowstore.Row{"config": {Table: "op", Key: "config", Version: 5}}}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	m.Store = store
	m.observeStore(clock.now, clock.now, time.Duration(clock.now))
	require.False(t, m.sendHeartbeat(t.Context()))
	require.False(t, m.lease.valid(clock.now))
	first := store.rows["a"]

	clock.now = clock.now.Add(time.Second)
	_, conditions := m.renewalConditions()
	conflict := &rowstore.ConflictError{Rows: []rowstore.Row{first}}
	m.refreshOutdated(t.Context(), conflict, conditions[1:])
	require.True(t, m.lease.valid(clock.now), "the renewal counts although its response was lost")
	require.False(t, m.lease.valid(clock.now.Add(m.Options.Lease-time.Second)), "from when it was sent")

	require.True(t, m.sendHeartbeat(t.Context()))
	_, err := store.Transact(t.Context(), rowstore.Transaction{
		Conditions: []rowstore.Condition{{Table: TableInstances, Key: "a", Version: 0}}, Puts: []rowstore.Row{first},
	})
	require.ErrorIs(t, err, rowstore.ErrConflict)
}

// A write of an instance's row gets no response and takes effect seconds later, after a
// renewal, or after the next run has written its row. Then a promoter would not wait for
// an instance that holds a lease.
func TestLateWriteOfTheOwnRowReplacesNoLaterOne(t *testing.T) {
	for name, write := range map[string]func(*Manager){
		"waiting row": func(m *Manager) { m.writeWaitingRow(t.Context()) },
		"removal":     func(m *Manager) { m.Leave(t.Context()) },
	} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: state.Instant(time.Minute)}
			first, err := encode(heartbeat{Run: 1})
			require.NoError(t, err)
			row := rowstore.Row{Table: TableInstances, Key: "a", Value: first, Version: 10}
			store := &lossyStore{clock: clock, version: 10, rows: map[string]rowstore.Row{"a": row}}
			m, _ := newTestManager(clock, &fakeStore{clock: clock})
			m.Store, m.rowVersion = store, 10
			write(m)
			late := store.sent[0]

			store.version, store.rows["a"] = 12, rowstore.Row{Table: TableInstances, Key: "a", Value: first, Version: 12}
			_, err = store.Transact(t.Context(), late)
			require.ErrorIs(t, err, rowstore.ErrConflict)
			require.Equal(t, uint64(12), store.rows["a"].Version)
		})
	}
}

// A renewal without a response has been committed when the instance leaves. Its row must
// go, or promoters wait for the lease, but not the row of another run.
func TestLeavingInstanceRemovesTheRowOfAnUnansweredRenewal(t *testing.T) {
	for run, removed := range map[int64]bool{1: true, 2: false} {
		clock := &manualClock{now: state.Instant(time.Minute)}
		value, err := encode(heartbeat{Run: run})
		require.NoError(t, err)
		store := &lossyStore{clock: clock, version: 11, rows: map[string]rowstore.Row{"a": {Table: TableInstances, Key: "a", Value: value, Version: 11}}}
		m, _ := newTestManager(clock, &fakeStore{clock: clock})
		m.Store, m.rowVersion, m.Config.Run = store, 10, 1
		m.Leave(t.Context())
		_, found := store.rows["a"]
		require.Equal(t, removed, !found)
	}
}

// A row states when its lease expires, so that a promoter waits no longer although it
// has read the row late.
func TestPromoterWaitsForTheLeaseThatTheRowStates(t *testing.T) {
	row := heartbeat{Lease: 4 * time.Second, Until: int64(14 * time.Second)}
	m := newMembers("a", "")
	m.byName["b"] = member{heartbeat: row, version: 5, seenAt: 13 * time.Second}
	announced := announcement{group: "g", epoch: 1, commit: rowstore.Commit{Version: 9, Now: 13500 * time.Millisecond}}
	leasedAt := func(now time.Duration) []state.InstanceID {
		return m.pending("a", announced, DefaultOptions(), now).leased
	}
	require.NotEmpty(t, leasedAt(14*time.Second+leaseMargin))
	require.Empty(t, leasedAt(14*time.Second+leaseMargin+1))

	announced.commit.Era = 1
	require.NotEmpty(t, leasedAt(17*time.Second), "the clock of an earlier era says nothing")
}

// countingPromoter counts the promotions that it is asked for.
type countingPromoter struct{ calls int }

func (p *countingPromoter) Promote(context.Context, state.PromotionCall) error {
	p.calls++
	return nil
}

// interruptedStore calls during before each transaction.
type interruptedStore struct {
	*lossyStore
	during func()
}

func (s interruptedStore) Transact(ctx context.Context, transaction rowstore.Transaction) (rowstore.Commit, error) {
	s.during()
	return s.lossyStore.Transact(ctx, transaction)
}

// Another instance announces a change of the group while a promoter has not promoted
// yet, before or while it records the call. Two promotions would go out.
func TestPromoterStopsWhenItsAnnouncementIsReplaced(t *testing.T) {
	for _, before := range []bool{true, false} {
		clock := &manualClock{now: state.Instant(time.Minute)}
		m, _ := newTestManager(clock, &fakeStore{clock: clock})
		promoter := &countingPromoter{}
		m.Promoter = promoter
		m.observeStore(clock.now, clock.now, time.Duration(clock.now))
		m.duty.held, m.duty.record.HeldUntil, m.duty.record.Token = true, int64(clock.now)+int64(time.Minute), 7
		m.applyRecord("g", Record{Epoch: 1, Changing: true, Primary: "d1", Promoter: m.runName}, 11, clock.now)
		replace := func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.applyRecord("g", Record{Epoch: 2, Changing: true, Primary: "d1", Promoter: "b#1"}, 12, clock.now)
		}
		m.Store = interruptedStore{&lossyStore{clock: clock, rows: map[string]rowstore.Row{}}, replace}
		if before {
			replace()
		}
		_, err := m.startCall(t.Context(), &changeAttempt{group: "g", epoch: 1, token: 7}, candidate{})
		require.ErrorIs(t, err, errSuperseded)
		require.Zero(t, promoter.calls)
		require.Empty(t, m.duty.calls)
	}
}

// A change that was announced because a promotion may have been forgotten is taken
// over. A database that leads may be superseded, whoever carries the change on. Found by
// TestRandomFaultsAndRestorationsBreakNoPromise, seed 7029.
func TestUncertainChangeStaysSoWhenItIsTakenOver(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	store := &lossyStore{clock: clock, version: 20, rows: map[string]rowstore.Row{"g": {Table: TablePrimaries, Key: "g", Version: 12}}}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	m.Store = store
	m.applyRecord("g", Record{Epoch: 2, Changing: true, Uncertain: true, Primary: "d1", Promoter: "b#1"}, 12, clock.now)
	attempt := &changeAttempt{group: "g", old: "d1"}
	require.NoError(t, m.announceChange(t.Context(), attempt, causeTakeOver))
	require.True(t, attempt.uncertain)
	require.True(t, m.group("g").record.Uncertain)
	require.Empty(t, attempt.old, "the old primary may be the one to confirm")
}

// quietDirectory lists one database, which leads and follows nobody.
type quietDirectory struct{ Directory }

func (quietDirectory) Servers(state.GroupID) []directory.Entry {
	return []directory.Entry{{Server: state.Server{Database: state.Database{ID: "d1"}, Group: "g", Role: state.RolePrimary}}}
}

// leadingDatabases replies that each database leads in term 3.
type leadingDatabases struct{ Databases }

func (leadingDatabases) Status(context.Context, state.Server) (state.ServerStatus, error) {
	return state.ServerStatus{Role: state.RolePrimary, Term: 3}, nil
}

// A record that was confirmed in a new era must outrank whatever an instance remembers
// of an earlier one.
func TestConfirmedRecordGetsAnEpochOfTheEra(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	store := &lossyStore{clock: clock, version: 20, rows: map[string]rowstore.Row{}}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	m.Store, m.Directory, m.Databases = store, quietDirectory{}, leadingDatabases{}
	m.BeginEra(2)
	require.True(t, m.confirmPrimary(t.Context(), "g"))
	record := m.group("g").record
	require.Equal(t, Record{Epoch: 2*eraNumbers + 1, Primary: "d1", Term: 3, Promoter: m.runName}, record)
	require.True(t, record.newerThan(Record{Epoch: 2 * eraNumbers, Primary: "d2"}))
}
