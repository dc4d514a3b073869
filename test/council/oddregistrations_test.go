package council

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// rewrittenWithin is longer than a live database takes to write its registration again.
	rewrittenWithin = 2 * time.Second
	// oddUse is how long a database may be used after its registration turned odd: the
	// time to write it again, a response of the store, and a batch of changes.
	oddUse = 6 * time.Second
	// replacedWithin is the stated limit of a change of primary.
	replacedWithin = 15 * time.Second
)

func mustJSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	require.NoError(t, err)
	return text
}

// odd is a row that can't be decoded.
func odd(id string, version uint64) rowstore.Row {
	return rowstore.Row{Key: id, Value: []byte("odd"), Version: version}
}

// Another writer replaces the registration of a database that is in use.
func TestDatabaseWhoseRegistrationTurnsOdd(t *testing.T) {
	for name, turn := range map[string]func(d testDirectory){
		"change": func(d testDirectory) { d.watch(odd("d1", 8)) },
		"list": func(d testDirectory) {
			d.ApplyServers(rowstore.Update{Snapshot: rowstore.Snapshot{Rows: []rowstore.Row{odd("d1", 8)}}, Complete: true, RequestedAt: d.clock.now})
		},
		"list after outage":   func(d testDirectory) { d.list(odd("d1", 8)) },
		"leaving, then odd":   func(d testDirectory) { d.watch(row(t, "d1", 5, true)); d.watch(odd("d1", 8)) },
		"without a start":     func(d testDirectory) { d.watch(row(t, "d1", 0, false)) },
		"odd again and again": func(d testDirectory) { d.watch(odd("d1", 8)); d.pass(time.Second); d.watch(odd("d1", 9)) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDirectory(t)
			d.list(row(t, "d1", 5, false))
			turn(d)
			_, known := d.entry("d1")
			require.True(t, known, "a live database has time to write it again")
			require.True(t, d.Unsettled())
			d.pass(rewrittenWithin)
			if name != "odd again and again" {
				d.watch(row(t, "d1", 5, false))
				d.pass(time.Minute)
				_, known = d.entry("d1")
				require.True(t, known, "it was written again")
				require.False(t, d.Unsettled())
				turn(d)
			}
			d.pass(rewrittenWithin)
			d.pass(time.Second)
			_, known = d.entry("d1")
			require.False(t, known, "an odd registration names no database")
			require.False(t, d.Unsettled())
			d.watch(odd("d1", 10))
			d.list(odd("d1", 10))
			d.list(row(t, "d1", 0, false))
			_, known = d.entry("d1")
			require.False(t, known)
			d.watch(row(t, "d1", 5, false))
			_, known = d.entry("d1")
			require.True(t, known, "one that is repaired is used")
		})
	}
}

// A registration that is odd and then removed needs no time, a store that does not
// respond gives none to write it again.
func TestOddRegistrationAndTheStore(t *testing.T) {
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false), row(t, "d2", 5, false))
	d.watch(odd("d1", 8), odd("d2", 8))
	d.watch(rowstore.Row{Key: "d1", Removed: true})
	_, known := d.entry("d1")
	require.False(t, known)
	d.clock.now = d.clock.now.Add(time.Minute)
	d.ApplyServers(rowstore.Update{AfterOutage: true, RequestedAt: d.clock.now})
	_, known = d.entry("d2")
	require.True(t, known)
	d.clock.now = d.clock.now.Add(rewrittenWithin + time.Second)
	d.ApplyServers(rowstore.Update{AfterOutage: true, RequestedAt: d.clock.now})
	_, known = d.entry("d2")
	require.False(t, known)
}

// Another writer states a start in the future for a database. The rows of its true run
// count again.
func TestStartTimeOfAnotherWriterDoesNotStay(t *testing.T) {
	born := func(d testDirectory) int64 {
		entry, _ := d.entry("d1")
		return entry.Born
	}
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false))
	d.watch(row(t, "d1", 1000, false))
	require.EqualValues(t, 1000, born(d), "a later run counts at once")
	for range 3 {
		d.watch(row(t, "d1", 5, false)) // as often as a database writes it
		require.EqualValues(t, 1000, born(d))
		require.True(t, d.Unsettled())
		d.pass(time.Second)
	}
	require.EqualValues(t, 5, born(d))
	require.False(t, d.Unsettled())

	// A write of an earlier run that takes effect late is soon replaced.
	d.watch(row(t, "d1", 9, false))
	d.watch(row(t, "d1", 5, false))
	d.pass(rewrittenWithin)
	d.watch(row(t, "d1", 9, false))
	d.pass(time.Minute)
	require.EqualValues(t, 9, born(d))
	require.Equal(t, 2, bytes.Count(d.log.Bytes(), []byte("not used yet")), "logged once for each start time")
}

// Another writer places a running database elsewhere, which then writes its row again. An
// instance that knew the false row first corrects itself.
func TestRunThatIsPlacedElsewhere(t *testing.T) {
	elsewhere := map[string]func(server *state.Server){
		"address": func(server *state.Server) { server.Address = "d2" },
		"group":   func(server *state.Server) { server.Group = "other" },
	}
	for name, change := range elsewhere {
		t.Run(name, func(t *testing.T) {
			server := state.Server{Database: state.Database{ID: "d1", Address: "d1"}, Group: "g", Born: 5}
			change(&server)
			wrong, right := rowstore.Row{Key: "d1", Value: mustJSON(t, server)}, row(t, "d1", 5, false)

			d := newTestDirectory(t)
			d.list(right)
			d.watch(wrong)
			entry, known := d.entry("d1")
			require.True(t, known)
			require.Equal(t, "d1", entry.Address)
			d.pass(rewrittenWithin)
			d.watch(right)
			d.pass(time.Minute)
			entry, known = d.entry("d1")
			require.True(t, known)
			require.Equal(t, "d1", entry.Address)

			d = newTestDirectory(t)
			d.list(wrong)
			d.watch(right)
			d.pass(rewrittenWithin + time.Second)
			entry, known = d.entry("d1")
			require.True(t, known)
			require.Equal(t, "d1", entry.Address)

			d.watch(rowstore.Row{Key: "d1", Value: mustJSON(t, state.Server{Database: state.Database{ID: "d1", Address: "d3"}, Group: "g", Born: 6})})
			entry, _ = d.entry("d1")
			require.Equal(t, "d3", entry.Address, "a restarted database may be elsewhere")
		})
	}
}

// Another writer states that a running database is leaving. Its own rows, which go on to
// say otherwise, count after a while.
func TestRunThatIsSaidToLeave(t *testing.T) {
	leaving := func(d testDirectory) bool {
		entry, known := d.entry("d1")
		require.True(t, known)
		return entry.Leaving
	}
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false))
	for range 2 {
		d.watch(row(t, "d1", 5, true))
		require.True(t, leaving(d))
		for range 3 {
			d.watch(row(t, "d1", 5, false))
			require.True(t, leaving(d), "a late write of a database that leaves is soon replaced")
			d.pass(time.Second)
		}
		require.False(t, leaving(d))
	}
	// A late write is followed by that of the database that leaves.
	d.watch(row(t, "d1", 5, true))
	d.watch(row(t, "d1", 5, false))
	d.pass(rewrittenWithin)
	d.watch(row(t, "d1", 5, true))
	d.pass(time.Minute)
	require.True(t, leaving(d))
}

// What is refused is logged once for each change, however often it is read.
func TestOddRegistrationIsLoggedOnce(t *testing.T) {
	d := newTestDirectory(t)
	lines := func() int { return bytes.Count(d.log.Bytes(), []byte("registration refused")) }
	for range 5 {
		d.list(odd("d1", 8), odd("d2", 8))
		d.watch(odd("d1", 8))
	}
	require.Equal(t, 2, lines())
	d.watch(odd("d1", 9))
	require.Equal(t, 3, lines())
	d.watch(row(t, "d1", 5, false))
	d.watch(odd("d1", 9))
	require.Equal(t, 4, lines(), "it was right in between")
}

// The registration of the primary turns odd and is written again at once: nobody
// notices. It stays odd: another database leads.
func TestPrimaryWhoseRegistrationTurnsOdd(t *testing.T) {
	run(t, []string{"a1", "b1", "c1"}, func(tc *testCluster) {
		ctx, cancel := context.WithCancel(tc.ctx)
		defer cancel()
		go tc.keepWriting(ctx, "a1")
		primary := tc.group.Leader()
		right := mustJSON(tc.t, primary.Server())
		time.Sleep(time.Second)
		tc.store.Put(tableServers, string(primary.ID), []byte("odd"))
		time.Sleep(rewrittenWithin)
		tc.store.Put(tableServers, string(primary.ID), right)
		time.Sleep(replacedWithin)
		require.Equal(tc.t, primary, tc.group.Leader())
		tc.store.Put(tableServers, string(primary.ID), []byte("odd"))
		tc.eventually(replacedWithin, "another database leads", func() bool { return tc.group.Leader() != primary })
	})
}

// An instance takes the database out of use in time, also if it follows a neighbour.
func TestOddRegistrationIsDroppedInTime(t *testing.T) {
	prepare := func(tc *testCluster) { tc.oneDataCentre = true }
	runPrepared(t, groupOptions(), []string{"a1", "b1", "c1"}, testLog, prepare, func(tc *testCluster) {
		time.Sleep(20 * time.Second) // until the instances share the watch
		replica := string(tc.group.Database(3).ID)
		tc.store.Put(tableServers, replica, []byte("odd"))
		time.Sleep(oddUse)
		for name, i := range tc.instances {
			require.Len(tc.t, i.directory.Servers("g"), 2, name)
		}
	})
}

// A response to a question that was asked before the time was over comes late, as after a
// suspension: it does not show whether the database has written its registration again.
func TestLateResponseEndsNoGrace(t *testing.T) {
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false))
	d.watch(odd("d1", 8))
	asked := d.clock.now.Add(time.Second)
	d.clock.now = d.clock.now.Add(time.Minute)
	d.ApplyServers(rowstore.Update{RequestedAt: asked})
	_, known := d.entry("d1")
	require.True(t, known)
	d.watch()
	_, known = d.entry("d1")
	require.False(t, known)
}

// A registration that places the known run elsewhere is held. The store goes away before
// the database could write its own again, which it does within two seconds of the return.
func TestHeldRegistrationIsNotUsedRightAfterAnOutage(t *testing.T) {
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false))
	d.pass(time.Second)
	server := state.Server{Database: state.Database{ID: "d1", Address: "d2"}, Group: "g", Born: 5}
	d.watch(rowstore.Row{Key: "d1", Value: mustJSON(t, server)})
	d.clock.now = d.clock.now.Add(time.Minute)
	d.ApplyServers(rowstore.Update{AfterOutage: true, RequestedAt: d.clock.now})
	entry, known := d.entry("d1")
	require.True(t, known)
	require.Equal(t, "d1", entry.Address)
}

// A run that leaves is said to stay for a while, by a row that was written late. When it
// says again that it leaves, the time in which it may still be used has begun long ago.
func TestRunThatLeavesTwiceIsLeavingSinceTheFirstTime(t *testing.T) {
	d := newTestDirectory(t)
	d.list(row(t, "d1", 5, false))
	d.watch(row(t, "d1", 5, true))
	first, _ := d.entry("d1")
	d.watch(row(t, "d1", 5, false))
	d.pass(rewrittenWithin + time.Second)
	between, _ := d.entry("d1")
	require.False(t, between.Leaving)
	d.watch(row(t, "d1", 5, true))
	again, _ := d.entry("d1")
	require.True(t, again.Leaving)
	require.Equal(t, first.LeavingSince, again.LeavingSince)
	d.watch(row(t, "d1", 6, false), row(t, "d1", 6, true))
	restarted, _ := d.entry("d1")
	require.Equal(t, d.clock.now, restarted.LeavingSince, "another run")
}
