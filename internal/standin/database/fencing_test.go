package database

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	modelNodes     = 3
	modelPromoters = 2
	modelSteps     = 400
	modelIndexBits = 6
)

// modelStream is a replication stream with frames under way.
type modelStream struct {
	target  followTarget
	primary *node
	frames  []replicationFrame
	sent    uint64
}

// modelEntry is what all copies of an entry must agree on.
type modelEntry struct {
	before state.Position
	text   string
}

// modelPromoter is one change of primary under way.
type modelPromoter struct {
	id       state.InstanceID
	term     state.Term
	accepted map[int]state.DatabaseStatus
	promoted int // -1 before
}

// drawIndex draws evenly from 0 to n-1. rapid's own ranges prefer small numbers,
// which would leave most schedules without a majority.
func drawIndex(t *rapid.T, label string, n int) int {
	index := 0
	for range modelIndexBits {
		index *= 2
		if rapid.Bool().Draw(t, label) {
			index++
		}
	}
	return index % n
}

// groupModel drives nodes without network or time: each action is one step of
// one party, in any order.
type groupModel struct {
	t         *rapid.T
	nodes     []*node
	down      []bool
	streams   [][]*modelStream // by replica; an old stream may outlive its successor
	promoters []*modelPromoter
	written   []state.Position
	holders   map[state.Position]map[int]bool // nodes seen to hold an entry in its term
	acked     map[state.Position]bool
	leaders   map[state.Term]int
	content   map[state.Position]modelEntry
	last      []state.DatabaseStatus // of each node at the previous check
}

func newGroupModel(t *rapid.T) *groupModel {
	m := &groupModel{
		t: t, down: make([]bool, modelNodes), streams: make([][]*modelStream, modelNodes), last: make([]state.DatabaseStatus, modelNodes),
		holders: map[state.Position]map[int]bool{}, acked: map[state.Position]bool{},
		leaders: map[state.Term]int{}, content: map[state.Position]modelEntry{},
	}
	for i := range modelNodes {
		n, err := newNode(Options{ID: state.DatabaseID(fmt.Sprint(i)), Term: 1, Primary: i == 0})
		require.NoError(t, err)
		m.nodes = append(m.nodes, n)
		if i > 0 {
			_, err = n.follow(1, "0", "0")
			require.NoError(t, err)
		}
	}
	for i := range modelPromoters {
		m.promoters = append(m.promoters, &modelPromoter{id: state.InstanceID(fmt.Sprint("p", i)), promoted: -1})
	}
	return m
}

// drawNode returns a node that is up, if any is.
func (m *groupModel) drawNode() (int, *node) {
	first := drawIndex(m.t, "node", modelNodes)
	for k := range modelNodes {
		if i := (first + k) % modelNodes; !m.down[i] {
			return i, m.nodes[i]
		}
	}
	m.down[first] = false
	return first, m.nodes[first]
}

// write makes the table too, which an earlier term may have lost.
func (m *groupModel) write() {
	_, n := m.drawNode()
	tx, err := n.beginWrite(context.Background())
	if err != nil {
		return // not the primary
	}
	for _, text := range []string{
		"create table if not exists t (id bigint primary key)",
		fmt.Sprintf("insert into t values (%d)", len(m.written)),
	} {
		_, err = n.run(tx, kindWrite, text, nil)
		require.NoError(m.t, err)
	}
	position, err := n.commit(tx)
	require.NoError(m.t, err)
	m.written = append(m.written, position)
}

func (m *groupModel) connect() {
	i, n := m.drawNode()
	m.connectNode(i, n)
}

func (m *groupModel) connectNode(i int, n *node) {
	target := n.target()
	for _, stream := range m.streams[i] {
		if stream.target.generation == target.generation {
			return
		}
	}
	if !target.following {
		return
	}
	var p int
	_, _ = fmt.Sscan(target.primary, &p)
	common, leads := m.nodes[p].common(target.term, target.runs)
	if m.down[p] || !leads {
		return
	}
	start := replicationFrame{Start: &replicationStart{Common: common}}
	stream := &modelStream{target: target, primary: m.nodes[p], frames: []replicationFrame{start}, sent: common}
	m.streams[i] = append(m.streams[i], stream)
}

func (m *groupModel) send() {
	i, _ := m.drawNode()
	for _, stream := range m.streams[i] {
		m.sendOn(stream)
	}
}

func (m *groupModel) sendOn(stream *modelStream) {
	entries, _, _ := stream.primary.pending(stream.target.term, stream.sent)
	for k := range entries {
		stream.frames = append(stream.frames, replicationFrame{Entry: &entries[k]})
		stream.sent++
	}
}

func (m *groupModel) deliver() {
	i, n := m.drawNode()
	if len(m.streams[i]) > 0 {
		m.deliverOn(i, n, drawIndex(m.t, "stream", len(m.streams[i])))
	}
}

// deliverOn hands over one frame of a stream; a stream that its replica no
// longer takes ends. It reports whether there was one.
func (m *groupModel) deliverOn(i int, n *node, which int) bool {
	stream := m.streams[i][which]
	if len(stream.frames) == 0 {
		return false
	}
	frame := stream.frames[0]
	stream.frames = stream.frames[1:]
	var following bool
	var err error
	if frame.Start != nil {
		following, err = n.truncate(stream.target.generation, frame.Start.Common)
	} else {
		following, err = n.replicate(stream.target.generation, *frame.Entry)
	}
	if err != nil {
		m.t.Fatalf("replicate: %v", err)
	}
	if !following {
		m.streams[i] = slices.Delete(m.streams[i], which, which+1)
	}
	return following
}

// catchUp brings one replica level with its primary, over its newest stream.
func (m *groupModel) catchUp() {
	i, n := m.drawNode()
	m.connectNode(i, n)
	if len(m.streams[i]) == 0 {
		return
	}
	newest := len(m.streams[i]) - 1
	m.sendOn(m.streams[i][newest])
	for m.deliverOn(i, n, newest) {
		m.check(m.t)
	}
}

func (m *groupModel) kill() {
	i, n := m.drawNode()
	n.killed()
	m.down[i] = true
	m.streams[i] = nil
}

func (m *groupModel) restart() {
	m.down[drawIndex(m.t, "node", modelNodes)] = false
}

func (m *groupModel) drawPromoter() *modelPromoter {
	return m.promoters[drawIndex(m.t, "promoter", modelPromoters)]
}

// newAttempt picks a term, which another promoter may have picked as well.
func (m *groupModel) newAttempt() {
	_, n := m.drawNode()
	p := m.drawPromoter()
	term := n.status().Term + 1
	if term <= p.term {
		return
	}
	*p = modelPromoter{id: p.id, term: term, accepted: map[int]state.DatabaseStatus{}, promoted: -1}
}

// fence reaches any of the nodes that are up.
func (m *groupModel) fence() {
	p := m.drawPromoter()
	if p.accepted == nil || p.promoted >= 0 {
		return
	}
	for i, n := range m.nodes {
		if m.down[i] || rapid.Bool().Draw(m.t, "lost") {
			continue
		}
		if status, err := n.fence(p.term, p.id); err == nil {
			p.accepted[i] = status
		}
	}
}

func (m *groupModel) promote() {
	p := m.drawPromoter()
	if len(p.accepted) <= modelNodes/2 || p.promoted >= 0 {
		return
	}
	best := -1
	for i := range modelNodes {
		status, ok := p.accepted[i]
		if ok && (best < 0 || status.Log.Compare(p.accepted[best].Log) > 0) {
			best = i
		}
	}
	if m.down[best] {
		return
	}
	if _, err := m.nodes[best].promote(p.term, p.id); err == nil {
		p.promoted = best
	}
}

// follow reaches any of the nodes that are up.
func (m *groupModel) follow() {
	p := m.drawPromoter()
	for i, n := range m.nodes {
		if p.promoted < 0 || p.promoted == i || m.down[i] || rapid.Bool().Draw(m.t, "lost") {
			continue
		}
		_, _ = n.follow(p.term, m.nodes[p.promoted].id, fmt.Sprint(p.promoted))
	}
}

// check runs after each action.
func (m *groupModel) check(t *rapid.T) {
	m.acknowledge()
	for i, n := range m.nodes {
		status := n.status()
		if status.Role != state.RolePrimary {
			continue
		}
		leader, known := m.leaders[status.Term]
		require.True(t, !known || leader == i, "two primaries of term %d", status.Term)
		m.leaders[status.Term] = i
		m.requireAcknowledged(t, n)
	}
	m.requireEqualEntries(t)
	m.requireGrowth(t)
}

// acknowledge collects which nodes answered that they hold an entry while in
// its term; answers of different moments count together.
func (m *groupModel) acknowledge() {
	for _, position := range m.written {
		for i, n := range m.nodes {
			status := n.status()
			if m.down[i] || status.Term != position.Term || !status.Log.Covers(position) {
				continue
			}
			if m.holders[position] == nil {
				m.holders[position] = map[int]bool{}
			}
			m.holders[position][i] = true
		}
		if len(m.holders[position]) > modelNodes/2 {
			m.acked[position] = true
		}
	}
}

// requireAcknowledged checks that a primary holds what was acknowledged in its
// own and all earlier terms.
func (m *groupModel) requireAcknowledged(t *rapid.T, primary *node) {
	for position := range m.acked {
		if position.Term > primary.term {
			continue // acknowledged by a successor that this primary knows nothing of
		}
		held := uint64(len(primary.log)) >= position.Offset && primary.log[position.Offset-1].Position == position
		if !held {
			t.Fatalf("primary %s of term %d lost %s", primary.id, primary.term, position)
		}
	}
}

// requireEqualEntries checks that logs with an equal position are equal up to
// it.
func (m *groupModel) requireEqualEntries(t *rapid.T) {
	for _, n := range m.nodes {
		before := state.Position{}
		for _, entry := range n.log {
			found := modelEntry{before: before}
			if len(entry.Statements) > 0 {
				found.text = entry.Statements[1].SQL // differs from write to write
			}
			if known, ok := m.content[entry.Position]; ok && known != found {
				t.Fatalf("two entries at %s: %v and %v", entry.Position, known, found)
			}
			m.content[entry.Position] = found
			before = entry.Position
		}
	}
}

// requireGrowth checks that a node never drops an entry of its present term.
func (m *groupModel) requireGrowth(t *rapid.T) {
	for i, n := range m.nodes {
		last, status := m.last[i], n.status()
		if status.Term < last.Term {
			t.Fatalf("node %d went back to term %d", i, status.Term)
		}
		if last.Log.Term == status.Term && !status.Log.Covers(last.Log) {
			t.Fatalf("node %d dropped entries of its term: %s then %s", i, last.Log, status.Log)
		}
		m.last[i] = status
	}
}

// finish checks that every copy's data is what its log makes.
func (m *groupModel) finish(t *rapid.T) {
	for _, n := range m.nodes {
		inserts := 0
		for _, entry := range n.log {
			inserts += len(entry.Statements) / 2
		}
		for _, copied := range []*engine{n.reader, n.writer} {
			if inserts > 0 {
				answer, err := copied.query("select count(*) from t")
				require.NoError(t, err)
				require.Equal(t, int64(inserts), answer.rows[0][0])
			}
		}
		n.close()
	}
}

// No schedule of writes, lag, kills, fences, promotions and follows loses an
// entry that a majority held in its term, provided that promoters choose the
// last log of a fenced majority.
func TestFencingKeepsAcknowledgedEntries(t *testing.T) {
	acked, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		model := newGroupModel(t)
		defer model.finish(t)
		var actions []func()
		for _, weighted := range []struct {
			weight int
			action func()
		}{
			{12, model.write},
			{4, model.connect},
			{6, model.send},
			{12, model.deliver},
			{8, model.catchUp},
			{1, model.kill},
			{5, model.restart},
			{2, model.newAttempt},
			{5, model.fence},
			{4, model.promote},
			{5, model.follow},
		} {
			actions = append(actions, slices.Repeat([]func(){weighted.action}, weighted.weight)...)
		}
		for range modelSteps {
			actions[drawIndex(t, "action", len(actions))]()
			model.check(t)
		}
		acked += len(model.acked)
		changes += len(model.leaders) - 1
	})
	require.Positive(t, acked)
	require.Positive(t, changes)
	t.Logf("%d acknowledged entries, %d changes of primary", acked, changes)
}

// Frames of a stream that a later term has ended must change nothing, even
// where their offsets would fit.
func TestStaleStreamChangesNothing(t *testing.T) {
	n, err := newNode(Options{ID: "d", Term: 1})
	require.NoError(t, err)
	defer n.close()
	_, err = n.follow(1, "a", "a")
	require.NoError(t, err)
	stale := n.target().generation
	following, err := n.replicate(stale, Entry{Position: state.Position{Term: 1, Offset: 1}})
	require.NoError(t, err)
	require.True(t, following)
	_, err = n.follow(2, "b", "b")
	require.NoError(t, err)
	_, err = n.replicate(n.target().generation, Entry{Position: state.Position{Term: 2, Offset: 2}})
	require.NoError(t, err)
	before, contact := n.entries(), n.lastContact
	following, err = n.replicate(stale, Entry{Position: state.Position{Term: 1, Offset: 3}})
	require.NoError(t, err)
	require.False(t, following)
	following, err = n.truncate(stale, 0)
	require.NoError(t, err)
	require.False(t, following)
	n.heard(stale)
	require.Equal(t, before, n.entries())
	require.Equal(t, contact, n.lastContact)
}
