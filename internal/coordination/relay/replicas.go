package relay

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// laggingPause is how long a replica is not tried again for a position that it
// lacked, unless it has replied with a later one meanwhile. After more than
// backlogRefusals consecutive refusals the pause doubles with each further one,
// at most maxPauseDoublings times: a replica with a long backlog would otherwise
// refuse more reads than it serves. The usual replication lag is over by then.
const (
	laggingPause      = 100 * time.Millisecond
	backlogRefusals   = 5
	maxPauseDoublings = 3
)

// replicaProgress is what this instance has observed of a replica's log.
type replicaProgress struct {
	// applied is the highest position that the replica has replied with.
	applied state.Position
	// missing is a position that the replica had not applied at missingAt.
	missing   state.Position
	missingAt state.Instant
	// refusals counts the consecutive refusals because of lag.
	refusals int
}

// pause returns how long the replica is not tried again for a position that it
// lacked.
func (p *replicaProgress) pause() time.Duration {
	return laggingPause << min(max(0, p.refusals-backlogRefusals), maxPauseDoublings)
}

// replicaPositions holds the progress of each replica. No other lock is taken
// while mu is held.
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
	// A replica whose log was rolled back continues in a later term, so the
	// maximum is right for it too.
	p.applied, p.refusals = state.MaxPosition(p.applied, position), 0
	r.byID[id] = p
}

func (r *replicaPositions) recordLagging(id state.DatabaseID, position state.Position, now state.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
	if p.missingAt == 0 || now.Sub(p.missingAt) >= p.pause() {
		// Refusals of statements that were sent together count once.
		p.refusals++
	}
	p.missing, p.missingAt = position, now
	r.byID[id] = p
}

// mayHold reports whether a replica may have applied a position: it is known to
// have applied it, or has not refused it recently.
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

// laggingPenalty is added to the cost of a replica that is not known to have
// applied the minimum position: a refusal costs a round trip and another attempt.
const laggingPenalty = 8 * time.Millisecond
