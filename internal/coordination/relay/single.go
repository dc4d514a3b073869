package relay

import (
	"errors"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// run runs a read, a write or the execution of a prepared statement.
func (s *Session) run(r *request) state.Reply {
	if !r.routed {
		return s.failStatement(r, state.CodeNoDatabase, "no route has the name")
	}
	if r.statement.Kind == state.StatementExecute {
		if _, known := s.prepared[r.statement.Name]; !known {
			return s.failStatement(r, state.CodeNoStatement, "no prepared statement has the name")
		}
	}
	if s.tx != nil {
		return s.runInTransaction(r)
	}
	if r.writes || r.route.Consistency == state.ConsistencyPrimary {
		return s.limited(r, s.runOnPrimary)
	}
	return s.limited(r, s.runRead)
}

// runOnPrimary runs a single statement that needs the primary.
func (s *Session) runOnPrimary(r *request) state.Reply {
	for {
		grant, reply := s.acquirePrimary(r)
		if grant == nil {
			return reply
		}
		reply, retry := s.tryPrimary(r, grant)
		grant.Release()
		if !retry {
			return reply
		}
	}
}

// tryPrimary runs a single statement under a grant. retry is true if the
// statement had no effect and there is time for another attempt.
func (s *Session) tryPrimary(r *request, grant *leadership.Grant) (reply state.Reply, retry bool) {
	r.recordPrimary(grant)
	pool, ok := s.primaryPool(r, grant)
	if !ok {
		return r.busyReply("the primary is being retired", retryAfterChange), false
	}
	conn, err := s.acquireConn(r, pool, r.queueDeadline())
	if err != nil {
		return s.unsentReply(r, err)
	}
	// The time is taken before the check of the lease: the process may be suspended
	// between the two.
	requestedAt := s.engine.Clock.Now()
	// The lease may have ended during the wait for the connection.
	if !grant.Attach(conn.Close) || !grant.Valid() {
		pool.Release(conn, false)
		return r.busyReply("the primary is being changed", retryAfterChange), s.timeLeft(r)
	}
	sent, before := time.Now(), s.engine.Freshness.NewestPosition(r.route.Group)
	reply, err = pool.Run(conn, r.databaseStatement(state.Position{}), r.attemptDeadline(pool))
	r.ran = time.Since(sent)
	pool.Release(conn, reusable(reply, err))
	if err != nil {
		return s.failedReply(r, err)
	}
	s.recordPrimaryReply(r, reply, requestedAt, before)
	if reply.Code == state.CodeBusy {
		return r.busyReply("the database is overloaded", pool.Cost(r.workspace)), s.waitBeforeBusyRetry(r)
	}
	return reply, false
}

// busyRetryPause is the first pause after a database replied that it is
// overloaded. A database's queue of a few dozen statements shortens by several
// in this time.
const busyRetryPause = 15 * time.Millisecond

// waitBeforeBusyRetry waits before another attempt at an overloaded database. It
// returns false if no time is left for one.
func (s *Session) waitBeforeBusyRetry(r *request) bool {
	pause := busyRetryPause << min(r.attempts-1, maxBusyDoublings)
	if time.Now().Add(pause).After(r.queueDeadline()) {
		return false
	}
	time.Sleep(pause)
	return true
}

// maxBusyDoublings limits each pause of a statement to a tenth of the usual
// latency objectives.
const maxBusyDoublings = 2

// recordPrimaryReply records the position of a primary's reply. An error reply
// is only recorded for the log; it reaches the client with the database's code. before is the
// newest position that was known when the statement was sent.
func (s *Session) recordPrimaryReply(r *request, reply state.Reply, requestedAt state.Instant, before state.Position) {
	if reply.Code != state.CodeNone {
		r.recordRefusal(reply)
		return
	}
	s.engine.Freshness.Observe(r.route.Group, requestedAt, reply.Position)
	if r.writes {
		s.engine.Freshness.Acknowledge(r.route.Group, before, reply.Position)
		s.minPositions.raise(r.route.Group, reply.Position)
	}
}

func (s *Session) timeLeft(r *request) bool {
	return time.Now().Before(r.queueDeadline())
}

// unsentReply returns the reply to a request that got no connection.
func (s *Session) unsentReply(r *request, err error) (state.Reply, bool) {
	r.lastError = err
	var noConn *pooling.NoConnectionError
	if errors.As(err, &noConn) {
		return r.busyReply("no connection to the database in time", noConn.RetryAfter), false
	}
	return r.busyReply("the database can't be reached", retryAfterChange), false
}

// lostReply returns the reply to a request that was sent and got no complete
// reply from the database. A read may be retried, a write has an unknown result.
func (s *Session) lostReply(r *request) (state.Reply, bool) {
	if !r.writes {
		return r.errorReply(state.CodeTimeout, "the database did not answer"), time.Until(r.deadline()) >= minAttemptTime
	}
	if time.Now().Before(r.deadline()) {
		return r.errorReply(state.CodeUnknown, "the connection to the database was lost"), false
	}
	return r.errorReply(state.CodeTimeout, "the database did not answer in time"), false
}

// acquirePrimary waits for a grant to use the primary. If it returns no grant,
// the reply is the one to the client.
func (s *Session) acquirePrimary(r *request) (*leadership.Grant, state.Reply) {
	deadline := r.queueDeadline()
	for {
		changed := s.engine.Leadership.Changed()
		grant, err := s.engine.Leadership.Acquire(r.route.Group)
		if err == nil {
			return grant, state.Reply{}
		}
		r.lastError = err
		if isStoreOutage(err) || !time.Now().Before(deadline) {
			return nil, r.busyReply("no primary is available", retryAfter(err))
		}
		state.PauseOrWake(s.engine.ctx, time.Until(deadline), changed)
		if s.engine.ctx.Err() != nil {
			return nil, r.busyReply("the instance is stopping", retryAfterChange)
		}
		r.queued = time.Since(r.started)
	}
}

// retryAfterChange is the usual duration of a change of primary.
const retryAfterChange = time.Second

// retryAfter returns when a request may come back that got no grant.
func retryAfter(err error) time.Duration {
	var unavailable *leadership.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Left > 0 {
		return unavailable.Left
	}
	return retryAfterChange
}

// isStoreOutage reports whether err says that the lease expired because the
// store is unavailable. Waiting a few hundred milliseconds for a primary does
// not help then.
func isStoreOutage(err error) bool {
	var unavailable *leadership.UnavailableError
	return errors.As(err, &unavailable) && unavailable.Reason == state.ReasonPlatform && unavailable.Age > 0
}

// primaryPool returns the pool of the granted primary. It returns false if the
// primary is no longer registered or has been leaving for more than
// leavingPrimaryUse.
func (s *Session) primaryPool(r *request, grant *leadership.Grant) (*pooling.Pool, bool) {
	entry, ok := s.engine.Directory.Server(r.route.Group, grant.Primary)
	if !ok || entry.Leaving && s.engine.Clock.Now().Sub(entry.LeavingSince) > leavingPrimaryUse {
		return nil, false
	}
	return s.engine.Pools.Pool(entry.Server), true
}

// acquireConn returns a connection with the session's values applied.
func (s *Session) acquireConn(r *request, pool *pooling.Pool, deadline time.Time) (*pooling.Conn, error) {
	r.attempts++
	requestedAt := time.Now()
	if r.attempts > 1 && deadline.Before(requestedAt.Add(minAttemptTime)) {
		// A read whose first reply was lost may have used up its queue time.
		deadline = requestedAt.Add(minAttemptTime)
	}
	conn, err := pool.Acquire(s.engine.ctx, pooling.Request{Workspace: r.workspace, Priority: r.route.Priority, ValuesKey: s.values.Key(), Primary: r.role == "primary"}, deadline)
	r.queued += time.Since(requestedAt)
	if err != nil {
		return nil, err
	}
	if err := conn.ApplyValues(&s.values, time.Now().Add(cleanupTimeout)); err != nil {
		pool.Release(conn, false)
		return nil, err
	}
	return conn, nil
}

// sessionMinPosition returns the position that the session's reads must cover.
// A commit of an earlier term may have been lost with that term's primary. The
// commits that survived lie before the start of the present term, which is
// returned instead.
func (s *Session) sessionMinPosition(r *request) state.Position {
	if r.route.Consistency != state.ConsistencySession {
		return state.Position{}
	}
	last := s.minPositions.of(r.route.Group)
	if last.IsZero() {
		return last
	}
	if start := s.engine.Leadership.TermStart(r.route.Group); last.Term < start.Term {
		return start
	}
	return last
}
