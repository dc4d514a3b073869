package leadership

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const testWithin = 20 * time.Second

// fleetRows returns the rows of many instances in three data centres, each of which
// uses some of the groups.
func fleetRows(t testing.TB, instances, groups, used int) (snapshot rowstore.Snapshot, ids []state.GroupID) {
	t.Helper()
	for g := range groups {
		ids = append(ids, state.GroupID(fmt.Sprintf("group%03dx", g)))
	}
	snapshot = rowstore.Snapshot{Version: uint64(instances), Now: time.Hour}
	for n := range instances {
		demand, suspected := make(map[state.GroupID]uint16), make(map[state.GroupID]uint64)
		for u := range used {
			demand[ids[(n+u)%groups]] = uint16(1 + u)
		}
		suspected[ids[n%groups]] = 1
		value, err := encode(map[string]any{
			"run": int64(n), "address": fmt.Sprintf("10.1.%d.%d:7000", n/256, n%256), "dc": fmt.Sprintf("dc-%c", 'a'+n%3), "lease": 4 * time.Second,
			"demand": demand, "suspect": suspected, "ack": map[state.GroupID]uint64{ids[n%groups]: 1}, "era": uint64(1),
		})
		require.NoError(t, err)
		snapshot.Rows = append(snapshot.Rows, rowstore.Row{Table: TableInstances, Key: fmt.Sprintf("instance-%04d", n), Value: value, Version: uint64(n + 1)})
	}
	return snapshot, ids
}

func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// An instance keeps something about each other instance and about each group, and must
// not keep something for each pair of them: with 300 instances and 700 groups their
// order alone took most of a process's memory.
func TestTablesOfManyInstancesFitInMemory(t *testing.T) {
	const (
		// heapPerLiveByte is how far the heap grows at the entry instance's
		// garbage collector settings.
		heapPerLiveByte = 3
		megabyte        = 1 << 20
	)
	for _, size := range []struct{ instances, groups, used, processLimit int }{
		{300, 700, 100, 25 * megabyte},
		{1470, 600, 100, 256 * megabyte},
	} {
		snapshot, ids := fleetRows(t, size.instances, size.groups, size.used)
		before := liveHeap()
		m := newMembers("instance-0007", "dc-b")
		require.Empty(t, m.update(snapshot))
		for _, id := range ids {
			require.Len(t, m.ranking(id, testWithin).watchers, watchersPerGroup)
		}
		_, all := m.demand("instance-0007", ids[0], testWithin)
		require.NotZero(t, all)
		kept := liveHeap() - before
		runtime.KeepAlive(&m)
		runtime.KeepAlive(snapshot)
		t.Logf("%d instances, %d groups: %d kB kept", size.instances, size.groups, kept>>10)
		require.Less(t, heapPerLiveByte*kept, int64(size.processLimit/2), "half of the process's memory")
	}
}

// Instances renew their rows all the time. A read in which no instance has come or gone
// must not compute the order for each group again.
func TestReadOfRenewedRowsKeepsTheOrder(t *testing.T) {
	snapshot, ids := fleetRows(t, 300, 700, 100)
	m := newMembers("instance-0007", "dc-b")
	allocated := func(read func()) uint64 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		read()
		runtime.ReadMemStats(&after)
		return after.Mallocs - before.Mallocs
	}
	read := func() {
		m.update(snapshot)
		for _, id := range ids {
			m.ranking(id, testWithin)
		}
	}
	first := allocated(read)
	snapshot.Now += time.Second
	for n := range 20 {
		snapshot.Rows[n].Version += 1000
	}
	second := allocated(read)
	t.Logf("%d objects allocated by the first read, %d by the second", first, second)
	require.Less(t, second, first/10, "only the rows that have changed are decoded")
}

// orderOf is the definition of the order: rounds that take one instance of each data
// centre, by hash. Instances of several builds must agree on it.
func orderOf(group state.GroupID, dataCentres map[state.InstanceID]state.DataCentre) []state.InstanceID {
	hash := func(name state.InstanceID) uint64 { return xxhash.Sum64String(string(group) + "\x00" + string(name)) }
	round := make(map[state.InstanceID]int)
	for name, dc := range dataCentres {
		for other, otherDC := range dataCentres {
			if dc == otherDC && hash(other) < hash(name) {
				round[name]++
			}
		}
	}
	return slices.SortedFunc(maps.Keys(dataCentres), func(a, b state.InstanceID) int {
		return cmp.Or(cmp.Compare(round[a], round[b]), cmp.Compare(hash(a), hash(b)))
	})
}

// Instances that rank the others differently start changes late or twice, whether
// because of how the order is computed or because an outdated one is used.
func TestRankingsFollowTheDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := state.InstanceID("i0")
		m := newMembers(self, "dc0")
		for version := range uint64(3) {
			dataCentres := make(map[state.InstanceID]state.DataCentre)
			snapshot := rowstore.Snapshot{Now: time.Hour + time.Duration(version)*time.Minute}
			for n := range rapid.IntRange(0, 30).Draw(t, "instances") {
				name := state.InstanceID(fmt.Sprintf("i%d", n))
				dc := state.DataCentre(fmt.Sprintf("dc%d", rapid.IntRange(0, 3).Draw(t, "data centre")))
				value, err := encode(heartbeat{Address: string(name), DataCentre: dc})
				require.NoError(t, err)
				snapshot.Rows = append(snapshot.Rows, rowstore.Row{Key: string(name), Value: value, Version: version + 1})
				dataCentres[name] = dc
			}
			m.update(snapshot)
			order := orderOf("g", dataCentres)
			ranking := m.ranking("g", testWithin)
			require.True(t, slices.Equal(order[:min(watchersPerGroup, len(order))], ranking.watchers), "%v in %v", ranking.watchers, order)
			position := slices.Index(order, self)
			if position < 0 {
				position = len(order)
			}
			require.Equal(t, position, ranking.position)
			var neighbours []state.InstanceID
			for _, name := range order {
				if name != self && dataCentres[name] == "dc0" && len(neighbours) < maxNeighbours {
					neighbours = append(neighbours, name)
				}
			}
			require.Equal(t, neighbours, ranking.neighbours)
		}
	})
}

// A row written by an earlier build is a map of all groups, also those without demand.
func TestDemandIsReadAsOtherBuildsWriteIt(t *testing.T) {
	value, err := encode(map[string]any{"demand": map[state.GroupID]uint16{"g": 7, "h": 0}})
	require.NoError(t, err)
	var row heartbeat
	require.NoError(t, decode("i", value, &row))
	require.Equal(t, 7, row.Demand.of("g"))
	value, err = encode(heartbeat{Demand: newDemands(map[state.GroupID]uint16{"g": 7, "h": 0})})
	require.NoError(t, err)
	var earlier struct {
		Demand map[state.GroupID]uint16 `msgpack:"demand"`
	}
	require.NoError(t, decode("i", value, &earlier))
	require.Equal(t, map[state.GroupID]uint16{"g": 7}, earlier.Demand)
}

// On-call engineers must see on whom a change relied: an instance without an
// acknowledgement is listed apart, and one without a row not at all.
func TestWithdrawalTellsWhoAcknowledged(t *testing.T) {
	members := newMembers("a", "dc")
	for _, row := range []struct {
		name  state.InstanceID
		epoch uint64
	}{{"a", 0}, {"d", 7}, {"b", 8}, {"c", 6}} {
		members.byName[row.name] = member{heartbeat: heartbeat{Acknowledged: map[state.GroupID]uint64{"g": row.epoch}}}
	}
	require.Equal(t, withdrawal{acknowledged: []state.InstanceID{"b", "d"}, lapsed: []state.InstanceID{"c"}}, members.withdrawal("a", "g", 7))
	require.Equal(t, withdrawal{lapsed: []state.InstanceID{"b", "c", "d"}}, members.withdrawal("a", "other", 7))
}

// listedStore responds to each list with the given snapshot.
type listedStore struct {
	rowstore.Store
	snapshot rowstore.Snapshot
}

func (s *listedStore) List(context.Context, string) (rowstore.Snapshot, error) {
	return s.snapshot, nil
}

// Guards against rows that are not replaced any more once the store's clock was set back:
// instances that join later would be missing in them for as long.
func TestRowsAreReplacedAlthoughTheStoresClockWasSetBack(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	m, _ := newTestManager(clock, &fakeStore{clock: clock})
	value, err := encode(heartbeat{Address: "b"})
	require.NoError(t, err)
	store := &listedStore{snapshot: rowstore.Snapshot{Version: 10, Now: time.Hour}}
	m.Store = store
	require.True(t, m.readMembers(t.Context()))
	store.snapshot = rowstore.Snapshot{Version: 12, Now: time.Minute, Rows: []rowstore.Row{{Table: TableInstances, Key: "b", Value: value, Version: 11}}}
	require.True(t, m.readMembers(t.Context()))
	require.Contains(t, m.members.byName, state.InstanceID("b"))
	require.Equal(t, time.Minute, m.members.now)

	store.snapshot = rowstore.Snapshot{Version: 10, Now: time.Hour}
	require.True(t, m.readMembers(t.Context()))
	require.Contains(t, m.members.byName, state.InstanceID("b"), "an earlier read that is answered late")
}

// A malformed row states a lease of an hour. It holds up changes no longer than the longest
// lease that instances have.
func TestMalformedLeaseHoldsUpNoChange(t *testing.T) {
	const announcedAt = time.Hour
	options := DefaultOptions()
	members := newMembers("a", "dc")
	members.byName["b"] = member{heartbeat: heartbeat{Lease: time.Hour}, version: 5, seenAt: announcedAt}
	announced := announcement{group: "g", epoch: 1, commit: rowstore.Commit{Version: 9, Now: announcedAt}}
	require.NotEmpty(t, members.pending("a", announced, options, announcedAt+options.MaxLease).leased)
	require.Empty(t, members.pending("a", announced, options, announcedAt+options.MaxLease+2*leaseMargin).leased)
}
