package leadership

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errDutyTaken is returned while another instance holds the promotion duty.
var errDutyTaken = errors.New("another instance holds the promotion duty")

// duty is this instance's hold on the promotion duty, the exclusive right to
// promote databases.
type duty struct {
	held    bool
	record  dutyRecord
	version uint64
	// users is the number of changes in progress.
	users int
	// uncertain is set when a promotion call failed with an unknown outcome. The
	// call may still take effect later, so the duty is not released early but
	// left to expire.
	uncertain bool
}

// acquireDuty acquires or renews the duty and returns its fencing token.
func (m *Manager) acquireDuty(ctx context.Context) (uint64, error) {
	snapshot, err := m.Store.List(ctx, TableDuties)
	if err != nil {
		return 0, err
	}
	var row rowstore.Row
	var current dutyRecord
	for _, candidate := range snapshot.Rows {
		if candidate.Key == dutyPromotion {
			row = candidate
		}
	}
	if row.Version != 0 {
		if err := decode(row.Key, row.Value, &current); err != nil {
			return 0, err
		}
	}
	m.mu.Lock()
	lowest, age := m.era.lowest(), m.eraAge(snapshot.Now)
	m.mu.Unlock()
	// A holder of an earlier era may be missing from the row.
	unknown := current.Token < lowest || row.Version == 0
	if unknown && age <= m.Options.DutyLease+leaseMargin {
		return 0, eris.Wrap(errDutyTaken, "another instance may hold it since before the store was restored")
	}
	mine := current.Holder == m.runName && !unknown
	if !mine && !unknown && int64(snapshot.Now) < current.FreeAt {
		return 0, eris.Wrapf(errDutyTaken, "held by %s", current.Holder)
	}
	next := dutyRecord{Holder: m.runName, Token: max(current.Token, lowest), FreeAt: int64(snapshot.Now + m.Options.DutyLease + leaseMargin)}
	if !mine {
		next.Token++
	}
	return next.Token, m.writeDuty(ctx, next, snapshot.Era, row.Version)
}

func (m *Manager) writeDuty(ctx context.Context, next dutyRecord, eraNumber, version uint64) error {
	value, err := encode(next)
	if err != nil {
		return err
	}
	commit, err := m.commitOnce(ctx, rowstore.Transaction{
		Era: eraNumber, Conditions: []rowstore.Condition{{Table: TableDuties, Key: dutyPromotion, Version: version}},
		Puts: []rowstore.Row{{Table: TableDuties, Key: dutyPromotion, Value: value}},
	})
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era.number != eraNumber {
		return eris.Wrapf(rowstore.ErrEraChanged, "promotion duty of era %d", eraNumber)
	}
	m.duty.held, m.duty.record, m.duty.version = true, next, commit.Version
	return nil
}

// dutyValid reports whether a promotion may be sent now. The last leaseMargin of
// the duty's lease is reserved for calls in flight.
func (m *Manager) dutyValid() bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	storeNow, known := m.lease.clock.upperBound(now)
	return known && m.duty.held && int64(storeNow+leaseMargin) < m.duty.record.FreeAt
}

// addDutyUser registers a change that uses the duty.
func (m *Manager) addDutyUser() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty.users++
}

// removeDutyUser unregisters a change. After the last one the duty is released:
// other instances may acquire it after DutyReleaseDelay.
func (m *Manager) removeDutyUser(ctx context.Context) {
	m.mu.Lock()
	m.duty.users--
	release := m.duty.users == 0 && m.duty.held && !m.duty.uncertain
	record, version, eraNumber := m.duty.record, m.duty.version, m.era.number
	storeNow, _ := m.lease.clock.upperBound(m.Clock.Now())
	if m.duty.users == 0 {
		m.duty.uncertain = false
	}
	m.mu.Unlock()
	if !release {
		return
	}
	record.FreeAt = int64(storeNow + m.Options.DutyReleaseDelay)
	if err := m.writeDuty(ctx, record, eraNumber, version); err != nil {
		m.Log.Warn().Err(err).Msg("failed to release the promotion duty, it expires on its own")
	}
	m.mu.Lock()
	m.duty.held = m.duty.users > 0 && m.duty.held
	m.mu.Unlock()
}

func (m *Manager) markDutyUncertain() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.duty.uncertain = true
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
