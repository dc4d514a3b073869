package relay

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// readOption is a database that may serve a read.
type readOption struct {
	server state.Server
	// primary is set for the group's primary. It needs a grant, but no minimum
	// position.
	primary bool
	// saturated is set if a statement would have to wait for a connection.
	saturated bool
	cost      time.Duration
}

// primaryReadFactor and primaryReadPenalty raise the cost of the primary, so
// that reads prefer replicas: only the primary can serve writes, and other
// instances use it too. The penalty is about the time of two statements at a
// busy database.
const (
	primaryReadFactor  = 2
	primaryReadPenalty = 40 * time.Millisecond
)

// readOptions lists the databases that may serve a read, the cheapest first.
type readOptions struct {
	options []readOption
	// minPosition is the position that a replica's log must cover.
	minPosition state.Position
	// behind is set if a replica was left out because it recently lacked the
	// position.
	behind bool
	// unproven is set if replicas were left out because no position is known
	// that covers every commit that the read must see.
	unproven bool
}

// primaryAvailable reports whether the primary can serve a read without delay.
func (c *readOptions) primaryAvailable() bool {
	return slices.ContainsFunc(c.options, func(option readOption) bool { return option.primary && !option.saturated })
}

// readOptions returns the databases that may serve a read now. If replicas were
// left out because no position is known, and the primary can't serve the read
// without delay, it requests a position from other instances.
func (s *Session) readOptions(r *request) readOptions {
	e := s.engine
	now := e.Clock.Now()
	notBefore := s.notBefore(r)
	minPosition, known := e.Freshness.MinPosition(r.route.Group, notBefore)
	minPosition = state.MaxPosition(minPosition, s.sessionMinPosition(r))
	primary, _ := e.Leadership.Primary(r.route.Group)
	found := readOptions{minPosition: minPosition}
	for _, entry := range e.Directory.Servers(r.route.Group) {
		suspected := e.Health.Suspected(entry.ID)
		if entry.Leaving && entry.ID != primary || suspected && !s.canTunnel(r, entry.ID, primary) {
			continue
		}
		pool := e.Pools.Pool(entry.Server)
		candidate := readOption{server: entry.Server, primary: entry.ID == primary, cost: pool.Cost(r.workspace), saturated: pool.Saturated(r.workspace)}
		switch {
		case candidate.primary:
			candidate.cost = candidate.cost*primaryReadFactor + primaryReadPenalty
		case !known:
			found.unproven = true
			continue
		case !e.replicas.mayHold(entry.ID, minPosition, now):
			found.behind = true
			continue
		case !e.replicas.holds(entry.ID, minPosition):
			candidate.cost += laggingPenalty
		}
		if e.inOtherRegion(entry.DataCentre) {
			candidate.cost += crossRegionPenalty
		}
		if suspected || e.Health.Degraded(entry.ID) {
			candidate.cost += degradedPenalty
		}
		found.options = append(found.options, candidate)
	}
	if found.unproven && !found.primaryAvailable() {
		e.Freshness.RequestPosition(r.route.Group, notBefore)
	}
	slices.SortStableFunc(found.options, func(a, b readOption) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// notBefore returns the time before which a read must see every acknowledged
// commit.
func (s *Session) notBefore(r *request) state.Instant {
	return r.arrivedAt.Add(stalenessMargin - r.route.MaxStaleness)
}

// canTunnel reports whether a database that can't be reached from this instance
// may be used through another one. Only the primary may: a suspected replica
// can be replaced by another replica.
func (s *Session) canTunnel(r *request, id, primary state.DatabaseID) bool {
	return id == primary && len(s.engine.Leadership.PeersReachingPrimary(r.route.Group)) > 0
}

// crossRegionPenalty is added to the cost of a database in another region. It
// keeps reads within the region until its databases are busy: traffic between
// regions costs more than the time in a short queue.
const crossRegionPenalty = 60 * time.Millisecond

// degradedPenalty is added to the cost of a suspected database, and of one with a
// failure or warning since its last reply. Such a database sorts last.
const degradedPenalty = 500 * time.Millisecond

// catchUpPause is the time between two rounds of attempts while replicas apply
// the commits that a read must see. The usual replication lag is 8 to 100 ms.
const catchUpPause = 25 * time.Millisecond

// minPositionWait is how long a read waits for a position from other instances:
// two rounds of requests, each a round trip between regions.
const minPositionWait = 100 * time.Millisecond

// runRead runs a single read on a route with bounded or session consistency.
func (s *Session) runRead(r *request) state.Reply {
	return s.tryReadOptions(r, s.tryRead)
}

// tryReadOptions calls try with each database that may serve the read until try
// returns false for retry. While all databases are behind or saturated, it
// repeats the round: a replica usually catches up sooner than the queue of a
// saturated primary shortens.
func (s *Session) tryReadOptions(r *request, try func(*request, readOption, state.Position) (reply state.Reply, retry bool)) state.Reply {
	last := r.busyReply("no database can serve the read", retryAfterChange)
	for round := 0; ; round++ {
		found := s.readOptions(r)
		if found.unproven && round == 0 {
			s.engine.Freshness.AwaitPosition(s.engine.ctx, r.route.Group, s.notBefore(r))
			found = s.readOptions(r)
		}
		r.minPosition = found.minPosition
		behind := found.behind || found.unproven && time.Since(r.started) < minPositionWait
		for _, option := range found.options {
			if option.primary && option.saturated && behind && time.Until(r.queueDeadline()) > r.queueTime()/4 {
				continue
			}
			reply, retry := try(r, option, found.minPosition)
			if !retry {
				return reply
			}
			behind = behind || isLagging(r.lastError)
			last = reply
		}
		if len(found.options) == 0 && !behind || time.Until(r.queueDeadline()) < 2*catchUpPause {
			return last
		}
		time.Sleep(catchUpPause)
	}
}

// isLagging reports whether err is a replica's refusal because it is behind.
func isLagging(err error) bool {
	var refused *pooling.RefusedError
	return errors.As(err, &refused) && refused.Code == state.CodeLagging
}

// tryRead runs a read on one database. retry is true if another database may
// serve it.
func (s *Session) tryRead(r *request, option readOption, minPosition state.Position) (reply state.Reply, retry bool) {
	if option.primary {
		return s.tryReadOnPrimary(r)
	}
	r.server, r.role = option.server.ID, "replica"
	pool := s.engine.Pools.Pool(option.server)
	conn, err := s.acquireConn(r, pool, r.queueDeadline())
	if err != nil {
		reply, _ = s.unsentReply(r, err)
		return reply, true
	}
	sent := time.Now()
	reply, err = pool.Run(conn, r.databaseStatement(minPosition), r.attemptDeadline(pool))
	r.ran = time.Since(sent)
	pool.Release(conn, reusable(reply, err))
	if err != nil {
		return s.failedReply(r, err)
	}
	return s.handleReplicaReply(r, pool, option.server.ID, minPosition, reply)
}

func (s *Session) tryReadOnPrimary(r *request) (reply state.Reply, retry bool) {
	grant, err := s.engine.Leadership.Acquire(r.route.Group)
	if err != nil {
		r.lastError = err
		return r.busyReply("no primary is available", retryAfter(err)), true
	}
	defer grant.Release()
	reply, retry = s.tryPrimary(r, grant)
	return reply, retry || reply.Code == state.CodeBusy
}

// handleReplicaReply records the replica's progress from its reply and decides
// whether another database may serve the read.
func (s *Session) handleReplicaReply(r *request, pool *pooling.Pool, id state.DatabaseID, minPosition state.Position, reply state.Reply) (state.Reply, bool) {
	switch reply.Code {
	case state.CodeNone:
		s.engine.replicas.recordApplied(id, reply.Position)
		return reply, false
	case state.CodeLagging:
		s.engine.replicas.recordLagging(id, minPosition, s.engine.Clock.Now())
		r.recordRefusal(reply)
		return r.busyReply("the replica is behind", retryAfterChange), true
	case state.CodeBusy, state.CodeMisdirected:
		r.recordRefusal(reply)
		return r.busyReply("the database is overloaded", pool.Cost(r.workspace)), true
	default:
		return reply, false
	}
}
