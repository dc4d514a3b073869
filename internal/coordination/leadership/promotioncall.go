package leadership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// A promotion call without an answer may be carried out any time during callLifetime,
// whatever its sender does to the connection, and the platform doesn't refuse a lower
// fencing token. So a call is first recorded in the duty's row, on the condition that the
// group's row is still the announcement of its change: a promoter that was held up may not
// have seen yet that another has taken the change over. While the call is there,
//   - the duty passes to no other instance,
//   - no other database of the group is promoted.
// A call ends when the platform refuses it, when callLifetime has passed, or, if no call
// of its group was made beside it, when the database is seen to lead. One that the
// platform has accepted takes effect within promotionTimeout or never.

// promotionCall is a promotion call of this run.
type promotionCall struct {
	recordedCall
	// token is that of the duty's row that may record the call. announcement is the
	// condition that the group's row is that of the attempt.
	token        uint64
	announcement rowstore.Condition
	// superseded is set once the announcement was found replaced.
	superseded bool
	// recorded is set once the duty's row holds the call, in the given era. Only then
	// it may be sent. Before, era is that of the announcement.
	recorded bool
	era      uint64
	// sentAt is when the call was sent; zero before. accepted is set once the platform
	// has accepted it.
	sentAt   state.Instant
	accepted bool
	// answered receives the outcome; it has room for it.
	answered chan error
}

// recordedCall is a promotion call in the duty's row.
type recordedCall struct {
	Group    state.GroupID    `msgpack:"g"`
	Database state.DatabaseID `msgpack:"d"`
	// Term is the database's term before the call. It leads in a later one once the
	// call has been carried out.
	Term state.Term `msgpack:"t"`
	// Number distinguishes the calls of one run.
	Number uint64 `msgpack:"n"`
	// Repeated is set if another call of the group was pending, or accepted without effect,
	// beside this one: that the database leads does not show which of them was carried
	// out.
	Repeated bool `msgpack:"r"`
	// Until is when the call can't be carried out any more, on the store's clock, in
	// nanoseconds. So it must be sent callLifetime earlier.
	Until int64 `msgpack:"u"`
}

// carriedOut reports whether a database's status shows that the call was carried out.
func (c recordedCall) carriedOut(found candidate) bool {
	return !c.Repeated && c.effective(found)
}

// effective reports whether a database's status shows that this call or another one of
// its kind was carried out.
func (c recordedCall) effective(found candidate) bool {
	return found.server.ID == c.Database && found.status.Role == state.RolePrimary && found.status.Term > c.Term
}

// pendingCalls returns the calls as the duty's row, which is written at the given time
// of the store's clock, shall hold them: those that were recorded before, and the added
// ones. The lock of the manager must be held.
func (d *duty) pendingCalls(storeNow time.Duration, era uint64, added []*promotionCall) []recordedCall {
	var calls []recordedCall
	for _, call := range d.calls {
		isAdded := slices.Contains(added, call)
		if !call.recorded && !isAdded {
			continue
		}
		if isAdded {
			// The call is sent when the write has succeeded.
			call.Until, call.era = int64(storeNow+2*d.writeTime+leaseMargin+callLifetime), era
		}
		calls = append(calls, call.recordedCall)
	}
	return calls
}

// unrecordedCalls returns the calls that may be recorded with the given token in the
// given era. The lock of the manager must be held.
func (d *duty) unrecordedCalls(token, era uint64) []*promotionCall {
	var calls []*promotionCall
	for _, call := range d.calls {
		if !call.recorded && call.token == token && call.era == era {
			calls = append(calls, call)
		}
	}
	return calls
}

// markRecorded marks the calls that the duty's row holds now. The lock of the manager
// must be held.
func (d *duty) markRecorded(written []recordedCall) {
	for _, call := range d.calls {
		if slices.ContainsFunc(written, func(w recordedCall) bool { return w.Number == call.Number && w.Until == call.Until }) {
			call.recorded = true
		}
	}
}

// calledDatabase is the database that a group's pending calls name.
type calledDatabase struct {
	// id is empty if no call is pending.
	id state.DatabaseID
	// sentAt is when the last call was sent.
	sentAt state.Instant
	// accepted is set if the effect of an accepted call may still come.
	accepted bool
}

// allows reports whether a database may lead, or be promoted, beside the pending calls.
func (c calledDatabase) allows(id state.DatabaseID) bool {
	return c.id == "" || c.id == id
}

// mustNotRepeat reports whether the calls may not be repeated: one was accepted, or the last
// one has not been silent for long.
func (c calledDatabase) mustNotRepeat(now state.Instant) bool {
	return c.id != "" && (c.accepted || now.Sub(c.sentAt) < silentCallPatience)
}

func (m *Manager) calledDatabase(id state.GroupID) calledDatabase {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duty.calledDatabase(id)
}

// calledDatabase is that of the manager, whose lock must be held.
func (d *duty) calledDatabase(id state.GroupID) (called calledDatabase) {
	for _, call := range d.calls {
		if call.Group == id {
			called = calledDatabase{call.Database, max(called.sentAt, call.sentAt), called.accepted || call.accepted}
		}
	}
	return called
}

// startCall records a promotion call in the duty's row and then sends it.
func (m *Manager) startCall(ctx context.Context, attempt *changeAttempt, chosen candidate) (*promotionCall, error) {
	if err := m.mayPromote(attempt); err != nil {
		return nil, err
	}
	m.mu.Lock()
	m.lastCall++
	accepted := m.group(attempt.group).accepted
	repeated := accepted != nil && m.Clock.Now().Sub(accepted.sentAt) < callLifetime
	for _, earlier := range m.duty.calls {
		if earlier.Group == attempt.group {
			earlier.Repeated, repeated = true, true
		}
	}
	call := &promotionCall{
		recordedCall: recordedCall{Group: attempt.group, Database: chosen.server.ID, Term: chosen.status.Term, Number: m.lastCall, Repeated: repeated},
		token:        attempt.token,
		announcement: rowstore.Condition{Table: TablePrimaries, Key: string(attempt.group), Version: attempt.announceCommit.Version},
		era:          attempt.era,
		answered:     make(chan error, 1),
	}
	m.duty.calls = append(m.duty.calls, call)
	m.mu.Unlock()
	if err := m.recordCall(ctx, call); err != nil {
		m.endCall(call)
		return nil, eris.Wrapf(err, "record the promotion of %s", chosen.server.ID)
	}
	if err := m.maySend(call, attempt); err != nil {
		m.endCall(call)
		return nil, err
	}
	m.mu.Lock()
	call.sentAt = m.Clock.Now()
	m.mu.Unlock()
	m.logSending(attempt, call)
	go m.sendCall(context.WithoutCancel(ctx), call, attempt)
	return call, nil
}

// recordCall writes the duty's row with a call, unless a write for another call of this
// instance has included it. The write depends on the announcements of all calls that it
// adds, so that a call is recorded only for the newest change of its group.
func (m *Manager) recordCall(ctx context.Context, call *promotionCall) error {
	return m.inDutyTurn(ctx, func() error {
		for {
			added, err := m.writeCalls(ctx, call)
			if !m.endSuperseded(added, err) {
				return err
			}
		}
	})
}

// writeCalls writes the duty's row with a call and the others that may be recorded with
// it, which it returns.
func (m *Manager) writeCalls(ctx context.Context, call *promotionCall) ([]*promotionCall, error) {
	m.mu.Lock()
	held := m.duty.held && m.duty.record.Token == call.token
	record, version, eraNumber := m.duty.record, m.duty.version, m.era.number
	storeNow, _ := m.lease.clock.upperBound(m.Clock.Now())
	recorded, superseded, announcedIn := call.recorded, call.superseded, call.era
	added := m.duty.unrecordedCalls(record.Token, eraNumber)
	m.mu.Unlock()
	switch {
	case recorded:
		return nil, nil
	case superseded:
		return nil, eris.Wrapf(errSuperseded, "group %s", call.Group)
	case !held:
		return nil, eris.Wrap(errDutyTaken, "the duty was lost before the call")
	case announcedIn != eraNumber:
		return nil, eris.Wrapf(rowstore.ErrEraChanged, "change announced in era %d", announcedIn)
	}
	return added, m.writeDuty(ctx, m.extendDuty(record, storeNow, added), eraNumber, version, announcements(added))
}

// announcements returns the conditions that the calls' changes are the newest ones.
func announcements(calls []*promotionCall) []rowstore.Condition {
	conditions := make([]rowstore.Condition, len(calls))
	for n, call := range calls {
		conditions[n] = call.announcement
	}
	return conditions
}

// endSuperseded ends those of the calls whose announcements a conflict shows to be
// replaced, takes over what replaced them, and reports whether there were any.
func (m *Manager) endSuperseded(calls []*promotionCall, err error) (found bool) {
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	for _, call := range calls {
		if conflict.Holds(call.announcement) {
			continue
		}
		found = true
		m.endCall(call)
		row, _ := conflict.Row(call.announcement)
		m.mu.Lock()
		call.superseded = true
		if conflict.Era == m.era.number && row.Version != 0 {
			m.applyRow(row, m.Clock.Now())
			m.broadcast()
		}
		m.mu.Unlock()
	}
	return found
}

// maySend reports why a recorded call must not be sent now, if it must not: its write may
// have taken long, or this process may have been suspended since.
func (m *Manager) maySend(call *promotionCall, attempt *changeAttempt) error {
	now := m.Clock.Now()
	m.mu.Lock()
	storeNow, _ := m.lease.clock.upperBound(now)
	late := time.Duration(call.Until) < storeNow+callLifetime
	m.mu.Unlock()
	if late {
		return eris.Wrapf(errDutyTaken, "the promotion of %s was recorded too late", call.Database)
	}
	return m.mayPromote(attempt)
}

// mayPromote reports why this instance must not promote now, if it must not.
func (m *Manager) mayPromote(attempt *changeAttempt) error {
	if !m.dutyValid() {
		return eris.New("the promotion duty has expired")
	}
	if !m.isCurrent(attempt) {
		return eris.Wrapf(errSuperseded, "group %s, epoch %d", attempt.group, attempt.epoch)
	}
	return nil
}

// sendCall sends a call and waits for its end.
func (m *Manager) sendCall(ctx context.Context, call *promotionCall, attempt *changeAttempt) {
	sent := call.sentAt
	callCtx, cancel := context.WithTimeout(ctx, callLifetime)
	err := m.Promoter.Promote(callCtx, state.PromotionCall{
		Group: call.Group, Database: call.Database, Holder: m.Self, Token: attempt.token,
		MaySend: func() bool { return m.maySend(call, attempt) == nil },
	})
	cancel()
	m.Log.Info().Err(err).Str("group", string(call.Group)).Str("database", string(call.Database)).Uint64("epoch", attempt.epoch).
		Uint64("token", attempt.token).Uint64("call", call.Number).Dur("held_ms", m.Clock.Now().Sub(sent)).Msg("promotion requested")
	promotionCallsTotal(promotionResult(err)).Inc()
	if err == nil {
		m.recordAccepted(call)
	}
	call.answered <- err
	switch {
	case err == nil:
		state.Pause(ctx, promotionTimeout)
		m.recordIneffective(call)
	case errors.Is(err, state.ErrNoAnswer):
		state.Pause(ctx, callLifetime-m.Clock.Now().Sub(sent))
	}
	if err == nil || errors.Is(err, state.ErrNoAnswer) {
		m.recordLastCalled(call)
	}
	if m.endCall(call) {
		m.releaseDuty(ctx)
	}
}

// promotionResult returns the metric label of a call's outcome.
func promotionResult(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, state.ErrNoAnswer):
		return "no_answer"
	case errors.Is(err, state.ErrNotRunning):
		return "not_running"
	default:
		return "refused"
	}
}

// recordAccepted records a call whose effect is still to be seen.
func (m *Manager) recordAccepted(call *promotionCall) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	call.accepted = true
	if storeNow, known := m.lease.clock.upperBound(now); known && call.era == m.era.number {
		call.Until = min(call.Until, int64(storeNow+promotionTimeout))
	}
	m.group(call.Group).accepted = call
}

// recordIneffective records that a promotion which the platform accepted did not take
// effect in time. The duty's row tells the next holder.
func (m *Manager) recordIneffective(call *promotionCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g := m.group(call.Group); g.accepted == call && g.record.Changing {
		g.ineffective = ineffectivePromotion{Database: call.Database, Term: g.record.Term}
	}
}

// recordLastCalled records that a call which ends may have been carried out.
func (m *Manager) recordLastCalled(call *promotionCall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pending := slices.Contains(m.duty.calls, call); pending && m.group(call.Group).record.Changing {
		m.duty.lastCalled[call.Group] = call.Database
	}
}

// lastCalled returns the database that was called last in a group's change in progress, empty if
// none is known.
func (m *Manager) lastCalled(id state.GroupID) state.DatabaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duty.lastCalled[id]
}

// lastCalledInChanges returns the databases that were called last, for the duty's row. The lock of
// the manager must be held.
func (m *Manager) lastCalledInChanges() map[state.GroupID]state.DatabaseID {
	called := maps.Clone(m.duty.lastCalled)
	maps.DeleteFunc(called, func(id state.GroupID, _ state.DatabaseID) bool { return !m.group(id).record.Changing })
	return called
}

// ineffectivePromotions returns those of the changes in progress. The lock of the manager
// must be held.
func (m *Manager) ineffectivePromotions() map[state.GroupID]ineffectivePromotion {
	promotions := make(map[state.GroupID]ineffectivePromotion)
	for id, g := range m.groups {
		if g.record.Changing && g.ineffective.Database != "" {
			promotions[id] = g.ineffective
		}
	}
	return promotions
}

// endCall removes a call that can't be carried out any more, and reports whether it was
// the last one.
func (m *Manager) endCall(call *promotionCall) (last bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := len(m.duty.calls)
	m.duty.calls = slices.DeleteFunc(m.duty.calls, func(other *promotionCall) bool { return other == call })
	last = before > 0 && len(m.duty.calls) == 0
	if last && m.era.number != 0 {
		// The others may wait for this instance's row to say so.
		m.era.waitingRowWritten = false
		signal(m.heartbeatNow)
	}
	return last
}

// endCarriedOut removes the group's call if a database's status shows that it was
// carried out.
func (m *Manager) endCarriedOut(id state.GroupID, found candidate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty.calls = slices.DeleteFunc(m.duty.calls, func(call *promotionCall) bool {
		carriedOut := call.Group == id && call.carriedOut(found)
		if carriedOut {
			m.duty.lastCalled[id] = call.Database
		}
		return carriedOut
	})
	if g := m.group(id); g.accepted != nil && g.accepted.effective(found) {
		g.accepted = nil
	}
}

// allCarriedOut asks the databases that another holder's calls name, and reports
// whether all of these calls were carried out.
func (m *Manager) allCarriedOut(ctx context.Context, calls []recordedCall) bool {
	results := make([]bool, len(calls))
	var queries sync.WaitGroup
	for n, call := range calls {
		entry, registered := m.Directory.Server(call.Group, call.Database)
		if !registered {
			return false
		}
		queries.Go(func() {
			reply, ok := m.queryCandidate(ctx, directory.Entry{Server: entry.Server})
			results[n] = ok && call.carriedOut(reply)
		})
	}
	queries.Wait()
	return !slices.Contains(results, false)
}
