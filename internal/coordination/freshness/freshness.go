// Package freshness bounds the staleness of a replica's data. If a group's
// primary replies to a request sent at time t with its log at position P, every
// commit acknowledged before t is at or before P. A replica whose log covers P
// therefore has every commit acknowledged before t.
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
	// minObservationInterval is the least time between two observations that
	// are kept. It is far below the staleness bounds of routes, which are
	// seconds.
	minObservationInterval = 20 * time.Millisecond
	// retention is how long observations are kept; a route with a longer
	// staleness bound uses the oldest one kept.
	retention = 5 * time.Second
)

// observation is the log position in the primary's reply to a request sent at
// requestedAt.
type observation struct {
	requestedAt state.Instant
	position    state.Position
}

// Tracker keeps recent observations of each group's primary, in the order of
// their requests.
type Tracker struct {
	mu     sync.Mutex
	groups map[state.GroupID][]observation
	// newest holds the last position of each group, also if it is not kept in groups,
	// acknowledged that up to which commits are known to be acknowledged.
	newest, acknowledged map[state.GroupID]state.Position
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{groups: make(map[state.GroupID][]observation), newest: make(map[state.GroupID]state.Position), acknowledged: make(map[state.GroupID]state.Position)}
}

// Observe records that the primary replied to a request sent at requestedAt
// with its log at position. The caller must have held the group's lease at
// requestedAt.
func (t *Tracker) Observe(group state.GroupID, requestedAt state.Instant, position state.Position) {
	if position.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest[group] = state.MaxPosition(t.newest[group], position)
	history := t.groups[group]
	if n := len(history); n > 0 && requestedAt < history[n-1].requestedAt.Add(minObservationInterval) {
		return
	}
	oldest := requestedAt.Add(-retention)
	drop := sort.Search(len(history), func(i int) bool { return history[i].requestedAt >= oldest })
	history = append(history[:0], history[drop:]...)
	t.groups[group] = append(history, observation{requestedAt: requestedAt, position: position})
}

// InsertObserved records an observation made by another instance, which may be
// older than the observations already kept.
func (t *Tracker) InsertObserved(group state.GroupID, requestedAt state.Instant, position state.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest[group] = state.MaxPosition(t.newest[group], position)
	history := t.groups[group]
	index := sort.Search(len(history), func(i int) bool { return history[i].requestedAt >= requestedAt })
	if index < len(history) && history[index].requestedAt < requestedAt.Add(minObservationInterval) {
		return
	}
	t.groups[group] = slices.Insert(history, index, observation{requestedAt: requestedAt, position: position})
}

// MinPosition returns the earliest known position that covers every commit
// acknowledged before notBefore: a replica whose log covers it is fresh enough.
// It returns false if none is known.
func (t *Tracker) MinPosition(group state.GroupID, notBefore state.Instant) (state.Position, bool) {
	_, position, known := t.Earliest(group, notBefore)
	return position, known
}

// NewestPosition returns the last position of a group's primary that was observed, zero if
// there is none.
func (t *Tracker) NewestPosition(group state.GroupID) state.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest[group]
}

// Acknowledge records that a commit was acknowledged which was sent when NewestPosition
// returned the given position: it lies after that. The position in its reply may lie after
// later commits, which are not acknowledged yet.
func (t *Tracker) Acknowledge(group state.GroupID, before, reply state.Position) {
	at := state.Position{Term: reply.Term}
	if before.Term == reply.Term {
		at.Offset = min(before.Offset+1, reply.Offset)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acknowledged[group] = state.MaxPosition(t.acknowledged[group], at)
}

// Acknowledged returns a position up to which all commits of a group that this instance has
// seen are acknowledged, zero if none is known.
func (t *Tracker) Acknowledged(group state.GroupID) state.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acknowledged[group]
}

// Newest returns the request time of the newest observation. The position of
// that observation covers every commit acknowledged before that time.
func (t *Tracker) Newest(group state.GroupID) (state.Instant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	history := t.groups[group]
	if len(history) == 0 {
		return 0, false
	}
	return history[len(history)-1].requestedAt, true
}

// Earliest returns the position that MinPosition returns, with the time before
// which it covers every acknowledged commit.
func (t *Tracker) Earliest(group state.GroupID, notBefore state.Instant) (state.Instant, state.Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	history := t.groups[group]
	i := sort.Search(len(history), func(i int) bool { return history[i].requestedAt >= notBefore })
	if i == len(history) {
		return 0, state.Position{}, false
	}
	return history[i].requestedAt, history[i].position, true
}
