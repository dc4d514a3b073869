// Package session keeps what the proxy must remember of one client session:
// the position that its reads must see, its parameters, and the stream that an
// open transaction holds. It runs the session's units and decides which of
// them may be tried again.
package session

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/routing"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maxAttempts bounds how often one unit is tried.
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
	// Barrier returns a floor that covers all that was acknowledged before.
	Barrier(ctx context.Context, group state.GroupID) (state.Position, error)
	// WriteBarrier is a Barrier that waits, as a write does, while the group
	// has no primary.
	WriteBarrier(ctx context.Context, group state.GroupID) (state.Position, error)
	NoteHolders(position state.Position, databases ...state.DatabaseID)
}

// Budget bounds retries to a share of what succeeds.
type Budget interface {
	// Take reports whether one more retry may be made now, and counts it.
	Take() bool
	// Succeeded records a request that needed no retry.
	Succeeded()
}

// Identity is whose session it is and what it may use.
type Identity struct {
	Plan         state.PlanID
	Group        state.GroupID
	Scope        state.SessionScope
	QueueTimeout time.Duration
}

// Session is one client session. It is for one goroutine, but for Cancel.
type Session struct {
	identity Identity
	router   Router
	budget   Budget
	observer Observer

	// floor is the position that reads must see. It covers the session's own
	// writes, and, once barrierTaken, all that was acknowledged before.
	floor        state.Position
	barrierTaken bool
	settings     []execution.Setting

	current currentStream
	status  byte
	lost    bool
	pinned  bool
	// stateLost is set when the stream that held the session's pinned state
	// ended.
	stateLost bool
	// servedBy is the database that served the last unit.
	servedBy state.DatabaseID
	// pendingChanges are the parameter changes of the open transaction.
	pendingChanges []settingChange
}

// Observer is told of each unit that was served, for metrics.
type Observer interface {
	// UnitDone tells which database served a unit.
	UnitDone(access execution.Access, group state.GroupID, database state.DatabaseID)
}

// New starts a session. token, when not zero, is the floor that the client
// brought along from an earlier session.
func New(identity Identity, router Router, budget Budget, observer Observer, token state.Position) *Session {
	return &Session{
		identity: identity, router: router, budget: budget, observer: observer,
		floor: token, barrierTaken: !token.IsZero(), status: StatusIdle,
	}
}

// Status returns the transaction status byte.
func (s *Session) Status() byte {
	return s.status
}

// TransactionLost reports whether the session's transaction was lost with its backend
// connection, and the client has not ended it yet.
func (s *Session) TransactionLost() bool {
	return s.lost
}

// StateLost reports whether state that could not be replayed, such as temporary
// tables or session locks, was lost with its backend connection. The session
// must not go on as if it were still there.
func (s *Session) StateLost() bool {
	return s.stateLost
}

// MinPosition returns the session's token: the position that covers its writes.
func (s *Session) MinPosition() state.Position {
	return s.floor
}

// ServedBy returns the database that served the last unit.
func (s *Session) ServedBy() state.DatabaseID {
	return s.servedBy
}

// Settings returns the session's parameters.
func (s *Session) Settings() []execution.Setting {
	return s.settings
}

// RaiseMinPosition makes later reads see position.
func (s *Session) RaiseMinPosition(position state.Position) {
	s.floor = state.MaxPosition(s.floor, position)
	s.barrierTaken = true
}

// Freshness says what a read outside a transaction must see.
type Freshness struct {
	// MaxAge, when above zero, accepts data that is proven at most this old,
	// but for the session's own writes, which it always sees.
	MaxAge time.Duration
	// Any is set for units that look at no data, such as SET.
	Any bool
	// hurried is set for a read that accepts an age which nothing proved, so
	// that it is refused soon where it cannot be proven fresh either.
	hurried bool
}

// Run runs one unit and hands the events of its answer to deliver, in order.
// An error is a *state.Failure, or the error of deliver.
func (s *Session) Run(ctx context.Context, unit execution.Unit, freshness Freshness, deliver func(execution.Event) error) error {
	stream := s.current.get()
	if stream == nil {
		return s.runFresh(ctx, unit, freshness, deliver)
	}
	if s.status == StatusIdle {
		floor, err := s.requiredFloor(ctx, unit.Access, freshness)
		if err != nil {
			return err
		}
		unit.Floor, unit.MaxAge = floor, freshness.MaxAge
	}
	return s.runOn(ctx, stream, unit, deliver)
}

// runFresh runs a unit that begins outside a transaction. It is tried again
// when it surely did not run, or when it is a read of which nothing was
// delivered. A read whose age no database proves is tried once more as one that
// accepts none.
func (s *Session) runFresh(ctx context.Context, unit execution.Unit, freshness Freshness, deliver func(execution.Event) error) error {
	request := routing.Request{
		Plan: s.identity.Plan, Group: s.identity.Group, Access: unit.Access,
		MaxAge: freshness.MaxAge, QueueTimeout: s.identity.QueueTimeout, Settings: slices.Clone(s.settings),
	}
	for attempt := 1; ; attempt++ {
		delivered, err := s.attempt(ctx, &request, freshness, unit, deliver)
		if err == nil {
			if attempt == 1 {
				s.budget.Succeeded()
			}
			return nil
		}
		if !delivered && freshness.MaxAge > 0 && isTooStale(err) {
			freshness.MaxAge = 0
			freshness.hurried = true
			request.MaxAge = 0
			continue
		}
		again := !delivered && mayRepeat(unit, err) && attempt < maxAttempts && ctx.Err() == nil
		if !again || !s.budget.Take() {
			return err
		}
	}
}

func isTooStale(err error) bool {
	failure, ok := state.AsFailure(err)
	return ok && failure.Outcome == state.OutcomeNotRun && failure.Reason == state.ReasonTooStale
}

// mayRepeat reports whether a unit that failed with err may be sent again.
func mayRepeat(unit execution.Unit, err error) bool {
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
	request.Floor, err = s.requiredFloor(ctx, unit.Access, freshness)
	if err != nil {
		return false, err
	}
	unit.Floor, unit.MaxAge = request.Floor, request.MaxAge
	stream, err := s.router.Open(ctx, *request)
	if err != nil {
		return false, err
	}
	s.current.set(stream)
	counting := func(event execution.Event) error {
		delivered = true
		return deliver(event)
	}
	err = s.runOn(ctx, stream, unit, counting)
	if err != nil {
		request.Avoid = stream.Database
	}
	return delivered, err
}

// hurriedBarrierTimeout bounds the barrier of a read whose age was not proven.
const hurriedBarrierTimeout = 250 * time.Millisecond

// requiredFloor decides what a unit outside a transaction must see. A read that
// accepts an age needs only the session's own writes. Any other unit needs a
// barrier first, unless the session brought a token or took one before; so do
// writes, which may read as well, and may read nothing but what is old where
// they run on a superseded primary and end up changing nothing.
func (s *Session) requiredFloor(ctx context.Context, access execution.Access, freshness Freshness) (state.Position, error) {
	read := access == execution.AccessRead
	if read && freshness.Any {
		return state.Position{}, nil
	}
	acceptsAge := read && freshness.MaxAge > 0
	if acceptsAge || (s.barrierTaken && s.identity.Scope != state.ScopePlan) {
		return s.floor, nil
	}
	position, err := s.takeBarrier(ctx, read, freshness.hurried)
	if err != nil {
		return state.Position{}, err
	}
	s.RaiseMinPosition(position)
	return s.floor, nil
}

func (s *Session) takeBarrier(ctx context.Context, read, hurried bool) (state.Position, error) {
	if !read {
		return s.router.WriteBarrier(ctx, s.identity.Group)
	}
	if hurried {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, hurriedBarrierTimeout)
		defer cancel()
	}
	return s.router.Barrier(ctx, s.identity.Group)
}

// runOn runs a unit on a stream that is held.
func (s *Session) runOn(ctx context.Context, stream *routing.Stream, unit execution.Unit, deliver func(execution.Event) error) error {
	if err := stream.Send(ctx, unit); err != nil {
		return s.streamFailed(err)
	}
	for {
		event, err := stream.Receive(ctx)
		if err != nil {
			return s.streamFailed(err)
		}
		if event.Done {
			s.unitDone(stream, unit, event)
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

// unitDone takes in the end of a unit, before the client sees it.
func (s *Session) unitDone(stream *routing.Stream, unit execution.Unit, event execution.Event) {
	s.servedBy = stream.Database
	s.observer.UnitDone(unit.Access, s.identity.Group, stream.Database)
	if !event.Position.IsZero() {
		s.floor = state.MaxPosition(s.floor, event.Position)
		s.router.NoteHolders(event.Position, event.Holders...)
	} else if unit.Access == execution.AccessRead && stream.Floor.Covers(s.floor) {
		s.router.NoteHolders(s.floor, stream.Database)
	}
	s.status = event.TxStatus
	s.pinned = s.pinned || event.Pinned
	if s.status == StatusIdle && !s.pinned {
		s.release()
	}
}

// streamFailed ends the stream. A transaction that was open is lost: the
// session then counts as in a failed transaction until the client ends it, so
// that no later statement of the transaction runs on its own.
func (s *Session) streamFailed(err error) error {
	if s.status != StatusIdle {
		s.lost = true
		s.status = StatusFailed
	}
	s.stateLost = s.stateLost || s.pinned
	s.release()
	return err
}

// EndLostTransaction ends a transaction that was lost, at the client's COMMIT or ROLLBACK.
func (s *Session) EndLostTransaction() {
	s.lost = false
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
		s.lost = true
		s.status = StatusFailed
	}
	s.release()
}

// Close ends the session. An open transaction is rolled back.
func (s *Session) Close() {
	s.release()
}

// Cancel cancels the unit that runs now, if any. It may be called from any
// goroutine.
func (s *Session) Cancel(ctx context.Context) error {
	if stream := s.current.get(); stream != nil {
		return stream.Cancel(ctx)
	}
	return nil
}
