package council

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Another writer registers a database in a group that the configuration doesn't name. It
// is no group of the system: nothing is probed, promoted or recorded for it.
func TestGroupThatIsNotNamed(t *testing.T) {
	run(t, []string{"a1", "b1", "c1"}, func(tc *testCluster) {
		for n, role := range []state.Role{state.RoleReplica, state.RoleReplica} {
			server := state.Server{Database: state.Database{ID: state.DatabaseID("odd" + string(rune('1'+n))), Address: "odd:1"}, Group: "other", Role: role, Born: 5}
			tc.store.Put(tableServers, string(server.ID), mustJSON(tc.t, server))
		}
		time.Sleep(30 * time.Second)
		for name, i := range tc.instances {
			require.Equal(tc.t, []state.GroupID{"g"}, i.directory.Groups(), name)
			require.Empty(tc.t, i.directory.Servers("other"), name)
			require.True(tc.t, i.writable(), name)
		}
		require.Empty(tc.t, tc.rowsOf("primaries", "other"))
	})
}

// A group that a later configuration names is used, and one that it no longer names stays:
// transactions may still run in it.
func TestGroupThatIsNamedLater(t *testing.T) {
	d := newTestDirectory(t)
	name := func(version uint64, groups ...state.GroupID) {
		table := state.RoutingTable{Version: version, Groups: make(map[state.GroupID]state.GroupLimits)}
		for _, group := range groups {
			table.Groups[group] = state.GroupLimits{MaxConnections: 9}
		}
		d.ApplyConfiguration(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: []rowstore.Row{{Key: "config", Value: mustJSON(t, table), Version: version}}}})
	}
	name(1, "other")
	d.list(row(t, "d1", 5, false))
	require.Empty(t, d.Groups())
	_, known := d.AddressOf("d1")
	require.False(t, known, "no tunnel leads there")
	name(2, "g")
	require.Equal(t, []state.GroupID{"g"}, d.Groups())
	address, known := d.AddressOf("d1")
	require.True(t, known)
	require.Equal(t, "d1", address)
	name(3)
	require.Equal(t, []state.GroupID{"g"}, d.Groups())
}

// rowsOf returns the rows of a table with the given key.
func (tc *testCluster) rowsOf(table, key string) (found []rowstore.Row) {
	snapshot, err := tc.store.Client("test").List(tc.ctx, table)
	require.NoError(tc.t, err)
	for _, row := range snapshot.Rows {
		if row.Key == key {
			found = append(found, row)
		}
	}
	return found
}
