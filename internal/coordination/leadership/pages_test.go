package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Guards against a lease that is renewed although a change is unseen: a list read in pages
// holds a row that is newer than the change of another one, which the first page lacks.
func TestRowOfALaterPageHidesNoChange(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	store := &fakeStore{clock: clock, version: 12, rows: map[string]uint64{"config": 5, rowPrimaries: 12}, failList: true}
	m, _ := newTestManager(clock, store)
	row := func(group string, version uint64) rowstore.Row {
		value, err := encode(Record{Epoch: 1, Primary: "d1"})
		require.NoError(t, err)
		return rowstore.Row{Table: TablePrimaries, Key: group, Value: value, Version: version}
	}
	// The row of g1 is changed at version 11, after the first page was read.
	pages := rowstore.Snapshot{Rows: []rowstore.Row{row("g1", 8), row("g2", 12)}, Version: 10, Now: time.Minute}
	m.Apply(rowstore.Update{Snapshot: pages, Complete: true, RequestedAt: clock.now, RespondedAt: clock.now})
	require.False(t, m.sendHeartbeat(t.Context()))
	require.False(t, m.lease.valid(clock.now))
}

// Guards against a promoter that counts a lease from before it was renewed: the row was
// written after the first page of the list had been read.
func TestRowOfALaterPageCountsFromItsOwnPage(t *testing.T) {
	m := newMembers("a", "")
	value, err := encode(heartbeat{Lease: 4 * time.Second, Until: int64(16 * time.Second)})
	require.NoError(t, err)
	m.update(rowstore.Snapshot{Rows: []rowstore.Row{{Key: "b", Value: value, Version: 11}}, Version: 10, Now: 9 * time.Second, Latest: 12500 * time.Millisecond})
	announced := announcement{group: "g", epoch: 1, commit: rowstore.Commit{Version: 20, Now: 13 * time.Second}}
	require.NotEmpty(t, m.pending("a", announced, DefaultOptions(), 16*time.Second).leased)
}

// Guards against a renewal that is forgotten: of two lists that were read in pages, the one
// that began later has read an older version of a row.
func TestOlderPageReplacesNoNewerRow(t *testing.T) {
	m := newMembers("a", "")
	for _, list := range []struct{ version, row uint64 }{{10, 15}, {12, 13}} {
		value, err := encode(heartbeat{Count: list.row})
		require.NoError(t, err)
		m.update(rowstore.Snapshot{Rows: []rowstore.Row{{Key: "b", Value: value, Version: list.row}}, Version: list.version, Now: time.Minute})
	}
	require.Equal(t, uint64(15), m.byName["b"].version)
	require.Equal(t, uint64(15), m.byName["b"].heartbeat.Count)
}
