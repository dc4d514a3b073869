package council

import (
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
	saw := make(map[string][]state.Position)
	for _, read := range w.group.Reads() {
		saw[read.ID] = append(saw[read.ID], read.Applied)
	}
	leader := w.group.Leader()
	for _, read := range h.reads {
		runs := saw[read.id]
		require.NotEmpty(w.t, runs, "read %s was answered and never ran", read.id)
		last := runs[len(runs)-1]
		bound := read.arrived
		if read.route != "desk" {
			bound = bound.Add(-maxStaleness)
		}
		for id, at := range h.acknowledged {
			must := at.Before(bound) || read.route == "cab" && id == read.floor
			if must && leader.Holds(position[id]) {
				require.True(w.t, last.Covers(position[id]), "read %s (%s) at %v lacks write %s at %v, acknowledged %s before",
					read.id, read.route, last, id, position[id], read.arrived.Sub(at))
			}
		}
	}
}
