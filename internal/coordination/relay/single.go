package relay

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// run answers a read, a write or an execution.
func (s *Session) run(r *request) state.Reply {
	if !r.routed {
		return s.refuse(r, state.CodeNoDatabase, "no route has the name")
	}
	if r.statement.Kind == state.StatementExecute {
		if _, known := s.prepared[r.statement.Name]; !known {
			return s.refuse(r, state.CodeNoStatement, "no prepared statement has the name")
		}
	}
	if s.tx != nil {
		return s.runInTransaction(r)
	}
	if r.writes || r.route.Consistency == state.ConsistencyPrimary {
		return s.runOnPrimary(r)
	}
	return s.runRead(r)
}

// runOnPrimary answers a single statement that needs the primary.
func (s *Session) runOnPrimary(r *request) state.Reply {
	for {
		grant, reply := s.acquirePrimary(r)
		if grant == nil {
			return reply
		}
		reply, again := s.tryPrimary(r, grant)
		grant.Release()
		if !again {
			return reply
		}
	}
}

// tryPrimary runs a single statement under a grant. again tells that nothing
// ran and there is time for another try.
func (s *Session) tryPrimary(r *request, grant *leadership.Grant) (reply state.Reply, again bool) {
	r.onPrimary(grant)
	pool, ok := s.primaryPool(r, grant)
	if !ok {
		return r.busy("the primary is being retired", time.Second), false
	}
	link, err := s.acquireLink(r, pool, r.queueDeadline())
	if err != nil {
		return s.notSent(r, err)
	}
	if !grant.Attach(link.Close) {
		pool.Release(link, false)
		return r.busy("the primary is being changed", time.Second), s.timeLeft(r)
	}
	asked := s.engine.Clock.Now()
	sent := time.Now()
	reply, err = pool.Run(link, r.forward(link, state.Position{}), r.tryDeadline(pool))
	r.ran = time.Since(sent)
	pool.Release(link, err == nil && reply.Transaction == state.TransactionNone && reply.Code != state.CodeMisdirected)
	if err != nil {
		r.lastFail = err
		return s.lostAnswer(r)
	}
	return s.primaryReply(r, reply, asked)
}

// primaryReply takes over what a primary's answer shows.
func (s *Session) primaryReply(r *request, reply state.Reply, asked state.Instant) (state.Reply, bool) {
	switch reply.Code {
	case state.CodeNone:
		s.engine.Freshness.Observe(r.route.Group, asked, reply.Position)
		if r.writes {
			s.raiseFloor(r.route.Group, reply.Position)
		}
		return reply, false
	case state.CodeReadOnly:
		// Nothing ran: the database lost its lead.
		r.lastFail = &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
		return reply, false
	default:
		return reply, false
	}
}

func (s *Session) timeLeft(r *request) bool {
	return time.Now().Before(r.queueDeadline())
}

// notSent answers a request that got no connection.
func (s *Session) notSent(r *request, err error) (state.Reply, bool) {
	r.lastFail = err
	var refusal *pooling.Refusal
	if errors.As(err, &refusal) {
		return r.busy("no connection to the database in time", refusal.RetryAfter), false
	}
	return r.busy("the database can't be reached", leavingUse/10), false
}

// lostAnswer answers a request that was sent and got no whole answer.
func (s *Session) lostAnswer(r *request) (state.Reply, bool) {
	if !r.writes {
		return r.refused(state.CodeTimeout, "the database did not answer"), time.Until(r.deadline()) >= leastTry
	}
	if time.Now().Before(r.deadline()) {
		return r.refused(state.CodeUnknown, "the connection to the database was lost"), false
	}
	return r.refused(state.CodeTimeout, "the database did not answer in time"), false
}

// acquirePrimary waits for the use of the primary. Without a grant, the reply
// is the answer.
func (s *Session) acquirePrimary(r *request) (*leadership.Grant, state.Reply) {
	deadline := r.queueDeadline()
	for {
		changed := s.engine.Leadership.Changed()
		grant, err := s.engine.Leadership.Acquire(r.route.Group)
		if err == nil {
			return grant, state.Reply{}
		}
		r.lastFail = err
		if hopeless(err) || !time.Now().Before(deadline) {
			return nil, r.busy("no primary is available", retryAfterChange)
		}
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-changed:
		case <-timer.C:
		case <-s.engine.ctx.Done():
			timer.Stop()
			return nil, r.busy("the instance is stopping", retryAfterChange)
		}
		timer.Stop()
		r.queued = time.Since(r.started)
	}
}

// retryAfterChange is the usual length of a change of primary.
const retryAfterChange = time.Second

// hopeless reports whether waiting a few hundred milliseconds for a primary is
// of no use: the lease lapsed because the store is away.
func hopeless(err error) bool {
	var unavailable *leadership.Unavailable
	return errors.As(err, &unavailable) && unavailable.Reason == state.ReasonPlatform && unavailable.Age > 0
}

// primaryPool returns the pool of the granted primary. A primary that has been
// leaving for long is no longer used.
func (s *Session) primaryPool(r *request, grant *leadership.Grant) (*pooling.Pool, bool) {
	entry, ok := s.engine.Directory.Server(r.route.Group, grant.Primary)
	if !ok || entry.Leaving && s.engine.Clock.Now().Sub(entry.LeavingSince) > leavingUse {
		return nil, false
	}
	return s.engine.Pools.Pool(entry.Server), true
}

// acquireLink returns a connection that has the session's values.
func (s *Session) acquireLink(r *request, pool *pooling.Pool, deadline time.Time) (*pooling.Link, error) {
	r.tries++
	asked := time.Now()
	if r.tries > 1 && deadline.Before(asked.Add(leastTry)) {
		// A read whose answer was lost has waited already.
		deadline = asked.Add(leastTry)
	}
	link, err := pool.Acquire(s.engine.ctx, r.route.Priority, s.values.Key(), deadline)
	r.queued += time.Since(asked)
	if err != nil {
		return nil, err
	}
	if err := link.Adopt(&s.values, time.Now().Add(cleanupTimeout)); err != nil {
		pool.Release(link, false)
		return nil, err
	}
	return link, nil
}

func (s *Session) raiseFloor(group state.GroupID, position state.Position) {
	if s.floorGroup != group {
		s.floorGroup, s.floor = group, state.Position{}
	}
	s.floor = state.MaxPosition(s.floor, position)
}

// sessionFloor is the position that the session's reads must see. A commit of
// an earlier primary's reign may have been lost with it: what survived lies
// before the start of the present reign.
func (s *Session) sessionFloor(r *request) state.Position {
	if r.route.Consistency != state.ConsistencySession || s.floorGroup != r.route.Group {
		return state.Position{}
	}
	if start := s.engine.Leadership.Start(r.route.Group); s.floor.Term < start.Term {
		return start
	}
	return s.floor
}

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
}

// choices returns the databases that may serve a read now.
func (s *Session) choices(r *request) choices {
	e := s.engine
	now := e.Clock.Now()
	notBefore := r.arrived.Add(proofMargin - r.route.MaxStaleness)
	need, proven := e.Freshness.FloorFor(r.route.Group, notBefore)
	need = state.MaxPosition(need, s.sessionFloor(r))
	primary, _ := e.Leadership.Primary(r.route.Group)
	found := choices{need: need}
	for _, entry := range e.Directory.Servers(r.route.Group) {
		if entry.Leaving && entry.ID != primary || e.Health.Suspected(entry.ID) {
			continue
		}
		pool := e.Pools.Pool(entry.Server)
		candidate := choice{server: entry.Server, primary: entry.ID == primary, cost: pool.Cost(), crowded: pool.Crowded()}
		switch {
		case candidate.primary:
			candidate.cost = candidate.cost*primaryReadFactor + primaryReadPenalty
		case !proven:
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
		if e.Health.Doubted(entry.ID) {
			candidate.cost += doubtPenalty
		}
		found.options = append(found.options, candidate)
	}
	slices.SortStableFunc(found.options, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	return found
}

// distancePenalty keeps reads within the region until its database is busy:
// bytes between regions cost more than the time of a short queue.
const distancePenalty = 60 * time.Millisecond

// doubtPenalty puts a database last that is late with an answer.
const doubtPenalty = 500 * time.Millisecond

// catchUpPause is the time between two rounds of tries while replicas apply
// what a read must see: usual lags are 8 to 100 ms.
const catchUpPause = 25 * time.Millisecond

// runRead answers a single read of a bounded or session route. While all
// databases are behind or crowded, it tries them again: a replica usually
// catches up sooner than a crowded primary's queue moves.
func (s *Session) runRead(r *request) state.Reply {
	last := r.busy("no database can serve the read", retryAfterChange)
	for {
		found := s.choices(r)
		r.need = found.need
		behind := found.behind
		for _, option := range found.options {
			if option.primary && option.crowded && behind && time.Until(r.queueDeadline()) > r.queueTime()/4 {
				continue
			}
			reply, again := s.tryRead(r, option, found.need)
			if !again {
				return reply
			}
			behind = behind || isLagging(r.lastFail)
			last = reply
		}
		if len(found.options) == 0 || time.Until(r.queueDeadline()) < 2*catchUpPause {
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
	pool.Release(link, err == nil && reply.Transaction == state.TransactionNone && reply.Code != state.CodeMisdirected)
	if err != nil {
		r.lastFail = err
		reply, again = s.lostAnswer(r)
		return reply, again
	}
	return s.replicaReply(r, option, need, reply)
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
func (s *Session) replicaReply(r *request, option choice, need state.Position, reply state.Reply) (state.Reply, bool) {
	switch reply.Code {
	case state.CodeNone:
		s.engine.replicas.applied(option.server.ID, reply.Position)
		return reply, false
	case state.CodeLagging:
		s.engine.replicas.lagging(option.server.ID, need, s.engine.Clock.Now())
		r.lastFail = &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
		return r.busy("the replica is behind", retryAfterChange), true
	case state.CodeBusy, state.CodeMisdirected:
		r.lastFail = &pooling.RefusedError{Code: reply.Code, Detail: reply.Detail}
		return r.busy("the database is overloaded", s.engine.Pools.Pool(option.server).Cost()), true
	default:
		return reply, false
	}
}
