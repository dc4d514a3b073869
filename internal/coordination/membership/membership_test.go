package membership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fakeLister returns the list or the error that the test sets.
type fakeLister struct {
	mu        sync.Mutex
	instances []state.Instance
	err       error
	reads     int
}

func (l *fakeLister) set(instances []state.Instance, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.instances, l.err = instances, err
}

func (l *fakeLister) List(context.Context) ([]state.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	return l.instances, l.err
}

const dataCentres = 3

var errDown = errors.New("down")

func instance(number int, incarnation state.Incarnation) state.Instance {
	return state.Instance{
		ID: state.InstanceID(fmt.Sprintf("i%d", number)), Incarnation: incarnation,
		DataCentre: state.DataCentre(fmt.Sprintf("dc%d", number%dataCentres)),
	}
}

func fleet(size int) []state.Instance {
	var instances []state.Instance
	for number := range size {
		instances = append(instances, instance(number, 1))
	}
	return instances
}

func newMembership(lister Lister, seeds ...state.Instance) *Membership {
	return New(Config{
		Self: instance(0, 1), Seeds: seeds, Lister: lister, Random: rand.New(rand.NewPCG(1, 2)),
	})
}

// model is a simple reference implementation of the view. For each instance it
// holds the highest incarnation listed or reported, and the reports on that
// incarnation.
type model struct {
	listed  map[state.InstanceID]state.Instance
	highest map[state.InstanceID]state.Incarnation // listed or reported
	leaving map[string]bool                        // by id and incarnation
	failed  map[string]bool                        // failed since its last success
}

func incarnationKey(id state.InstanceID, incarnation state.Incarnation) string {
	return fmt.Sprint(id, "#", incarnation)
}

func (m *model) report(id state.InstanceID, incarnation state.Incarnation, set map[string]bool, value bool) {
	if incarnation >= m.highest[id] {
		m.highest[id] = incarnation
		set[incarnationKey(id, incarnation)] = value
	}
}

func (m *model) applyList(listed []state.Instance) {
	next := make(map[state.InstanceID]state.Instance)
	for _, one := range listed {
		if one.ID == "i0" {
			continue // self
		}
		if was, found := m.listed[one.ID]; found && was.Incarnation > one.Incarnation {
			one = was
		}
		next[one.ID] = one
		m.highest[one.ID] = max(m.highest[one.ID], one.Incarnation)
	}
	m.listed = next
}

func (m *model) isCandidate(id state.InstanceID) bool {
	one, found := m.listed[id]
	name := incarnationKey(id, one.Incarnation)
	return found && !one.Leaving && one.Incarnation == m.highest[id] && !m.leaving[name] && !m.failed[name]
}

func TestViewFollowsEvidenceOfTheLatestIncarnationOnly(t *testing.T) {
	const size = 5
	check := func(t *rapid.T) {
		lister := &fakeLister{}
		m := newMembership(lister)
		want := &model{
			highest: map[state.InstanceID]state.Incarnation{},
			leaving: map[string]bool{}, failed: map[string]bool{},
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			one := instance(
				rapid.IntRange(1, size).Draw(t, "instance"),
				state.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			)
			switch rapid.SampledFrom([]string{"list", "down", "empty", "failure", "success", "leaving"}).Draw(t, "step") {
			case "list":
				lister.instances, lister.err = []state.Instance{m.Self()}, nil
				for number := 1; number <= size; number++ {
					if rapid.Bool().Draw(t, "present") {
						entry := instance(number, state.Incarnation(rapid.IntRange(1, 3).Draw(t, "listed")))
						entry.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
						lister.instances = append(lister.instances, entry)
					}
				}
				require.NoError(t, m.Refresh(t.Context()))
				want.applyList(lister.instances)
			case "down":
				lister.err = errDown
				require.ErrorIs(t, m.Refresh(t.Context()), errDown)
			case "empty":
				lister.instances, lister.err = nil, nil
				require.ErrorIs(t, m.Refresh(t.Context()), ErrEmptyList)
			case "failure":
				m.ReportFailure(one.ID, one.Incarnation, errDown)
				want.report(one.ID, one.Incarnation, want.failed, true)
			case "success":
				m.ReportSuccess(one.ID, one.Incarnation)
				want.report(one.ID, one.Incarnation, want.failed, false)
			case "leaving":
				m.ReportLeaving(one.ID, one.Incarnation)
				want.report(one.ID, one.Incarnation, want.leaving, true)
			}
			checkOwners(t, m, want, size)
		}
	}
	synctest.Test(t, func(t *testing.T) { rapid.Check(struct{ rapid.TB }{t}, check) })
}

// checkOwners compares the owners with those that a full sort of the model's
// candidates gives.
func checkOwners(t *rapid.T, m *Membership, want *model, size int) {
	candidates := []state.Instance{m.Self()} // self is always available
	for number := 1; number <= size; number++ {
		if id := instance(number, 1).ID; want.isCandidate(id) {
			candidates = append(candidates, want.listed[id])
		}
	}
	for _, database := range []state.Database{{ID: "db", DataCentre: "dc1"}, {ID: "db", DataCentre: "dc2"}, {ID: "other"}} {
		expected := slices.Clone(candidates)
		slices.SortStableFunc(expected, func(a, b state.Instance) int { return compareOwners(database, a, b) })
		require.Equal(t, expected[:min(maxOwners, len(expected))], m.Owners(database))
		first, found := m.Owner(database)
		require.True(t, found)
		require.Equal(t, expected[0], first)
	}
	for _, peer := range m.SamplePeers(2, rand.New(rand.NewPCG(3, 4))) {
		require.Contains(t, candidates, peer)
		require.NotEqual(t, m.Self().ID, peer.ID)
	}
}

// compareOwners orders two instances for a database: an instance in its data
// centre comes first, then the one with the higher score.
func compareOwners(database state.Database, a, b state.Instance) int {
	if local := a.DataCentre == database.DataCentre; local != (b.DataCentre == database.DataCentre) {
		if local {
			return -1
		}
		return 1
	}
	hash := xxhash.Sum64String(string(database.ID))
	scoreOf := func(one state.Instance) uint64 { return score(xxhash.Sum64String(string(one.ID)), hash) }
	return cmp.Compare(scoreOf(b), scoreOf(a))
}

func TestSuspicionGrowsEndsAndIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &fakeLister{instances: []state.Instance{instance(1, 1)}}
		m := newMembership(lister)
		require.NoError(t, m.Refresh(t.Context()))
		database := state.Database{ID: "db", DataCentre: "dc1"}
		longest := DefaultMinSuspicion
		for range 12 {
			m.ReportFailure("i1", 1, errDown)
			m.ReportFailure("i1", 1, errDown) // a second report of the same fault
			time.Sleep(longest/2 - 1)
			require.Len(t, m.Owners(database), 1)
			time.Sleep(longest/2 + 2)
			require.Len(t, m.Owners(database), 2, "is tried again")
			longest = min(2*longest, DefaultMaxSuspicion)
		}
		m.ReportSuccess("i1", 1)
		m.ReportFailure("i1", 1, errDown)
		time.Sleep(DefaultMinSuspicion + 1)
		require.Len(t, m.Owners(database), 2, "a success starts over")
	})
}

func TestRunKeepsTheLastListWhileThePlatformIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lister := &fakeLister{err: errDown}
		m := newMembership(lister, instance(2, 1))
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() { defer close(ended); m.Run(ctx) }()
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Equal(t, []state.Instance{instance(2, 1)}, m.Peers(), "the seeds until a list was read")
		require.InDelta(t, float64(time.Hour/DefaultListInterval), lister.reads, 40)
		lister.set(fleet(4), nil)
		time.Sleep(2 * DefaultListInterval)
		lister.set(nil, errDown)
		time.Sleep(time.Hour)
		synctest.Wait()
		require.Len(t, m.Peers(), 3)
		require.NotEmpty(t, m.Snapshot().ListError)
		m.SetLeaving()
		require.Len(t, m.Owners(state.Database{ID: "db"}), 3)
		stop()
		<-ended
	})
}

// ownersOf returns the owner of each of 5,400 databases.
func ownersOf(instances []state.Instance) []state.InstanceID {
	v := newView("", instances)
	owners := make([]state.InstanceID, 5_400)
	for number := range owners {
		owner, _ := v.owner(state.Database{
			ID:         state.DatabaseID(fmt.Sprintf("db%d", number)),
			DataCentre: state.DataCentre(fmt.Sprintf("dc%d", number%dataCentres)),
		})
		owners[number] = owner.ID
	}
	return owners
}

// remappedShare returns the share of databases whose owner changes when the
// instances for which isRemoved is true are removed, and checks that no database of
// a remaining instance moves.
func remappedShare(t *testing.T, before []state.InstanceID, instances []state.Instance, isRemoved func(state.Instance) bool) float64 {
	var remaining []state.Instance
	lost := make(map[state.InstanceID]bool)
	for _, one := range instances {
		if isRemoved(one) {
			lost[one.ID] = true
		} else {
			remaining = append(remaining, one)
		}
	}
	after := ownersOf(remaining)
	moved := 0
	for number := range before {
		if before[number] == after[number] {
			continue
		}
		moved++
		if !lost[before[number]] {
			t.Fatalf("database %d moved from %s, which lives", number, before[number])
		}
	}
	return float64(moved) / float64(len(before))
}

func TestRemapMovesOnlyWhatTheLostInstancesOwned(t *testing.T) {
	const size, losses = 1_500, 50
	instances := fleet(size)
	before := ownersOf(instances)
	var total float64
	for number := range losses {
		lost := instances[number*size/losses].ID
		total += remappedShare(t, before, instances, func(one state.Instance) bool { return one.ID == lost })
	}
	t.Logf("one of %d lost: mean share moved %.6f, 1/n is %.6f", size, total/losses, 1.0/size)
	require.InEpsilon(t, 1.0/size, total/losses, 0.25)
	share := remappedShare(t, before, instances, func(one state.Instance) bool { return one.DataCentre == "dc1" })
	t.Logf("one data centre of %d lost: share moved %.4f", dataCentres, share)
	require.InDelta(t, 1.0/dataCentres, share, 0.001)
}

func BenchmarkOwner(b *testing.B) {
	m := newMembership(&fakeLister{}, fleet(1_500)...)
	database := state.Database{ID: "db", DataCentre: "dc1"}
	for b.Loop() {
		_, _ = m.Owner(database)
	}
}

func BenchmarkRefresh(b *testing.B) {
	m := newMembership(&fakeLister{instances: fleet(1_500)})
	for b.Loop() {
		_ = m.Refresh(b.Context())
		_, _ = m.Owner(state.Database{ID: "db", DataCentre: "dc1"})
	}
}
