package configuration

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	modelInstances = 4
	modelOperators = 3
)

// model runs instances and operators with injected faults, one step at a time.
type model struct {
	t         *rapid.T
	tables    *fakeTables
	store     *Store
	network   *network
	followers []*Follower
	highest   []state.Revision // highest seen in force in each running process
	operators []operator
	snapshot  map[string]tables.Record
	// restored is set after the platform was restored to a snapshot, until the
	// next edit is accepted.
	restored bool
	edits    int
}

// operator is an operator. pending is its edit whose outcome is unknown, or nil.
type operator struct {
	pending *Edit
}

func instanceID(i int) state.InstanceID {
	return state.InstanceID(fmt.Sprintf("i%03d", i))
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, tables: newFakeTables(), network: newNetwork()}
	m.store = NewStore(m.tables)
	m.followers = make([]*Follower, modelInstances)
	m.highest = make([]state.Revision, modelInstances)
	m.operators = make([]operator, modelOperators)
	for i := range m.followers {
		m.startInstance(i)
	}
	return m
}

func (m *model) startInstance(i int) {
	peers := &fakePeers{own: instanceID(i), network: m.network, random: rand.New(rand.NewPCG(1, uint64(i)))}
	m.followers[i] = NewFollower(m.store, peers, nil, FollowerOptions{}, zerolog.Nop())
	m.network.join(instanceID(i), m.followers[i])
	m.highest[i] = 0
	m.followers[i].start(context.Background())
}

func (m *model) anyInstance() int {
	return rapid.IntRange(0, modelInstances-1).Draw(m.t, "instance")
}

func (m *model) highestInForce() state.Revision {
	var highest state.Revision
	for _, follower := range m.followers {
		highest = max(highest, follower.Digest().Revision)
	}
	return highest
}

func (m *model) change() Change {
	id := state.PlanID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.t, "plan"))
	if rapid.IntRange(0, 4).Draw(m.t, "remove") == 0 {
		return Change{RemovePlans: []state.PlanID{id}, RemoveLimits: []state.PlanID{id}}
	}
	m.edits++
	return Change{
		PutPlans:  []state.Plan{testPlan(id, fmt.Sprint(m.edits))},
		PutLimits: []state.Limit{{Plan: id, MaxConnections: m.edits}},
	}
}

// edit submits a new edit of an operator, or repeats its pending one.
func (m *model) edit() {
	m.editBy(rapid.IntRange(0, modelOperators-2).Draw(m.t, "operator"))
}

// raceEdits submits an edit of the last operator between the read and the write
// of another operator's edit.
func (m *model) raceEdits() {
	m.tables.interrupt = func() { m.editBy(modelOperators - 1) }
	m.edit()
	m.tables.interrupt = nil
}

// dropResponseThenRetryStale drops the response to an operator's edit and repeats
// the edit while reads are stale and the platform no longer has the results of
// earlier transactions.
func (m *model) dropResponseThenRetryStale() {
	stale := maps.Clone(m.tables.records)
	m.tables.dropCommitResponses = 1
	m.editBy(0)
	m.tables.stale = stale
	clear(m.tables.results)
	m.editBy(0)
	m.tables.stale, m.tables.dropCommitResponses = nil, 0
}

func (m *model) editBy(i int) {
	o := &m.operators[i]
	edit := o.pending
	if edit == nil {
		seen := m.followers[m.anyInstance()].Digest().Revision
		edit = &Edit{ID: fmt.Sprintf("edit-%d", m.edits), Base: seen, Change: m.change()}
		m.edits++
		edit.Rebase = rapid.Bool().Draw(m.t, "rebase")
		edit.Restore = rapid.Bool().Draw(m.t, "restore")
	}
	o.pending = m.submit(*edit)
}

// submit submits an edit as the admin endpoint does. It returns the edit to
// repeat if its outcome is unknown, else nil.
func (m *model) submit(edit Edit) *Edit {
	ctx := context.Background()
	entry := m.followers[m.anyInstance()]
	entry.CheckInForce(ctx, 0)
	accepted, err := m.store.Edit(ctx, edit, entry.Current(), nil)
	failure, failed := state.AsFailure(err)
	switch {
	case err == nil:
		m.checkAccepted(edit, accepted)
		entry.Offer(ctx, accepted.Configuration, SourceEdit)
	case failed && failure.Outcome == state.OutcomeUnknown:
		edit.Retry = true
		return &edit
	default:
		require.Empty(m.t, m.commitsOf(edit.ID), "a refused edit must not have been applied: %v", err)
	}
	return nil
}

func (m *model) commitsOf(editID string) []*state.Configuration {
	var commits []*state.Configuration
	for _, configuration := range m.tables.committed {
		if configuration.EditID == editID {
			commits = append(commits, configuration)
		}
	}
	return commits
}

func (m *model) checkAccepted(edit Edit, accepted EditResult) {
	commits := m.commitsOf(edit.ID)
	require.Len(m.t, commits, 1, "an accepted edit is applied exactly once")
	require.Equal(m.t, commits[0].Revision, accepted.Revision)
	for _, plan := range edit.Change.PutPlans {
		limit, _ := commits[0].LimitOf(plan.ID)
		require.Equal(m.t, edit.Change.PutLimits[0].MaxConnections, limit.MaxConnections)
		require.Contains(m.t, commits[0].Plans, plan)
	}
	m.restored = false
}

func (m *model) poll() {
	m.followers[m.anyInstance()].poll(context.Background())
}

func (m *model) gossip() {
	m.followers[m.anyInstance()].gossip(context.Background())
}

// offerOld delivers an older configuration, as a delayed message would.
func (m *model) offerOld() {
	if len(m.tables.committed) == 0 {
		return
	}
	old := rapid.SampledFrom(m.tables.committed).Draw(m.t, "old")
	m.followers[m.anyInstance()].HandleExchange(context.Background(), Exchange{Digest: DigestOf(old), Document: old})
}

func (m *model) partition() {
	a, b := m.anyInstance(), m.anyInstance()
	m.network.setPartition(instanceID(a), instanceID(b), rapid.Bool().Draw(m.t, "cut"))
}

// restart replaces an instance with a new process that holds no configuration.
// After a restore of the platform, it does so only if a reachable peer holds the
// newest revision, because the new process has no other source for it.
func (m *model) restart() {
	i := m.anyInstance()
	if m.restored && !m.isNewestReachable(i) {
		return
	}
	m.startInstance(i)
	for j, follower := range m.followers {
		if m.isReachable(i, j) && follower.Current() != nil {
			require.GreaterOrEqual(m.t, m.followers[i].Digest().Revision, follower.Current().Revision,
				"a new process starts with the newest revision in reach")
		}
	}
}

func (m *model) isReachable(i, j int) bool {
	return j != i && !m.network.partitions[[2]state.InstanceID{instanceID(i), instanceID(j)}]
}

func (m *model) isNewestReachable(i int) bool {
	for j, follower := range m.followers {
		if m.isReachable(i, j) && follower.Digest().Revision == m.highestInForce() {
			return true
		}
	}
	return false
}

func (m *model) toggleDown() { m.tables.down = !m.tables.down }

func (m *model) dropResponses() {
	m.tables.dropResponses = rapid.IntRange(0, 2).Draw(m.t, "lost answers")
	m.tables.dropCommitResponses = rapid.IntRange(0, 2).Draw(m.t, "lost commits")
}

func (m *model) toggleStale() {
	if m.tables.stale != nil {
		m.tables.stale = nil
		return
	}
	m.tables.stale = maps.Clone(m.tables.records)
}

func (m *model) takeSnapshot() { m.snapshot = maps.Clone(m.tables.records) }

// restore brings all instances up to date, completes pending edits, and then
// restores the platform to a snapshot.
func (m *model) restore() {
	if m.snapshot == nil {
		return
	}
	m.heal()
	m.tables.restore(m.snapshot)
	m.restored = true
}

// heal removes all faults, completes pending edits and brings all instances up
// to date.
func (m *model) heal() {
	ctx := context.Background()
	m.tables.down, m.tables.stale, m.tables.dropResponses = false, nil, 0
	m.tables.dropCommitResponses = 0
	m.network.partitions = map[[2]state.InstanceID]bool{}
	for i := range m.operators {
		if m.operators[i].pending != nil {
			require.Nil(m.t, m.submit(*m.operators[i].pending))
			m.operators[i].pending = nil
		}
	}
	for range 2 {
		for _, follower := range m.followers {
			follower.poll(ctx)
			follower.gossip(ctx)
		}
	}
}

func (m *model) check() {
	known := map[Digest]bool{}
	byRevision := map[state.Revision]Digest{}
	for _, configuration := range m.tables.committed {
		digest := DigestOf(configuration)
		known[digest] = true
		earlier, found := byRevision[digest.Revision]
		require.True(m.t, !found || earlier == digest, "a revision has one content")
		byRevision[digest.Revision] = digest
	}
	for i, follower := range m.followers {
		configuration := follower.Current()
		if configuration == nil {
			require.Zero(m.t, m.highest[i])
			continue
		}
		require.GreaterOrEqual(m.t, configuration.Revision, m.highest[i], "the revision in force went down")
		require.True(m.t, known[DigestOf(configuration)], "the lists in force were accepted together")
		m.highest[i] = configuration.Revision
	}
}

func TestAcceptedEditsComeInForceOnceAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := map[string]func(*rapid.T){"": func(*rapid.T) { m.check() }}
		for name, action := range map[string]func(){
			"edit": m.edit, "edit again": m.edit, "race": m.raceEdits, "race again": m.raceEdits, "lose and retry": m.dropResponseThenRetryStale,
			"poll": m.poll, "gossip": m.gossip, "offer old": m.offerOld,
			"cut": m.partition, "restart": m.restart, "down": m.toggleDown, "lose": m.dropResponses,
			"stale": m.toggleStale, "snapshot": m.takeSnapshot, "restore": m.restore,
		} {
			actions[name] = func(*rapid.T) { action() }
		}
		t.Repeat(actions)
		m.heal()
		m.check()
		newest := m.highestInForce()
		if len(m.tables.committed) > 0 && !m.restored {
			require.Equal(t, m.tables.committed[len(m.tables.committed)-1].Revision, newest)
		}
		for _, follower := range m.followers {
			require.Equal(t, newest, follower.Digest().Revision, "healed instances converge")
		}
	})
}

func TestEditRefusesConflictingReusedAndOutdatedEdits(t *testing.T) {
	ctx := context.Background()
	store := NewStore(newFakeTables())
	put := func(id state.PlanID, text string) Change {
		return Change{PutPlans: []state.Plan{testPlan(id, text)}}
	}
	_, err := store.Edit(ctx, Edit{ID: "1", Change: put("a", "first")}, nil, nil)
	require.NoError(t, err)
	_, err = store.Edit(ctx, Edit{ID: "2", Base: 1, Change: put("a", "second")}, nil, nil)
	require.NoError(t, err)

	var conflict *ConflictError
	_, err = store.Edit(ctx, Edit{ID: "3", Base: 1, Rebase: true, Change: put("a", "third")}, nil, nil)
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []Entry{{ListPlans, "a"}}, conflict.Conflicting)
	_, err = store.Edit(ctx, Edit{ID: "4", Base: 1, Change: put("b", "fourth")}, nil, nil)
	require.ErrorAs(t, err, &conflict)
	require.Empty(t, conflict.Conflicting)
	accepted, err := store.Edit(ctx, Edit{ID: "4", Base: 1, Rebase: true, Change: put("b", "fourth")}, nil, nil)
	require.NoError(t, err)
	require.EqualValues(t, 3, accepted.Revision)

	var reused *EditReusedError
	_, err = store.Edit(ctx, Edit{ID: "4", Base: 3, Change: put("c", "other")}, nil, nil)
	require.ErrorAs(t, err, &reused)

	var behind *BehindInForceError
	inForce := &state.Configuration{Revision: 9, Plans: []state.Plan{testPlan("z", "")}}
	_, err = store.Edit(ctx, Edit{ID: "5", Base: 3, Change: put("c", "")}, inForce, nil)
	require.ErrorAs(t, err, &behind)
	accepted, err = store.Edit(ctx, Edit{ID: "5", Base: 9, Restore: true, Change: put("c", "")}, inForce, nil)
	require.NoError(t, err)
	require.EqualValues(t, 10, accepted.Revision)
	require.Len(t, accepted.Configuration.Plans, 2)
	require.False(t, errors.Is(err, context.Canceled))
}
