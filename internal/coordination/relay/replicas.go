package relay

import (
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// laggingFor is how long a replica is not asked again for a position that it
// lacked, unless it has answered with a later one meanwhile.
const laggingFor = 100 * time.Millisecond

// progress is what is known of a replica's log.
type progress struct {
	// applied is the last position that an answer showed.
	applied state.Position
	// lacked is a position that it did not have at lackedAt.
	lacked   state.Position
	lackedAt state.Instant
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
	p.applied = state.MaxPosition(p.applied, position)
	r.byID[id] = p
}

func (r *replicas) lagging(id state.DatabaseID, position state.Position, now state.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byID[id]
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
	recently := now.Sub(p.lackedAt) < laggingFor && p.lackedAt != 0
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
