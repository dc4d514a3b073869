package council

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// history is what clients were told, to be checked against what databases did.
type history struct {
	mu sync.Mutex
	// acknowledged holds, by id, when a write's success reached its client.
	acknowledged map[string]time.Time
	// promised holds the writes of which nothing was to be kept.
	promised map[string]state.ErrorCode
	reads    []observedRead
}

// observedRead is a read that its client got an answer for.
type observedRead struct {
	id      string
	arrived time.Time
	route   string
	// floor is the session's last acknowledged write, if any.
	floor string
}

func newHistory() *history {
	return &history{acknowledged: make(map[string]time.Time), promised: make(map[string]state.ErrorCode)}
}

// wrote notes the end of an attempt with its writes.
func (h *history) wrote(ids []string, code state.ErrorCode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		if code == state.CodeNone {
			h.acknowledged[id] = time.Now()
		} else if code.KeepsNothing() {
			h.promised[id] = code
		}
	}
}

func (h *history) read(r observedRead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, r)
}

// check compares the history with what the databases did.
func (h *history) check(w *world) {
	h.mu.Lock()
	defer h.mu.Unlock()
	position := make(map[string]state.Position)
	superseded := make(map[string]bool)
	for _, commit := range w.group.Commits() {
		for _, id := range commit.IDs {
			_, twice := position[id]
			require.False(w.t, twice, "write %s took effect twice", id)
			position[id] = commit.Position
			superseded[id] = commit.Superseded
			_, promised := h.promised[id]
			require.False(w.t, promised, "write %s took effect although its client was told %s", id, h.promised[id])
		}
	}
	for id := range h.acknowledged {
		_, committed := position[id]
		require.True(w.t, committed, "write %s was acknowledged and never committed", id)
		require.False(w.t, superseded[id], "write %s was acknowledged by a superseded primary", id)
	}
	h.checkReads(w, position)
}

// checkReads checks that no read missed a commit that it had to see. Commits
// that a promotion rolled back do not count.
func (h *history) checkReads(w *world, position map[string]state.Position) {
	saw := make(map[string]state.Position)
	for _, read := range w.group.Reads() {
		saw[read.ID] = read.Applied // the last run gave the answer
	}
	floors := h.floors(w.group.Lost(), position)
	for _, read := range h.reads {
		seen, ran := saw[read.id]
		require.True(w.t, ran, "read %s was answered and never ran", read.id)
		bound := read.arrived
		if read.route != "desk" {
			bound = bound.Add(-maxStaleness)
		}
		must := floors.before(bound)
		if own, held := floors.byID[read.floor]; held && read.route == "cab" {
			must = state.MaxPosition(must, own)
		}
		require.True(w.t, seen.Covers(must), "read %s (%s) at %v lacks %v", read.id, read.route, seen, must)
	}
}

// floors are the positions that reads must see.
type floors struct {
	byID  map[string]state.Position
	times []time.Time
	// highest holds, for each of times, the highest position acknowledged up
	// to then.
	highest []state.Position
}

// floors collects the acknowledged commits that no promotion rolled back.
func (h *history) floors(lost map[state.Position]bool, position map[string]state.Position) floors {
	f := floors{byID: make(map[string]state.Position)}
	for id := range h.acknowledged {
		if !lost[position[id]] {
			f.byID[id] = position[id]
		}
	}
	ids := slices.SortedFunc(maps.Keys(f.byID), func(a, b string) int { return h.acknowledged[a].Compare(h.acknowledged[b]) })
	var highest state.Position
	for _, id := range ids {
		highest = state.MaxPosition(highest, f.byID[id])
		f.times, f.highest = append(f.times, h.acknowledged[id]), append(f.highest, highest)
	}
	return f
}

// before returns the highest position acknowledged before a moment.
func (f floors) before(moment time.Time) state.Position {
	n := sort.Search(len(f.times), func(i int) bool { return !f.times[i].Before(moment) })
	if n == 0 {
		return state.Position{}
	}
	return f.highest[n-1]
}
