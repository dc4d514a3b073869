// Package session keeps the proxy's state of one client session: the position
// that its reads must see, its parameters, and the stream that an open
// transaction holds. It runs the session's units and decides which of them may
// be retried.
package session

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/routing"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maxAttempts is the maximum number of attempts at one unit.
const maxAttempts = 3

// Transaction status bytes, as in ReadyForQuery.
const (
	StatusIdle   = 'I'
	StatusActive = 'T'
	StatusFailed = 'E'
)

// Router opens streams and takes barriers.
type Router interface {
	Open(ctx context.Context, request routing.Request) (*routing.Stream, error)
	// Barrier returns a position that covers everything acknowledged before
	// the call.
	Barrier(ctx context.Context, group state.GroupID) (state.Position, error)
	// WriteBarrier is like Barrier, but waits while the group has no primary,
	// as a write does.
	WriteBarrier(ctx context.Context, group state.GroupID) (state.Position, error)
	RecordHolders(position state.Position, databases ...state.DatabaseID)
}

// RetryBudget limits retries to a share of the successful requests.
type RetryBudget interface {
	// Take reports whether one more retry is allowed now, and if so counts it.
	Take() bool
	// RecordSuccess records a request that needed no retry.
	RecordSuccess()
}

// Identity says which plan and group a session belongs to, and holds the limits
// that apply to it.
type Identity struct {
	Plan         state.PlanID
	Group        state.GroupID
	Scope        state.SessionScope
	QueueTimeout time.Duration
}

// Session is one client session. Its methods must be called from one goroutine
// at a time, except Cancel.
type Session struct {
	identity Identity
	router   Router
	budget   RetryBudget
	observer Observer

	// minPosition is the position that reads must see. It covers the
	// session's own writes and, once barrierTaken is set, everything that was
	// acknowledged before the barrier.
	minPosition  state.Position
	barrierTaken bool
	settings     []execution.Setting

	current         currentStream
	status          byte
	transactionLost bool
	pinned          bool
	// stateLost is set when the stream that held the session's pinned state
	// has failed.
	stateLost bool
	// servedBy is the database that served the last unit.
	servedBy state.DatabaseID
	// pendingChanges are the parameter changes made in the open transaction.
	pendingChanges []settingChange
}

// Observer is notified of each unit that was served, for metrics.
type Observer interface {
	// UnitDone is called with the database that served a unit.
	UnitDone(access execution.Access, group state.GroupID, database state.DatabaseID)
}

// New starts a session. token is the position that an earlier session of the
// client reported, or zero.
func New(identity Identity, router Router, budget RetryBudget, observer Observer, token state.Position) *Session {
	return &Session{
		identity: identity, router: router, budget: budget, observer: observer,
		minPosition: token, barrierTaken: !token.IsZero(), status: StatusIdle,
	}
}

// Status returns the transaction status byte.
func (s *Session) Status() byte {
	return s.status
}

// TransactionLost reports whether the session's transaction was lost with its
// backend connection, and the client has not ended it yet.
func (s *Session) TransactionLost() bool {
	return s.transactionLost
}

// StateLost reports whether state that cannot be restored, such as temporary
// tables or session locks, was lost with its backend connection. The session
// must then not continue as if that state still existed.
func (s *Session) StateLost() bool {
	return s.stateLost
}

// MinPosition returns the session's token: the position that its reads must see.
func (s *Session) MinPosition() state.Position {
	return s.minPosition
}

// ServedBy returns the database that served the last unit.
func (s *Session) ServedBy() state.DatabaseID {
	return s.servedBy
}

// Settings returns the session's parameters.
func (s *Session) Settings() []execution.Setting {
	return s.settings
}

// RaiseMinPosition makes later reads see at least position.
func (s *Session) RaiseMinPosition(position state.Position) {
	s.minPosition = state.MaxPosition(s.minPosition, position)
	s.barrierTaken = true
}

// Freshness says what a read outside a transaction must see.
type Freshness struct {
	// MaxAge, when above zero, accepts data that is proven to be at most this
	// old. The read sees the session's own writes in any case.
	MaxAge time.Duration
	// Any is set for units that read no data, such as SET.
	Any bool
	// ageUnproven is set when a read that accepts an age is retried with a
	// barrier, because no database could prove that age. Its barrier has a
	// short timeout, so that the read fails soon if that is not possible
	// either.
	ageUnproven bool
}

// Run runs one unit and passes the events of its reply to deliver, in order. An
// error is a *state.Failure, or the error of deliver.
func (s *Session) Run(ctx context.Context, unit execution.Unit, freshness Freshness, deliver func(execution.Event) error) error {
	stream := s.current.get()
	if stream == nil {
		return s.runOutsideTransaction(ctx, unit, freshness, deliver)
	}
	if s.status == StatusIdle {
		minPosition, err := s.requiredPosition(ctx, unit.Access, freshness)
		if err != nil {
			return err
		}
		unit.MinPosition, unit.MaxAge = minPosition, freshness.MaxAge
	}
	return s.runOnStream(ctx, stream, unit, deliver)
}

// runOutsideTransaction runs a unit on a new stream, outside any transaction.
// It retries the unit if nothing was delivered yet and the unit either certainly
// did not run or is a read (see canRetry). A read with an accepted age that no
// database can prove is retried once as a read that accepts no age.
func (s *Session) runOutsideTransaction(ctx context.Context, unit execution.Unit, freshness Freshness, deliver func(execution.Event) error) error {
	request := routing.Request{
		Plan: s.identity.Plan, Group: s.identity.Group, Access: unit.Access,
		MaxAge: freshness.MaxAge, QueueTimeout: s.identity.QueueTimeout, Settings: slices.Clone(s.settings),
	}
	for attempt := 1; ; attempt++ {
		delivered, err := s.attempt(ctx, &request, freshness, unit, deliver)
		if err == nil {
			if attempt == 1 {
				s.budget.RecordSuccess()
			}
			return nil
		}
		if !delivered && freshness.MaxAge > 0 && isTooStale(err) {
			freshness.MaxAge = 0
			freshness.ageUnproven = true
			request.MaxAge = 0
			continue
		}
		retry := !delivered && canRetry(unit, err) && attempt < maxAttempts && ctx.Err() == nil
		if !retry || !s.budget.Take() {
			return err
		}
	}
}

func isTooStale(err error) bool {
	failure, ok := state.AsFailure(err)
	return ok && failure.Outcome == state.OutcomeNotRun && failure.Reason == state.ReasonTooStale
}

// canRetry reports whether a unit that failed with err may be retried.
func canRetry(unit execution.Unit, err error) bool {
	failure, ok := state.AsFailure(err)
	if !ok {
		return false
	}
	if failure.Outcome != state.OutcomeNotRun {
		return unit.Access == execution.AccessRead
	}
	switch failure.Reason {
	case state.ReasonConnectionLost, state.ReasonUnreachable, state.ReasonSilent, state.ReasonTooStale, state.ReasonSuperseded:
		return true
	default:
		return false
	}
}

func (s *Session) attempt(ctx context.Context, request *routing.Request, freshness Freshness, unit execution.Unit, deliver func(execution.Event) error) (delivered bool, err error) {
	request.MinPosition, err = s.requiredPosition(ctx, unit.Access, freshness)
	if err != nil {
		return false, err
	}
	unit.MinPosition, unit.MaxAge = request.MinPosition, request.MaxAge
	stream, err := s.router.Open(ctx, *request)
	if err != nil {
		return false, err
	}
	s.current.set(stream)
	recordDelivery := func(event execution.Event) error {
		delivered = true
		return deliver(event)
	}
	err = s.runOnStream(ctx, stream, unit, recordDelivery)
	if err != nil {
		request.Avoid = stream.Database
	}
	return delivered, err
}

// ageUnprovenBarrierTimeout limits the barrier of a read whose accepted age no
// database could prove.
const ageUnprovenBarrierTimeout = 250 * time.Millisecond

// requiredPosition returns the position that a unit outside a transaction must
// see. A read that accepts an age must see only the session's own writes. Any
// other unit needs a barrier first, in plan scope always, otherwise unless the
// session started with a token or has taken a barrier before. This includes
// writes, because they may read too: on a superseded primary, a write that
// changes nothing could otherwise return old data.
func (s *Session) requiredPosition(ctx context.Context, access execution.Access, freshness Freshness) (state.Position, error) {
	read := access == execution.AccessRead
	if read && freshness.Any {
		return state.Position{}, nil
	}
	acceptsAge := read && freshness.MaxAge > 0
	if acceptsAge || (s.barrierTaken && s.identity.Scope != state.ScopePlan) {
		return s.minPosition, nil
	}
	position, err := s.takeBarrier(ctx, read, freshness.ageUnproven)
	if err != nil {
		return state.Position{}, err
	}
	s.RaiseMinPosition(position)
	return s.minPosition, nil
}

func (s *Session) takeBarrier(ctx context.Context, read, ageUnproven bool) (state.Position, error) {
	if !read {
		return s.router.WriteBarrier(ctx, s.identity.Group)
	}
	if ageUnproven {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, ageUnprovenBarrierTimeout)
		defer cancel()
	}
	return s.router.Barrier(ctx, s.identity.Group)
}

// runOnStream runs a unit on the stream that the session holds.
func (s *Session) runOnStream(ctx context.Context, stream *routing.Stream, unit execution.Unit, deliver func(execution.Event) error) error {
	if err := stream.Send(ctx, unit); err != nil {
		return s.endFailedStream(err)
	}
	for {
		event, err := stream.Receive(ctx)
		if err != nil {
			return s.endFailedStream(err)
		}
		if event.Done {
			s.recordUnitEnd(stream, unit, event)
		}
		if err := deliver(event); err != nil {
			s.release()
			return err
		}
		if event.Done {
			return nil
		}
	}
}

// recordUnitEnd updates the session's state at the end of a unit, before the
// client receives the last event.
func (s *Session) recordUnitEnd(stream *routing.Stream, unit execution.Unit, event execution.Event) {
	s.servedBy = stream.Database
	s.observer.UnitDone(unit.Access, s.identity.Group, stream.Database)
	if !event.Position.IsZero() {
		s.minPosition = state.MaxPosition(s.minPosition, event.Position)
		s.router.RecordHolders(event.Position, event.Holders...)
	} else if unit.Access == execution.AccessRead && stream.MinPosition.Covers(s.minPosition) {
		s.router.RecordHolders(s.minPosition, stream.Database)
	}
	s.status = event.TxStatus
	s.pinned = s.pinned || event.Pinned
	if s.status == StatusIdle && !s.pinned {
		s.release()
	}
}

// endFailedStream closes the stream after an error. An open transaction is
// lost: the session's status is then that of a failed transaction until the
// client ends it, so that no later statement of the transaction runs outside
// it.
func (s *Session) endFailedStream(err error) error {
	if s.status != StatusIdle {
		s.transactionLost = true
		s.status = StatusFailed
	}
	s.stateLost = s.stateLost || s.pinned
	s.release()
	return err
}

// EndLostTransaction ends a transaction that was lost. It is called at the
// client's COMMIT or ROLLBACK.
func (s *Session) EndLostTransaction() {
	s.transactionLost = false
	s.status = StatusIdle
}

func (s *Session) release() {
	s.pinned = false
	if stream := s.current.take(); stream != nil {
		stream.Close()
	}
}

// Abandon ends an open transaction by closing its backend connection.
func (s *Session) Abandon() {
	if s.status != StatusIdle {
		s.transactionLost = true
		s.status = StatusFailed
	}
	s.release()
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.release()
}

// Cancel cancels the running unit, if any. It may be called from any goroutine.
func (s *Session) Cancel(ctx context.Context) error {
	if stream := s.current.get(); stream != nil {
		return stream.Cancel(ctx)
	}
	return nil
}
