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
	// failurePenalty is how long a database that failed is tried last.
	failurePenalty = time.Second
	// unknownPositionCost is added to the score of a replica that is not
	// known to hold the floor, for the wait that it may cost.
	unknownPositionCost = 10 * time.Millisecond
)

// databaseScore is what the router has learnt of one database.
type databaseScore struct {
	latency   time.Duration // moving average of a request's time
	inFlight  int
	failedAt  time.Time
	failing   bool
	knownHeld state.Position // highest position that it is known to hold
}

// openRead tries the group's databases in the order of readCandidates.
func (r *Router) openRead(ctx context.Context, group state.Group, request Request) (*Stream, error) {
	var best *state.Failure
	for _, database := range r.readCandidates(group, request) {
		stream, err := r.openAt(ctx, group, database, request)
		if err == nil {
			return stream, nil
		}
		failure, ok := state.AsFailure(err)
		if !ok || !triesElsewhere(failure) {
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

// triesElsewhere reports whether a read refused so may run on another database.
func triesElsewhere(failure *state.Failure) bool {
	return failure.Reason != state.ReasonNotAllowed && failure.Reason != state.ReasonUnsupported
}

// readCandidates orders the databases for a read: replicas before the primary,
// those that failed of late or are to be avoided last, then by expected time.
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
		c := candidate{database: database, cost: score.expected(request.MinPosition)}
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

// expected returns the time that a read is expected to take, with a little
// noise so that instances do not move in step. The caller holds Router.mu.
func (s *databaseScore) expected(floor state.Position) time.Duration {
	cost := s.latency * time.Duration(s.inFlight+1)
	if !s.knownHeld.Covers(floor) {
		cost += unknownPositionCost
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

func (r *Router) noteOpened(id state.DatabaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	score := r.scoreOf(id)
	score.inFlight++
	score.failing = false
}

func (r *Router) noteFailure(id state.DatabaseID, err error) {
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

// RecordHolders records that databases hold a position.
func (r *Router) RecordHolders(position state.Position, databases ...state.DatabaseID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range databases {
		score := r.scoreOf(id)
		score.knownHeld = state.MaxPosition(score.knownHeld, position)
	}
}

// Stream is a stream and the database on which it was opened.
type Stream struct {
	execution.Stream
	Database state.DatabaseID
	// MinPosition is the position that the database was found to hold.
	MinPosition state.Position

	router   *Router
	started  time.Time
	finished bool
}

// Close gives the stream back and takes its time into the database's score.
func (s *Stream) Close() {
	s.Stream.Close()
	if s.finished {
		return
	}
	s.finished = true
	s.router.noteClosed(s.Database, time.Since(s.started))
}

func (r *Router) noteClosed(id state.DatabaseID, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	score := r.scoreOf(id)
	score.inFlight--
	score.latency += time.Duration(latencyWeight * float64(elapsed-score.latency))
}
