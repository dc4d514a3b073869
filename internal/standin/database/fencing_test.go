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

// modelStream is a replication stream with its undelivered frames.
type modelStream struct {
	target  followTarget
	primary *node
	frames  []replicationFrame
	sent    uint64
}

// modelEntry is the content that all copies of an entry must have in common: the
// preceding position and the statement that identifies the write.
type modelEntry struct {
	before state.Position
	text   string
}

// modelPromoter performs one change of primary at a time.
type modelPromoter struct {
	id       state.InstanceID
	term     state.Term
	accepted map[int]state.DatabaseStatus
	promoted int // index of the promoted node; -1 before the promotion
}

// drawIndex draws a number from 0 to n-1 with roughly equal probability. rapid's
// integer ranges prefer small numbers; with them most schedules would not reach a
// majority.
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

// groupModel drives nodes without network or clock. Each action is one step of a
// client, node, stream or promoter; actions run in any order.
type groupModel struct {
	t         *rapid.T
	nodes     []*node
	down      []bool
	streams   [][]*modelStream // by replica; an old stream may still exist after a newer one has ended
	promoters []*modelPromoter
	written   []state.Position
	holders   map[state.Position]map[int]bool // nodes observed to hold the entry while in its term
	acked     map[state.Position]bool
	primaries map[state.Term]int
	content   map[state.Position]modelEntry
	previous  []state.DatabaseStatus // of each node at the previous check
}

func newGroupModel(t *rapid.T) *groupModel {
	m := &groupModel{
		t: t, down: make([]bool, modelNodes), streams: make([][]*modelStream, modelNodes), previous: make([]state.DatabaseStatus, modelNodes),
		holders: map[state.Position]map[int]bool{}, acked: map[state.Position]bool{},
		primaries: map[state.Term]int{}, content: map[state.Position]modelEntry{},
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

// drawNode returns a node that is up. If all are down, it restarts one.
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

// write inserts one row. It also creates the table, since the entry that created
// it may have been lost in a change of term.
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
	common, isPrimary := m.nodes[p].sharedOffset(target.term, target.runs)
	if m.down[p] || !isPrimary {
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
	entries, _, _ := stream.primary.entriesAfter(stream.target.term, stream.sent)
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

// deliverOn delivers the next frame of a stream to its replica, and removes the
// stream if the replica rejects the frame. It reports whether the replica accepted
// a frame.
func (m *groupModel) deliverOn(i int, n *node, streamIndex int) bool {
	stream := m.streams[i][streamIndex]
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
		m.streams[i] = slices.Delete(m.streams[i], streamIndex, streamIndex+1)
	}
	return following
}

// catchUp delivers all entries of the primary to one replica over the replica's
// newest stream.
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
	n.abortOpenWrite()
	m.down[i] = true
	m.streams[i] = nil
}

func (m *groupModel) restart() {
	m.down[drawIndex(m.t, "node", modelNodes)] = false
}

func (m *groupModel) drawPromoter() *modelPromoter {
	return m.promoters[drawIndex(m.t, "promoter", modelPromoters)]
}

// newAttempt starts a change of primary with a new term, which another promoter
// may have chosen as well.
func (m *groupModel) newAttempt() {
	_, n := m.drawNode()
	p := m.drawPromoter()
	term := n.status().Term + 1
	if term <= p.term {
		return
	}
	*p = modelPromoter{id: p.id, term: term, accepted: map[int]state.DatabaseStatus{}, promoted: -1}
}

// fence sends the fence to all nodes that are up; any of the requests may be lost.
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

// follow sends the new primary to the other nodes that are up; any of the requests
// may be lost.
func (m *groupModel) follow() {
	p := m.drawPromoter()
	for i, n := range m.nodes {
		if p.promoted < 0 || p.promoted == i || m.down[i] || rapid.Bool().Draw(m.t, "lost") {
			continue
		}
		_, _ = n.follow(p.term, m.nodes[p.promoted].id, fmt.Sprint(p.promoted))
	}
}

// check asserts the invariants. It runs after each action.
func (m *groupModel) check(t *rapid.T) {
	m.acknowledge()
	for i, n := range m.nodes {
		status := n.status()
		if status.Role != state.RolePrimary {
			continue
		}
		earlier, found := m.primaries[status.Term]
		require.True(t, !found || earlier == i, "two primaries of term %d", status.Term)
		m.primaries[status.Term] = i
		m.requireAcknowledged(t, n)
	}
	m.requireEqualEntries(t)
	m.requireNoDroppedEntries(t)
}

// acknowledge records which nodes hold an entry while in its term. An entry is
// acknowledged once a majority has been recorded, also at different times.
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

// requireAcknowledged checks that a primary holds all entries acknowledged in its
// own term and all earlier terms.
func (m *groupModel) requireAcknowledged(t *rapid.T, primary *node) {
	for position := range m.acked {
		if position.Term > primary.term {
			continue // acknowledged in a later term, of which this primary has not been notified
		}
		held := uint64(len(primary.log)) >= position.Offset && primary.log[position.Offset-1].Position == position
		if !held {
			t.Fatalf("primary %s of term %d lost %s", primary.id, primary.term, position)
		}
	}
}

// requireEqualEntries checks that two logs with an equal position are equal up to
// that position.
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

// requireNoDroppedEntries checks that a node's term never decreases and that a node
// never drops an entry of its current term.
func (m *groupModel) requireNoDroppedEntries(t *rapid.T) {
	for i, n := range m.nodes {
		last, status := m.previous[i], n.status()
		if status.Term < last.Term {
			t.Fatalf("node %d went back to term %d", i, status.Term)
		}
		if last.Log.Term == status.Term && !status.Log.Covers(last.Log) {
			t.Fatalf("node %d dropped entries of its term: %s then %s", i, last.Log, status.Log)
		}
		m.previous[i] = status
	}
}

// checkDataAndClose checks that each copy of the data matches its log, and closes
// the nodes.
func (m *groupModel) checkDataAndClose(t *rapid.T) {
	for _, n := range m.nodes {
		inserts := 0
		for _, entry := range n.log {
			inserts += len(entry.Statements) / 2
		}
		for _, copied := range []*engine{n.reader, n.writer} {
			if inserts > 0 {
				res, err := copied.query("select count(*) from t")
				require.NoError(t, err)
				require.Equal(t, int64(inserts), res.rows[0][0])
			}
		}
		n.close()
	}
}

// Guards against the loss of acknowledged entries: provided that promoters choose
// the node with the highest log position of a fenced majority, no schedule of
// writes, lag, kills, fences, promotions and follows may lose an entry that a
// majority held in its term.
func TestFencingKeepsAcknowledgedEntries(t *testing.T) {
	acked, changes := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		model := newGroupModel(t)
		defer model.checkDataAndClose(t)
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
		changes += len(model.primaries) - 1
	})
	require.Positive(t, acked)
	require.Positive(t, changes)
	t.Logf("%d acknowledged entries, %d changes of primary", acked, changes)
}

// Guards against frames of an old replication stream that arrive after a later term
// has ended the stream: they must change nothing, even if their offsets would match.
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
	n.recordPrimaryContact(stale)
	require.Equal(t, before, n.entries())
	require.Equal(t, contact, n.lastContact)
}
