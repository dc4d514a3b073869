// Package health judges databases by the outcomes of calls made to them.
//
// Locks: Tracker.mu is a leaf.
package health

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// suspectAfterFailures and suspectAfter must both be exceeded since the
	// last success before a database is suspected: one lost packet or one
	// restarted connection is not enough.
	suspectAfterFailures = 3
	suspectAfter         = 600 * time.Millisecond
)

type record struct {
	lastSuccess  state.Instant
	firstFailure state.Instant
	failures     int
	doubted      bool
}

// Tracker keeps the recent outcomes of calls to each database.
type Tracker struct {
	clock state.Clock
	mu    sync.Mutex
	byID  map[state.DatabaseID]*record
}

// NewTracker returns an empty tracker.
func NewTracker(clock state.Clock) *Tracker {
	return &Tracker{clock: clock, byID: make(map[state.DatabaseID]*record)}
}

func (t *Tracker) record(id state.DatabaseID) *record {
	r, ok := t.byID[id]
	if !ok {
		r = &record{}
		t.byID[id] = r
	}
	return r
}

// Success records an answer of the database, be it an error of its own.
func (t *Tracker) Success(id state.DatabaseID) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.lastSuccess, r.failures, r.doubted = now, 0, false
}

// Failure records that the database could not be reached, broke the
// connection off or did not answer in time.
func (t *Tracker) Failure(id state.DatabaseID) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	if r.failures == 0 {
		r.firstFailure = now
	}
	r.failures++
	r.doubted = true
}

// Doubt records that an answer is late, so that the database is probed.
func (t *Tracker) Doubt(id state.DatabaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(id).doubted = true
}

// Doubted reports whether the database has failed or been late since its last
// answer.
func (t *Tracker) Doubted(id state.DatabaseID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return ok && r.doubted
}

// Suspected reports whether the database is to be taken as failed.
func (t *Tracker) Suspected(id state.DatabaseID) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return ok && r.failures >= suspectAfterFailures && now.Sub(r.firstFailure) >= suspectAfter
}

// SilentFor returns how long the database has given no answer; zero where it
// was never asked.
func (t *Tracker) SilentFor(id state.DatabaseID) time.Duration {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok || r.lastSuccess == 0 {
		return 0
	}
	return now.Sub(r.lastSuccess)
}

// Forget drops what is known of a database that is gone.
func (t *Tracker) Forget(id state.DatabaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}
