package relay

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// laggingFor is how long a replica is not asked again for a position that it
// lacked, unless it has answered with a later one meanwhile. After more than
// backlogAfter refusals in a row the time doubles: a replica with a long
// backlog would otherwise refuse more questions than it serves reads. Usual
// lags are over by then.
const (
	laggingFor         = 100 * time.Millisecond
	backlogAfter       = 5
	maxLaggingDoubling = 3
)

// progress is what is known of a replica's log.
type progress struct {
	// applied is the last position that an answer showed.
	applied state.Position
	// lacked is a position that it did not have at lackedAt.
	lacked   state.Position
	lackedAt state.Instant
	// refusals counts the positions that it lacked in a row.
	refusals int
}

// pause is how long the replica is not asked for what it lacked.
func (p *progress) pause() time.Duration {
	return laggingFor << min(max(0, p.refusals-backlogAfter), maxLaggingDoubling)
}

// replicas keeps the progress of each replica. Its lock is a leaf.
type replicas struct {
	mu   sync.Mutex
	byID map[state.DatabaseID]progress
}

func newReplicas() replicas {
	return replicas{byID: make(map[state.DatabaseID]progress)}
}

func (r *replicas) applied(id state.DatabaseID, position state.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
	// A replica that was rolled back starts over in a later term.
	p.applied, p.refusals = state.MaxPosition(p.applied, position), 0
	r.byID[id] = p
}

func (r *replicas) lagging(id state.DatabaseID, position state.Position, now state.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
	if p.lackedAt == 0 || now.Sub(p.lackedAt) >= p.pause() {
		// Refusals to statements that were sent together count once.
		p.refusals++
	}
	p.lacked, p.lackedAt = position, now
	r.byID[id] = p
}

// mayHold reports whether a replica is worth asking for a position.
func (r *replicas) mayHold(id state.DatabaseID, position state.Position, now state.Instant) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
	if p.applied.Covers(position) {
		return true
	}
	recently := p.lackedAt != 0 && now.Sub(p.lackedAt) < p.pause()
	return !recently || !position.Covers(p.lacked)
}

func (r *replicas) holds(id state.DatabaseID, position state.Position) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id].applied.Covers(position)
}

// laggingPenalty is added to the cost of a replica that is not known to hold a
// position: a refusal costs a round trip and another try.
const laggingPenalty = 8 * time.Millisecond
