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
	// suspectAfter is how long a database must have been silent before it is
	// suspected; twice the round trip between regions and the usual work fit
	// into it several times.
	suspectAfter = 500 * time.Millisecond
	// suspectSigns is how many failed calls or late answers there must be
	// without an answer between them, at least one of them a failure: one lost
	// packet or one restarted connection is not enough.
	suspectSigns = 3
)

type record struct {
	lastSuccess state.Instant
	// firstSign, failures and late count since the last success.
	firstSign state.Instant
	failures  int
	late      int
}

// silence is how long the database has given no sign of life, counted from
// its last answer or, before that, from the first failed call.
func (r *record) silence(now state.Instant) time.Duration {
	since := r.lastSuccess
	if since == 0 {
		since = r.firstSign
	}
	return now.Sub(since)
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
	*r = record{lastSuccess: now}
}

// Failure records that the database could not be reached, broke the
// connection off or did not answer in time.
func (t *Tracker) Failure(id state.DatabaseID) {
	t.sign(id, 1, 0)
}

// Warning records that an answer is late, so that the database is probed.
func (t *Tracker) Warning(id state.DatabaseID) {
	t.sign(id, 0, 1)
}

// sign records signs that the database may have failed.
func (t *Tracker) sign(id state.DatabaseID, failures, late int) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.failures += failures
	r.late += late
	if r.firstSign == 0 {
		r.firstSign = now
	}
}

// Degraded reports whether the database has failed or been late since its last
// answer.
func (t *Tracker) Degraded(id state.DatabaseID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return ok && r.failures+r.late > 0
}

// Suspected reports whether the database is to be taken as failed.
func (t *Tracker) Suspected(id state.DatabaseID) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return ok && r.failures > 0 && r.failures+r.late >= suspectSigns && r.silence(now) >= suspectAfter
}

// SilentFor returns how long the database has given no answer. One that was
// never asked has been silent for ever.
func (t *Tracker) SilentFor(id state.DatabaseID) time.Duration {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok {
		return time.Duration(now)
	}
	return now.Sub(r.lastSuccess)
}

// Forget drops what is known of a database that is gone.
func (t *Tracker) Forget(id state.DatabaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}
