package relay

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// choice is one database that may serve a read.
type choice struct {
	server state.Server
	// primary needs a grant, but no position.
	primary bool
	// crowded tells that a statement would have to wait for a connection.
	crowded bool
	cost    time.Duration
}

// primaryReadFactor and primaryReadPenalty make reads prefer replicas, because
// only the primary can serve writes, and other instances need it too. The
// penalty is about two statements at a busy database.
const (
	primaryReadFactor  = 2
	primaryReadPenalty = 40 * time.Millisecond
)

// choices are the databases that may serve a read, the cheapest first.
type choices struct {
	options []choice
	// need is the position that a replica must hold.
	need state.Position
	// behind tells that a replica was left out because it lacked the position
	// a moment ago.
	behind bool
	// unproven tells that replicas were left out because no position is known
	// that covers what the read must see.
	unproven bool
}

// primaryFree reports whether the primary can serve at once.
func (c *choices) primaryFree() bool {
	return slices.ContainsFunc(c.options, func(option choice) bool { return option.primary && !option.crowded })
}

// choices returns the databases that may serve a read now.
func (s *Session) choices(r *request) choices {
	e := s.engine
	now := e.Clock.Now()
	notBefore := r.arrived.Add(proofMargin - r.route.MaxStaleness)
	need, proven := e.Freshness.MinPosition(r.route.Group, notBefore)
	need = state.MaxPosition(need, s.sessionFloor(r))
	primary, _ := e.Leadership.Primary(r.route.Group)
	found := choices{need: need}
	for _, entry := range e.Directory.Servers(r.route.Group) {
		suspected := e.Health.Suspected(entry.ID)
		if entry.Leaving && entry.ID != primary || suspected && !s.detourable(r, entry.ID, primary) {
			continue
		}
		pool := e.Pools.Pool(entry.Server)
		candidate := choice{server: entry.Server, primary: entry.ID == primary, cost: pool.Cost(), crowded: pool.Crowded()}
		switch {
		case candidate.primary:
			candidate.cost = candidate.cost*primaryReadFactor + primaryReadPenalty
		case !proven:
			found.unproven = true
			continue
		case !e.replicas.mayHold(entry.ID, need, now):
			found.behind = true
			continue
		case !e.replicas.holds(entry.ID, need):
			candidate.cost += laggingPenalty
		}
		if e.distant(entry.DataCentre) {
			candidate.cost += distancePenalty
		}
		if suspected || e.Health.Degraded(entry.ID) {
			candidate.cost += doubtPenalty
		}
		found.options = append(found.options, candidate)
	}
	if found.unproven && !found.primaryFree() {
		e.Freshness.RequestPosition(r.route.Group, notBefore)
	}
	slices.SortStableFunc(found.options, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// detourable reports whether a database that can't be reached from here may be
// used through another instance. Other replicas are tried before a suspected
// one, and the primary has no other.
func (s *Session) detourable(r *request, id, primary state.DatabaseID) bool {
	return id == primary && len(s.engine.Leadership.Reaching(r.route.Group)) > 0
}

// distancePenalty keeps reads within the region until its database is busy:
// bytes between regions cost more than the time of a short queue.
const distancePenalty = 60 * time.Millisecond

// doubtPenalty puts a database last that is late with an answer.
const doubtPenalty = 500 * time.Millisecond

// catchUpPause is the time between two rounds of tries while replicas apply
// what a read must see: usual lags are 8 to 100 ms.
const catchUpPause = 25 * time.Millisecond

// proofWait is how long other instances are given to tell a position: two
// rounds of questions, each a round trip between regions.
const proofWait = 100 * time.Millisecond

// runRead answers a single read of a bounded or session route.
func (s *Session) runRead(r *request) state.Reply {
	return s.tryChoices(r, s.tryRead)
}

// tryChoices tries the databases that may serve a read until try no longer
// asks for another. While all are behind or crowded, it tries them again: a
// replica usually catches up sooner than a crowded primary's queue moves.
func (s *Session) tryChoices(r *request, try func(*request, choice, state.Position) (reply state.Reply, again bool)) state.Reply {
	last := r.busy("no database can serve the read", retryAfterChange)
	for {
		found := s.choices(r)
		r.need = found.need
		behind := found.behind || found.unproven && time.Since(r.started) < proofWait
		for _, option := range found.options {
			if option.primary && option.crowded && behind && time.Until(r.queueDeadline()) > r.queueTime()/4 {
				continue
			}
			reply, again := try(r, option, found.need)
			if !again {
				return reply
			}
			behind = behind || isLagging(r.lastFail)
			last = reply
		}
		if len(found.options) == 0 && !behind || time.Until(r.queueDeadline()) < 2*catchUpPause {
			return last
		}
		time.Sleep(catchUpPause)
	}
}

// isLagging reports whether a replica refused a read because it is behind.
func isLagging(err error) bool {
	var refused *pooling.RefusedError
	return errors.As(err, &refused) && refused.Code == state.CodeLagging
}

// tryRead runs a read on one database. again tells that another may serve it.
func (s *Session) tryRead(r *request, option choice, need state.Position) (reply state.Reply, again bool) {
	if option.primary {
		return s.tryReadOnPrimary(r)
	}
	r.server, r.role = option.server.ID, "replica"
	pool := s.engine.Pools.Pool(option.server)
	link, err := s.acquireLink(r, pool, r.queueDeadline())
	if err != nil {
		reply, _ = s.notSent(r, err)
		return reply, true
	}
	sent := time.Now()
	reply, err = pool.Run(link, r.forward(link, need), r.tryDeadline(pool))
	r.ran = time.Since(sent)
	pool.Release(link, reusable(reply, err))
	if err != nil {
		r.lastFail = err
		return s.lostAnswer(r)
	}
	return s.replicaReply(r, pool, option.server.ID, need, reply)
}

func (s *Session) tryReadOnPrimary(r *request) (reply state.Reply, again bool) {
	grant, err := s.engine.Leadership.Acquire(r.route.Group)
	if err != nil {
		r.lastFail = err
		return r.busy("no primary is available", retryAfterChange), true
	}
	defer grant.Release()
	reply, again = s.tryPrimary(r, grant)
	return reply, again || reply.Code == state.CodeBusy
}

// replicaReply takes over what a replica's answer shows.
func (s *Session) replicaReply(r *request, pool *pooling.Pool, id state.DatabaseID, need state.Position, reply state.Reply) (state.Reply, bool) {
	switch reply.Code {
	case state.CodeNone:
		s.engine.replicas.applied(id, reply.Position)
		return reply, false
	case state.CodeLagging:
		s.engine.replicas.lagging(id, need, s.engine.Clock.Now())
		r.noteRefusal(reply)
		return r.busy("the replica is behind", retryAfterChange), true
	case state.CodeBusy, state.CodeMisdirected:
		r.noteRefusal(reply)
		return r.busy("the database is overloaded", pool.Cost()), true
	default:
		return reply, false
	}
}
