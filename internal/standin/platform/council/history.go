package council

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// History records the outcomes that clients observed, to be checked against what
// the databases of a group did.
type History struct {
	mu sync.Mutex
	// acknowledged holds the time at which each successful write was acknowledged
	// to its client, by request id.
	acknowledged map[string]time.Time
	// reportedFailed holds the writes whose error code guarantees that they had no
	// effect.
	reportedFailed map[string]state.ErrorCode
	// attempts holds, for each write, all writes of the same transaction attempt.
	attempts map[string][]string
	reads    []ObservedRead
	// sent holds the texts of statements, by request id.
	sent map[string]string
}

// ObservedRead is a read whose result reached its client.
type ObservedRead struct {
	ID string
	// Proof is the database's proof of execution, as the client received it.
	Proof string
	// Started is a time before the read was sent.
	Started     time.Time
	Consistency state.Consistency
	// LastWrite is the id of the session's last acknowledged write, if any.
	LastWrite string
	// Staleness is the route's bound, if it differs from the one that Check is given.
	Staleness time.Duration
}

// timeFormat is the format of times in descriptions of violations.
const timeFormat = "15:04:05.000"

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{acknowledged: make(map[string]time.Time), reportedFailed: make(map[string]state.ErrorCode), attempts: make(map[string][]string), sent: make(map[string]string)}
}

// RecordSent records the text of a statement before it is sent.
func (h *History) RecordSent(id, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent[id] = text
}

// RecordWrites records the outcome of an attempt with the given writes.
func (h *History) RecordWrites(ids []string, code state.ErrorCode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range ids {
		h.attempts[id] = ids
		if code == state.CodeNone {
			h.acknowledged[id] = time.Now()
		} else if code.HasNoEffect() {
			h.reportedFailed[id] = code
		}
	}
}

// RecordRead records a read.
func (h *History) RecordRead(r ObservedRead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reads = append(h.reads, r)
}

// Acknowledged returns the number of acknowledged writes and of successful
// reads.
func (h *History) Acknowledged() (writes, reads int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.acknowledged), len(h.reads)
}

// Check compares the history with what the databases did, and describes each
// violated guarantee. Reads without primary consistency may miss commits younger
// than staleness.
func (h *History) Check(g *Group, staleness time.Duration) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	violations, position := h.checkCommits(g.Commits())
	for _, id := range slices.Sorted(maps.Keys(h.acknowledged)) {
		if _, committed := position[id]; !committed {
			violations = append(violations, fmt.Sprintf("write %s was acknowledged and never committed", id))
		}
	}
	violations = append(violations, h.checkTexts(g.Runs())...)
	return append(violations, h.checkReads(g, position, staleness)...)
}

// checkTexts checks that databases ran the texts that were sent.
func (h *History) checkTexts(runs []Run) (violations []string) {
	for _, run := range runs {
		if run.ID == "-" || run.Reply.Code != state.CodeNone {
			continue
		}
		if text, known := h.sent[run.ID]; !known || !run.Ran(text) {
			violations = append(violations, fmt.Sprintf("%s ran %q as %s at %s, which was sent as %q", run.Database, run.Text, run.ID, run.Received.Format(timeFormat), text))
		}
	}
	return violations
}

// CheckCommits compares the recorded writes with what the databases of a group committed.
func (h *History) CheckCommits(g *Group) (violations []string, position map[string]state.Position) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.checkCommits(g.Commits())
}

// checkCommits checks that each write took effect at most once, that attempts
// were committed as a whole, that no write took effect that was reported as
// without effect, and that no superseded primary acknowledged one. It returns the
// writes' positions.
func (h *History) checkCommits(commits []Commit) (violations []string, position map[string]state.Position) {
	position = make(map[string]state.Position)
	for _, commit := range commits {
		for _, id := range commit.IDs {
			if _, twice := position[id]; twice {
				violations = append(violations, fmt.Sprintf("write %s took effect twice", id))
			}
			position[id] = commit.Position
			if code, promised := h.reportedFailed[id]; promised {
				violations = append(violations, fmt.Sprintf("write %s took effect although its client was told %s", id, code))
			}
			if _, acknowledged := h.acknowledged[id]; acknowledged && commit.Superseded {
				violations = append(violations, fmt.Sprintf("write %s was acknowledged by the superseded primary %s through %s at %s", id, commit.Database, commit.Caller, commit.At.Format(timeFormat)))
			}
		}
		violations = append(violations, h.checkAtomicity(commit)...)
	}
	return violations, position
}

// checkAtomicity checks that a commit holds only writes of one attempt, and all
// of them if it was acknowledged.
func (h *History) checkAtomicity(commit Commit) (violations []string) {
	if len(commit.IDs) == 0 {
		return nil
	}
	attempt, known := h.attempts[commit.IDs[0]]
	if !known {
		return []string{fmt.Sprintf("write %s took effect and was never sent", commit.IDs[0])}
	}
	for _, id := range commit.IDs {
		if !slices.Contains(attempt, id) {
			violations = append(violations, fmt.Sprintf("write %s was committed together with %s of another client", id, commit.IDs[0]))
		}
	}
	if _, acknowledged := h.acknowledged[commit.IDs[0]]; acknowledged && len(commit.IDs) != len(attempt) {
		violations = append(violations, fmt.Sprintf("of the writes %v only %v were committed", attempt, commit.IDs))
	}
	return violations
}

// checkReads checks that no read missed a commit that its consistency level
// requires. Commits that a promotion rolled back are ignored.
func (h *History) checkReads(g *Group, position map[string]state.Position, staleness time.Duration) (violations []string) {
	runs := make(map[string]Read)
	for _, read := range g.Reads() {
		runs[read.Proof] = read
	}
	required := h.minPositions(g.RolledBack(), position)
	for _, read := range h.reads {
		run, ran := runs[read.Proof]
		if !ran || run.ID != read.ID {
			violations = append(violations, fmt.Sprintf("read %s was answered with proof %q, which is not its own", read.ID, read.Proof))
			continue
		}
		bound := read.Started
		if read.Consistency != state.ConsistencyPrimary {
			bound = bound.Add(-cmp.Or(read.Staleness, staleness))
		}
		minimum := required.before(bound)
		if own, held := required.byID[read.LastWrite]; held && read.Consistency == state.ConsistencySession {
			minimum = state.MaxPosition(minimum, own)
		}
		if !run.Applied.Covers(minimum) {
			violations = append(violations, fmt.Sprintf("read %s (%s) at %v of %s through %s at %s, sent at %s, lacks %v", read.ID, read.Consistency, run.Applied, run.Database,
				run.Caller, run.At.Format(timeFormat), read.Started.Format(timeFormat), minimum))
		}
	}
	return violations
}

// minPositions holds the minimum positions that reads must see.
type minPositions struct {
	byID  map[string]state.Position
	times []time.Time
	// highest holds, for each of times, the highest position acknowledged up to
	// that time.
	highest []state.Position
}

// minPositions indexes the acknowledged commits that no promotion rolled back.
func (h *History) minPositions(lost map[state.Position]bool, position map[string]state.Position) minPositions {
	f := minPositions{byID: make(map[string]state.Position)}
	for id := range h.acknowledged {
		if at, committed := position[id]; committed && !lost[at] {
			f.byID[id] = at
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

// before returns the highest position acknowledged before the given time.
func (f minPositions) before(moment time.Time) state.Position {
	n := sort.Search(len(f.times), func(i int) bool { return !f.times[i].Before(moment) })
	if n == 0 {
		return state.Position{}
	}
	return f.highest[n-1]
}

// AcknowledgedAny reports whether one of the writes was acknowledged to its client.
func (h *History) AcknowledgedAny(ids []string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(ids, func(id string) bool { _, acknowledged := h.acknowledged[id]; return acknowledged })
}
