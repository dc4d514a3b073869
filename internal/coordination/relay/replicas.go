package relay

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// laggingPause is how long a replica is not asked again for a position that it
// lacked, unless it has answered with a later one meanwhile. After more than
// backlogRefusals refusals in a row the time doubles: a replica with a long
// backlog would otherwise refuse more questions than it serves reads. Usual
// lags are over by then.
const (
	laggingPause      = 100 * time.Millisecond
	backlogRefusals   = 5
	maxPauseDoublings = 3
)

// replicaProgress is what is known of a replica's log.
type replicaProgress struct {
	// applied is the last position that an answer showed.
	applied state.Position
	// missing is a position that it did not have at lackedAt.
	missing   state.Position
	missingAt state.Instant
	// refusals counts the positions that it lacked in a row.
	refusals int
}

// pause is how long the replica is not asked for what it lacked.
func (p *replicaProgress) pause() time.Duration {
	return laggingPause << min(max(0, p.refusals-backlogRefusals), maxPauseDoublings)
}

// replicaPositions keeps the progress of each replica. Its lock is a leaf.
type replicaPositions struct {
	mu   sync.Mutex
	byID map[state.DatabaseID]replicaProgress
}

func newReplicaPositions() replicaPositions {
	return replicaPositions{byID: make(map[state.DatabaseID]replicaProgress)}
}

func (r *replicaPositions) recordApplied(id state.DatabaseID, position state.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
	// A replica that was rolled back starts over in a later term.
	p.applied, p.refusals = state.MaxPosition(p.applied, position), 0
	r.byID[id] = p
}

func (r *replicaPositions) recordLagging(id state.DatabaseID, position state.Position, now state.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
	if p.missingAt == 0 || now.Sub(p.missingAt) >= p.pause() {
		// Refusals to statements that were sent together count once.
		p.refusals++
	}
	p.missing, p.missingAt = position, now
	r.byID[id] = p
}

// mayHold reports whether a replica is worth asking for a position.
func (r *replicaPositions) mayHold(id state.DatabaseID, position state.Position, now state.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
	if p.applied.Covers(position) {
		return true
	}
	recently := p.missingAt != 0 && now.Sub(p.missingAt) < p.pause()
	return !recently || !position.Covers(p.missing)
}

func (r *replicaPositions) holds(id state.DatabaseID, position state.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id].applied.Covers(position)
}

// laggingPenalty is added to the cost of a replica that is not known to hold a
// position: a refusal costs a round trip and another try.
const laggingPenalty = 8 * time.Millisecond
