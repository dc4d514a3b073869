package council

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// listedAgainAfter is longer than a registration of a removed database that is read from
// a copy stays unused.
const listedAgainAfter = 6 * time.Second

// manualClock is a clock whose time the test sets.
type manualClock struct{ now state.Instant }

func (c *manualClock) Now() state.Instant { return c.now }

// testDirectory is a directory whose updates the test makes.
type testDirectory struct {
	*directory.Directory
	t     *testing.T
	clock *manualClock
	log   *bytes.Buffer
}

func newTestDirectory(t *testing.T) testDirectory {
	clock := &manualClock{now: state.Instant(time.Minute)}
	key := rowstore.Row{Table: tableRoutes, Key: "config"}
	log := &bytes.Buffer{}
	return testDirectory{directory.New(jsonDecoder{}, key, clock, zerolog.New(log), nil), t, clock, log}
}

func row(t *testing.T, id string, born int64, leaving bool) rowstore.Row {
	server := state.Server{Database: state.Database{ID: state.DatabaseID(id), Address: id, Leaving: leaving}, Group: "g", Born: born}
	value, err := json.Marshal(server)
	require.NoError(t, err)
	return rowstore.Row{Key: id, Value: value}
}

// list applies a list of the table, watch changes of it.
func (d testDirectory) list(rows ...rowstore.Row) {
	d.ApplyServers(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: rows}, Complete: true, AfterOutage: true, RequestedAt: d.clock.now})
}

func (d testDirectory) watch(rows ...rowstore.Row) {
	d.ApplyServers(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: rows}, RequestedAt: d.clock.now})
}

// pass lets time pass, after which the store responds without changes.
func (d testDirectory) pass(duration time.Duration) {
	d.clock.now = d.clock.now.Add(duration)
	d.watch()
}

func (d testDirectory) entry(id string) (directory.Entry, bool) {
	return d.Server("g", state.DatabaseID(id))
}

// The store returns from a copy in which a leaving database is still ready.
func TestLeavingDatabaseStaysSoWhenTheStoreIsRestored(t *testing.T) {
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false))
	d.watch(row(t, "d1", 5, true))
	d.BeginEra(1)
	d.list(row(t, "d1", 5, false))
	found, _ := d.entry("d1")
	require.True(t, found.Leaving)
	d.watch(row(t, "d1", 6, false))
	found, _ = d.entry("d1")
	require.False(t, found.Leaving, "a new run of the database is not leaving")
}

// The copy holds an earlier run of a database, or one that is gone.
func TestRegistrationsOfACopyDoNotReplaceNewerKnowledge(t *testing.T) {
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false), row(t, "d2", 5, false))
	d.watch(row(t, "d1", 9, false), rowstore.Row{Key: "d2", Removed: true})
	d.BeginEra(1)
	d.list(row(t, "d1", 5, false), row(t, "d2", 5, false))
	found, _ := d.entry("d1")
	require.EqualValues(t, 9, found.Born)
	_, known := d.entry("d2")
	require.False(t, known, "the registration of a database that is gone is not used")

	d.watch(rowstore.Row{Key: "d2", Removed: true})
	d.pass(listedAgainAfter)
	_, known = d.entry("d2")
	require.False(t, known)
}

// The registration of a database that is gone is in the copy, but no longer in a list that
// follows.
func TestRegistrationThatIsNoLongerListedIsNotUsed(t *testing.T) {
	d := newTestDirectory(t)
	d.list(row(t, "d2", 5, false))
	d.watch(rowstore.Row{Key: "d2", Removed: true})
	d.BeginEra(1)
	d.list(row(t, "d2", 5, false))
	d.list()
	d.pass(listedAgainAfter)
	_, known := d.entry("d2")
	require.False(t, known)
}

// The registration of a database that runs had expired before the copy was restored.
// It is used once it is written again, or is still there when others would have
// expired.
func TestDatabaseThatRegistersAgainInANewEraIsUsed(t *testing.T) {
	for name, again := range map[string]func(d testDirectory){
		"written again": func(d testDirectory) { d.watch(row(d.t, "d2", 5, false)) },
		"still there":   func(d testDirectory) { d.pass(listedAgainAfter) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDirectory(t)
			d.list(row(t, "d2", 5, false))
			d.watch(rowstore.Row{Key: "d2", Removed: true})
			d.BeginEra(1)
			d.list(row(t, "d2", 5, false))
			again(d)
			_, known := d.entry("d2")
			require.True(t, known)
		})
	}
}

// The operators' configuration of the copy is older than the one in force.
func TestConfigurationOfACopyIsNotPutInForce(t *testing.T) {
	d := newTestDirectory(t)
	apply := func(version, rowVersion uint64) {
		value, err := json.Marshal(state.RoutingTable{Version: version})
		require.NoError(t, err)
		d.ApplyConfiguration(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: []rowstore.Row{{Key: "config", Value: value, Version: rowVersion}}}, Complete: true})
	}
	apply(7, 100)
	d.BeginEra(1)
	require.Empty(t, d.WatchedRows(), "versions of the era before are conditions of nothing")
	apply(4, 60)
	require.EqualValues(t, 7, d.Routes().Version)
	require.EqualValues(t, 60, d.WatchedRows()[0].Version)
	apply(9, 61)
	require.EqualValues(t, 9, d.Routes().Version)
}
