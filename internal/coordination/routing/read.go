package routing

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// failurePenalty is how long a database stays last in the order of candidates
	// after a failure.
	failurePenalty = time.Second
	// unknownPositionPenalty is added to the expected time of a replica that is
	// not known to hold the minimum position, because the read may have to wait
	// there.
	unknownPositionPenalty = 10 * time.Millisecond
)

// databaseScore holds the router's observations of one database.
type databaseScore struct {
	latency   time.Duration // moving average of the time that a stream is open
	inFlight  int
	failedAt  time.Time
	failing   bool
	knownHeld state.Position // highest position that the database is known to hold
}

// openRead opens a stream on the first of the readCandidates that accepts it.
func (r *Router) openRead(ctx context.Context, group state.Group, request Request) (*Stream, error) {
	var best *state.Failure
	for _, database := range r.readCandidates(group, request) {
		stream, err := r.openAt(ctx, group, database, request)
		if err == nil {
			return stream, nil
		}
		failure, ok := state.AsFailure(err)
		if !ok || !canRetryRead(failure) {
			return nil, err
		}
		if best == nil || failure.RetryAfter < best.RetryAfter {
			best = failure
		}
		if ctx.Err() != nil {
			break
		}
	}
	if best == nil {
		best = state.NotRun(state.ReasonUnreachable, "find replica", string(group.ID), r.options.RetryDelay, nil)
	}
	return nil, best
}

// canRetryRead reports whether a read that failed with failure may be tried on
// another database.
func canRetryRead(failure *state.Failure) bool {
	return failure.Reason != state.ReasonNotAllowed && failure.Reason != state.ReasonUnsupported
}

// readCandidates returns the databases in the order in which to try them for a
// read: replicas, the primary, leaving databases, then those that failed recently
// or are to be avoided. Within each class the lowest expected time comes first.
func (r *Router) readCandidates(group state.Group, request Request) []state.Database {
	primary := r.primaryOf(group)
	now := time.Now()
	type candidate struct {
		database state.Database
		class    int
		cost     time.Duration
	}
	candidates := make([]candidate, 0, len(group.Databases))
	r.mu.Lock()
	for _, database := range group.Databases {
		score := r.scoreOf(database.ID)
		c := candidate{database: database, cost: score.expectedTime(request.MinPosition)}
		switch {
		case database.ID == request.Avoid, score.failing && now.Sub(score.failedAt) < failurePenalty:
			c.class = 3
		case database.Leaving:
			c.class = 2
		case database.ID == primary:
			c.class = 1
		}
		candidates = append(candidates, c)
	}
	r.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.cost, b.cost))
	})
	databases := make([]state.Database, len(candidates))
	for i, c := range candidates {
		databases[i] = c.database
	}
	return databases
}

// expectedTime returns the time that a read is expected to take. It adds some
// random noise so that instances do not all switch databases at once. The caller
// holds Router.mu.
func (s *databaseScore) expectedTime(minPosition state.Position) time.Duration {
	cost := s.latency * time.Duration(s.inFlight+1)
	if !s.knownHeld.Covers(minPosition) {
		cost += unknownPositionPenalty
	}
	return cost + rand.N(cost/10+time.Microsecond)
}

// scoreOf returns the score of a database. The caller holds r.mu.
func (r *Router) scoreOf(id state.DatabaseID) *databaseScore {
	score, found := r.databases[id]
	if !found {
		score = &databaseScore{}
		r.databases[id] = score
	}
	return score
}

func (r *Router) recordOpened(id state.DatabaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	score := r.scoreOf(id)
	score.inFlight++
	score.failing = false
}

func (r *Router) recordFailure(id state.DatabaseID, err error) {
	failure, ok := state.AsFailure(err)
	if ok && (failure.Reason == state.ReasonTooStale || failure.Reason == state.ReasonPlanLimit) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	score := r.scoreOf(id)
	score.failing = true
	score.failedAt = time.Now()
}

// RecordHolders records that the databases hold the position.
func (r *Router) RecordHolders(position state.Position, databases ...state.DatabaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range databases {
		score := r.scoreOf(id)
		score.knownHeld = state.MaxPosition(score.knownHeld, position)
	}
}

// Stream is a stream together with the database on which it was opened.
type Stream struct {
	execution.Stream
	Database state.DatabaseID
	// MinPosition is the request's minimum position, which the database was found
	// to hold.
	MinPosition state.Position

	router   *Router
	started  time.Time
	finished bool
}

// Close releases the stream and adds its duration to the database's moving
// average.
func (s *Stream) Close() {
	s.Stream.Close()
	if s.finished {
		return
	}
	s.finished = true
	s.router.recordClosed(s.Database, time.Since(s.started))
}

func (r *Router) recordClosed(id state.DatabaseID, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	score := r.scoreOf(id)
	score.inFlight--
	score.latency += time.Duration(latencyWeight * float64(elapsed-score.latency))
}
