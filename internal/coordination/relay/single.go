package relay

import (
	"errors"
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
		return r.busy("the primary is being retired", retryAfterChange), false
	}
	link, err := s.acquireLink(r, pool, r.queueDeadline())
	if err != nil {
		return s.notSent(r, err)
	}
	// The lease may have ended during the wait for the connection.
	if !grant.Attach(link.Close) || !grant.Valid() {
		pool.Release(link, false)
		return r.busy("the primary is being changed", retryAfterChange), s.timeLeft(r)
	}
	asked := s.engine.Clock.Now()
	sent := time.Now()
	reply, err = pool.Run(link, r.forward(link, state.Position{}), r.tryDeadline(pool))
	r.ran = time.Since(sent)
	pool.Release(link, reusable(reply, err))
	if err != nil {
		r.lastFail = err
		return s.lostAnswer(r)
	}
	s.notePrimaryReply(r, reply, asked)
	if reply.Code == state.CodeBusy {
		return r.busy("the database is overloaded", pool.Cost()), s.pauseBusy(r)
	}
	return reply, false
}

// busyPause is the first pause after a database was overloaded; its queue of a
// few dozen statements moves on by some in this time.
const busyPause = 15 * time.Millisecond

// pauseBusy waits before another try at an overloaded database. It returns
// false where no time is left for one.
func (s *Session) pauseBusy(r *request) bool {
	pause := busyPause << min(r.tries-1, maxBusyDoublings)
	if time.Now().Add(pause).After(r.queueDeadline()) {
		return false
	}
	time.Sleep(pause)
	return true
}

// maxBusyDoublings bounds the pauses of a statement to a tenth of the usual
// objectives.
const maxBusyDoublings = 2

// notePrimaryReply takes over what a primary's answer shows. Errors are the
// client's to see: each keeps what its code promises.
func (s *Session) notePrimaryReply(r *request, reply state.Reply, asked state.Instant) {
	if reply.Code != state.CodeNone {
		r.noteRefusal(reply)
		return
	}
	s.engine.Freshness.Observe(r.route.Group, asked, reply.Position)
	if r.writes {
		s.raiseFloor(r.route.Group, reply.Position)
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
	return r.busy("the database can't be reached", retryAfterChange), false
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
		state.PauseOrWake(s.engine.ctx, time.Until(deadline), changed)
		if s.engine.ctx.Err() != nil {
			return nil, r.busy("the instance is stopping", retryAfterChange)
		}
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
