// Package health detects failed databases from the outcomes of the calls made
// to them.
//
// Locks: Tracker.mu is a leaf.
package health

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// suspectAfter is how long a database must have sent no reply before it is
	// suspected. Two round trips between regions and the usual work fit into
	// it several times.
	suspectAfter = 500 * time.Millisecond
	// suspectThreshold is how many failures and warnings without a reply
	// between them make a database suspected, at least one of them a failure.
	// One lost packet or one restarted connection is not enough.
	suspectThreshold = 3
)

// record holds the outcomes of the calls to one database since its last reply.
type record struct {
	lastSuccess state.Instant
	// failingSince is the time of the first failure or warning since the last
	// success; failures and warnings count those since then.
	failingSince state.Instant
	failures     int
	warnings     int
}

// sinceLastReply returns the time since the database's last reply, or before
// its first reply the time since the first failure or warning.
func (r *record) sinceLastReply(now state.Instant) time.Duration {
	since := r.lastSuccess
	if since == 0 {
		since = r.failingSince
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

// RecordSuccess records a reply of the database, which may be an error.
func (t *Tracker) RecordSuccess(id state.DatabaseID) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	*r = record{lastSuccess: now}
}

// RecordFailure records that the database could not be reached, closed the connection
// or did not reply in time.
func (t *Tracker) RecordFailure(id state.DatabaseID) {
	t.count(id, 1, 0)
}

// RecordWarning records a sign that the database may have failed, such as a late
// reply or a refused connection. It makes the database Degraded, and so it is
// probed; warnings alone never make it Suspected.
func (t *Tracker) RecordWarning(id state.DatabaseID) {
	t.count(id, 0, 1)
}

// count adds failures and warnings to a database's record.
func (t *Tracker) count(id state.DatabaseID, failures, warnings int) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record(id)
	r.failures += failures
	r.warnings += warnings
	if r.failingSince == 0 {
		r.failingSince = now
	}
}

// Degraded reports whether there has been a failure or warning since the
// database's last reply.
func (t *Tracker) Degraded(id state.DatabaseID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return ok && r.failures+r.warnings > 0
}

// Suspected reports whether the database is considered failed.
func (t *Tracker) Suspected(id state.DatabaseID) bool {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	return ok && r.failures > 0 && r.failures+r.warnings >= suspectThreshold && r.sinceLastReply(now) >= suspectAfter
}

// SinceLastReply returns the time since the database's last reply, or since the
// clock's start if none is recorded.
func (t *Tracker) SinceLastReply(id state.DatabaseID) time.Duration {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byID[id]
	if !ok {
		return time.Duration(now)
	}
	return now.Sub(r.lastSuccess)
}

// Remove drops the record of a database that is no longer registered.
func (t *Tracker) Remove(id state.DatabaseID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byID, id)
}
