// Package freshness proves how fresh a replica's data is. An answer of a
// group's primary that ends at position P, to a question sent at time t, shows
// that every commit acknowledged before t is at or before P. A replica whose
// log covers P therefore lacks nothing acknowledged before t.
//
// Locks: Tracker.mu is a leaf.
package freshness

import (
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// spacing thins out observations; it is far below the staleness bounds
	// that routes set, which are seconds.
	spacing = 20 * time.Millisecond
	// retention is how long observations are kept; a route with a longer
	// staleness bound uses the oldest one kept.
	retention = 5 * time.Second
)

type observation struct {
	asked    state.Instant
	position state.Position
}

// Tracker keeps recent observations of each group's primary.
type Tracker struct {
	mu     sync.Mutex
	groups map[state.GroupID][]observation
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{groups: make(map[state.GroupID][]observation)}
}

// Observe records that the primary answered a question sent at asked with its
// log at position. The caller must have held the group's lease at asked.
func (t *Tracker) Observe(group state.GroupID, asked state.Instant, position state.Position) {
	if position.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	history := t.groups[group]
	if n := len(history); n > 0 && asked < history[n-1].asked.Add(spacing) {
		return
	}
	oldest := asked.Add(-retention)
	drop := sort.Search(len(history), func(i int) bool { return history[i].asked >= oldest })
	history = append(history[:0], history[drop:]...)
	t.groups[group] = append(history, observation{asked: asked, position: position})
}

// InsertObserved records an observation that another instance has made, which may be
// older than those known here.
func (t *Tracker) InsertObserved(group state.GroupID, asked state.Instant, position state.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	history := t.groups[group]
	at := sort.Search(len(history), func(i int) bool { return history[i].asked >= asked })
	if at < len(history) && history[at].asked < asked.Add(spacing) {
		return
	}
	t.groups[group] = slices.Insert(history, at, observation{asked: asked, position: position})
}

// MinPosition returns the earliest known position that covers every commit
// acknowledged before notBefore. It is false where none is known.
func (t *Tracker) MinPosition(group state.GroupID, notBefore state.Instant) (state.Position, bool) {
	_, position, known := t.Earliest(group, notBefore)
	return position, known
}

// Newest returns the latest moment up to which a position is known that covers
// commits.
func (t *Tracker) Newest(group state.GroupID) (state.Instant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	history := t.groups[group]
	if len(history) == 0 {
		return 0, false
	}
	return history[len(history)-1].asked, true
}

// Earliest returns that position with the moment up to which it covers commits.
func (t *Tracker) Earliest(group state.GroupID, notBefore state.Instant) (state.Instant, state.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	history := t.groups[group]
	i := sort.Search(len(history), func(i int) bool { return history[i].asked >= notBefore })
	if i == len(history) {
		return 0, state.Position{}, false
	}
	return history[i].asked, history[i].position, true
}
