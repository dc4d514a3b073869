package leadership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errDutyTaken is returned while another instance holds the promotion duty.
var errDutyTaken = errors.New("another instance holds the promotion duty")

// errEarlierCalls is returned while a promotion call from before the store was restored
// may still be carried out.
var errEarlierCalls = errors.New("a promotion call of an earlier era may still be carried out")

// duty is this instance's hold on the promotion duty, the exclusive right to
// promote databases.
type duty struct {
	held    bool
	record  dutyRecord
	version uint64
	// users is the number of changes in progress.
	users int
	// calls holds this run's promotion calls that may still be carried out. They
	// stay in an era of the store that begins meanwhile.
	calls []*promotionCall
	// lastCalled holds the databases that the last calls name which may have been carried
	// out and are not pending any more, those of earlier holders included. It holds none for
	// groups that are not being changed. The duty's row passes it on: a database that was
	// promoted earlier in the same change must not be published after one that is out of reach.
	lastCalled map[state.GroupID]state.DatabaseID
	// writeTime is how long the last write of the duty's row took.
	writeTime time.Duration
}

// acquireDuty acquires or renews the duty and returns its fencing token.
func (m *Manager) acquireDuty(ctx context.Context) (uint64, error) {
	var token uint64
	err := m.inDutyTurn(ctx, func() error {
		snapshot, err := m.Store.List(ctx, TableDuties)
		if err != nil {
			return err
		}
		current, version, err := currentDuty(snapshot)
		if err != nil {
			return err
		}
		next, err := m.nextDuty(ctx, snapshot, current, version)
		if err != nil {
			return err
		}
		token = next.Token
		if err := m.writeDuty(ctx, next, snapshot.Era, version, nil); err != nil {
			return err
		}
		if next.Token != current.Token {
			m.logAcquiredDuty(current, next.Token)
		}
		return nil
	})
	return token, err
}

// currentDuty returns the duty's row among the rows of TableDuties, and its version.
func currentDuty(snapshot rowstore.Snapshot) (current dutyRecord, version uint64, err error) {
	for _, row := range snapshot.Rows {
		if row.Key != dutyPromotion {
			continue
		}
		if err := decode(row.Key, row.Value, &current); err != nil {
			return dutyRecord{}, 0, err
		}
		version = row.Version
	}
	return current, version, nil
}

// nextDuty returns the duty's row as this instance may write it in place of the current
// one, which has the given version.
func (m *Manager) nextDuty(ctx context.Context, snapshot rowstore.Snapshot, current dutyRecord, version uint64) (next dutyRecord, err error) {
	m.mu.Lock()
	lowest, age := m.era.lowest(), m.eraAge(snapshot.Now)
	m.mu.Unlock()
	// A holder of an earlier era may be missing from the row.
	unknown := current.Token < lowest || version == 0
	if unknown && age <= m.Options.DutyLease+leaseMargin {
		return dutyRecord{}, eris.Wrap(errDutyTaken, "another instance may hold it since before the store was restored")
	}
	if unknown && !m.awaitedCallsEnded(ctx, age) {
		return dutyRecord{}, eris.Wrap(errEarlierCalls, "promotion duty of a new era")
	}
	mine := current.Holder == m.runName && !unknown
	if !mine && !unknown && !m.dutyFree(ctx, current, snapshot.Now) {
		return dutyRecord{}, eris.Wrapf(errDutyTaken, "held by %s", current.Holder)
	}
	if !mine {
		m.inheritCalls(current)
	}
	next = dutyRecord{Holder: m.runName, Token: max(current.Token, lowest)}
	if !mine {
		next.Token++
	}
	return m.extendDuty(next, snapshot.Now, nil), nil
}

// inheritCalls records the calls in the row of the holder before, and what it found out
// about promotions.
func (m *Manager) inheritCalls(row dutyRecord) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty.lastCalled = make(map[state.GroupID]state.DatabaseID, len(row.LastCalled)+len(row.Calls))
	maps.Copy(m.duty.lastCalled, row.LastCalled)
	for _, call := range row.Calls {
		m.duty.lastCalled[call.Group] = call.Database
	}
	for id, promotion := range row.Ineffective {
		m.group(id).ineffective = promotion
	}
}

// dutyFree reports whether the duty in another holder's row may be acquired: its lease
// has expired, and none of its promotion calls can be carried out any more.
func (m *Manager) dutyFree(ctx context.Context, current dutyRecord, storeNow time.Duration) bool {
	if int64(storeNow) >= current.FreeAt {
		return true
	}
	// When a call was carried out is not known, so that none may follow soon after.
	return m.Options.DutyReleaseDelay == 0 && len(current.Calls) > 0 && int64(storeNow) >= current.HeldUntil && m.allCarriedOut(ctx, current.Calls)
}

// extendDuty returns the duty's row with a lease from now on and the added calls. The
// duty is not free while a promotion call may still be carried out.
func (m *Manager) extendDuty(record dutyRecord, storeNow time.Duration, added []*promotionCall) dutyRecord {
	return m.holdDuty(record, storeNow, storeNow+m.Options.DutyLease+leaseMargin, added)
}

// holdDuty returns the duty's row with a lease until the given time.
func (m *Manager) holdDuty(record dutyRecord, storeNow, until time.Duration, added []*promotionCall) dutyRecord {
	record.HeldUntil = int64(until)
	record.FreeAt = record.HeldUntil
	m.mu.Lock()
	record.Calls = m.duty.pendingCalls(storeNow, m.era.number, added)
	record.LastCalled, record.Ineffective = m.lastCalledInChanges(), m.ineffectivePromotions()
	m.mu.Unlock()
	for _, call := range record.Calls {
		record.FreeAt = max(record.FreeAt, call.Until+int64(m.Options.DutyReleaseDelay))
	}
	return record
}

// allAccepted reports whether no call is without an answer. The lock of the manager must
// be held.
func (d *duty) allAccepted() bool {
	return !slices.ContainsFunc(d.calls, func(call *promotionCall) bool { return !call.accepted })
}

// writeDuty replaces the duty's row of the given version if the further conditions hold.
func (m *Manager) writeDuty(ctx context.Context, next dutyRecord, eraNumber, version uint64, further []rowstore.Condition) error {
	value, err := encode(next)
	if err != nil {
		return err
	}
	started := m.Clock.Now()
	commit, err := m.commitOnce(ctx, rowstore.Transaction{
		Era: eraNumber, Conditions: append([]rowstore.Condition{{Table: TableDuties, Key: dutyPromotion, Version: version}}, further...),
		Puts: []rowstore.Row{{Table: TableDuties, Key: dutyPromotion, Value: value}},
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty.writeTime = m.Clock.Now().Sub(started)
	if err != nil {
		return err
	}
	if m.era.number != eraNumber {
		return eris.Wrapf(rowstore.ErrEraChanged, "promotion duty of era %d", eraNumber)
	}
	m.duty.held, m.duty.record, m.duty.version = true, next, commit.Version
	m.duty.markRecorded(next.Calls)
	return nil
}

// inDutyTurn runs action while no other change of this instance reads or writes the
// duty's row, so that their writes don't conflict.
func (m *Manager) inDutyTurn(ctx context.Context, action func() error) error {
	select {
	case m.dutyTurn <- struct{}{}:
		defer func() { <-m.dutyTurn }()
		return action()
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "wait for the row of the promotion duty")
	}
}

// dutyValid reports whether a promotion may be sent now. The last leaseMargin of
// the duty's lease is reserved for calls in flight.
func (m *Manager) dutyValid() bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	storeNow, known := m.lease.clock.upperBound(now)
	return known && m.duty.held && int64(storeNow+leaseMargin) < m.duty.record.HeldUntil
}

// addDutyUser registers a change that uses the duty.
func (m *Manager) addDutyUser() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty.users++
}

// removeDutyUser unregisters a change, and releases the duty after the last one.
func (m *Manager) removeDutyUser(ctx context.Context) {
	m.mu.Lock()
	m.duty.users--
	m.mu.Unlock()
	m.releaseDuty(ctx)
}

// releaseDuty gives the duty up if no change uses it and no promotion call is without an
// answer: other instances may acquire it after DutyReleaseDelay, or once accepted calls
// have ended. Otherwise it is left to expire.
func (m *Manager) releaseDuty(ctx context.Context) {
	err := m.inDutyTurn(ctx, func() error {
		m.mu.Lock()
		release := m.duty.users == 0 && m.duty.held && m.duty.allAccepted()
		record, version, eraNumber := m.duty.record, m.duty.version, m.era.number
		storeNow, _ := m.lease.clock.upperBound(m.Clock.Now())
		m.mu.Unlock()
		if !release {
			return nil
		}
		err := m.writeDuty(ctx, m.holdDuty(record, storeNow, storeNow+m.Options.DutyReleaseDelay, nil), eraNumber, version, nil)
		m.mu.Lock()
		m.duty.held = m.duty.users > 0 && m.duty.held
		m.mu.Unlock()
		return err
	})
	if err != nil {
		m.Log.Warn().Err(err).Msg("failed to release the promotion duty, it expires on its own")
	}
}

// withRetries repeats a store write until it succeeds or conflicts, or until
// storeWriteTimeout has passed.
func (m *Manager) withRetries(ctx context.Context, write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	for {
		err := write(ctx)
		if err == nil || errors.Is(err, rowstore.ErrConflict) || ctx.Err() != nil {
			return err
		}
		state.Pause(ctx, 2*acknowledgementInterval)
	}
}
