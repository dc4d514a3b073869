package leadership

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// When the store is restored from a copy, changes of primaries that it had
// acknowledged may be missing. Who may use primaries in the new era:
//
//   - An instance whose lease is valid when it sees the era goes on: a promoter of
//     the era before waited for this instance, so no change has ended that it does not
//     know of. It first writes back the records that the store lacks and then renews.
//     Its first renewal states in TableEras that the store's records are right.
//   - All others wait for that row. If no instance with a valid lease is left, the
//     row is written by one of those that wait, once no lease or duty of an earlier
//     era can be valid, and after the databases were asked who leads.
//
// Epochs and fencing tokens of a new era are higher than all earlier ones.

// era is what an instance knows of the store's newest era. The zero value is that of
// a store that reports none.
type era struct {
	number uint64
	// seenAt is when this instance first saw the era.
	seenAt state.Instant
	// began is a reading of the store's clock by which the era had begun; 0 before
	// the first response of the era.
	began time.Duration
	// carried is set if this instance had a valid lease when it saw the era.
	carried bool
	// settled is set if the records of all primaries are known to be right.
	settled bool
	// stated is set once this instance has stated so in TableEras, whose row has
	// rowVersion.
	stated     bool
	rowVersion uint64
	// waitingRowWritten is set once the others can read that this instance waits.
	waitingRowWritten bool
}

// lowest returns the number that epochs and fencing tokens of the era exceed.
func (e era) lowest() uint64 { return e.number * eraNumbers }

// BeginEra ends the use of all versions and clock readings of the era before. It is a
// listener of rowstore.EraStore.OnNewEra.
func (m *Manager) BeginEra(number uint64) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	valid := m.lease.valid(now)
	m.era = era{number: number, seenAt: now, carried: valid, settled: valid}
	m.lease.beginEra(now)
	m.members.beginEra()
	m.generation, m.rowVersion, m.ready, m.joined = 0, 0, false, 0
	m.duty.held = false
	m.confirmations = confirmations{nonce: m.confirmations.nonce}
	for _, g := range m.groups {
		g.version, g.unsaved = 0, false
	}
	m.Log.Info().Uint64("era", number).Bool("lease_valid", valid).Dur("lease_left_ms", max(0, m.lease.carriedUntil.Sub(now))).
		Msg("the store was restored from a copy, or this instance has just started")
	m.broadcast()
	signal(m.heartbeatNow)
	signal(m.readMembersNow)
}

// observeStore updates the estimate of the store's clock with a response of the
// present era. The caller must hold m.mu.
func (m *Manager) observeStore(sent, received state.Instant, storeNow time.Duration) {
	m.lease.clock.observe(sent, received, storeNow)
	if m.era.began == 0 {
		m.era.began = storeNow
	}
}

// eraAge returns a lower bound of the time since the era began. The caller must hold
// m.mu.
func (m *Manager) eraAge(storeNow time.Duration) time.Duration {
	if m.era.number == 0 {
		return staleRowAge
	}
	if m.era.began == 0 {
		return 0
	}
	return max(0, storeNow-m.era.began)
}

// earlierLeasesOver reports whether the leases of earlier eras that last as given have
// surely expired. The caller must hold m.mu.
func (m *Manager) earlierLeasesOver(storeNow, length time.Duration) bool {
	return m.eraAge(storeNow) > length+leaseMargin
}

// findUnsavedRecords marks the records that are not in the store. It must be called
// after all rows have been applied. The caller must hold m.mu.
func (m *Manager) findUnsavedRecords() {
	for _, g := range m.groups {
		if g.record.Epoch != 0 && g.version == 0 {
			g.unsaved = true
		}
	}
}

// restoreRecords writes the records that the store lacks. Usually several instances
// know them, so each waits for its turn. It reports whether none is left.
func (m *Manager) restoreRecords(ctx context.Context) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	type unsavedRecord struct {
		id      state.GroupID
		record  Record
		version uint64
	}
	var due []unsavedRecord
	left, number := 0, m.era.number
	for id, g := range m.groups {
		if !g.unsaved {
			continue
		}
		left++
		turn := min(time.Duration(m.rankingOf(id).position(m.Self))*staggerStep, maxRestoreDelay)
		if now.Sub(m.era.seenAt) >= turn {
			due = append(due, unsavedRecord{id, g.record, g.version})
		}
	}
	m.mu.Unlock()
	for _, row := range due {
		_, err := m.writeRecord(ctx, row.id, row.record, number, row.version)
		m.Log.Info().Err(err).Str("group", string(row.id)).Uint64("epoch", row.record.Epoch).Str("primary", string(row.record.Primary)).
			Msg("wrote the record of a primary that the store had lost")
		switch {
		case err == nil:
			left--
		case errors.Is(err, rowstore.ErrConflict):
			m.readPrimaries(ctx)
		}
	}
	return left == 0
}

// prepareRenewal does what must precede a renewal in a new era. It reports whether the
// lease may be renewed.
func (m *Manager) prepareRenewal(ctx context.Context) bool {
	if !m.restoreRecords(ctx) {
		return false
	}
	m.mu.Lock()
	allowed := m.era.number == 0 || m.era.settled
	m.mu.Unlock()
	if allowed {
		return true
	}
	if err := m.readEra(ctx); err != nil {
		m.Log.Warn().Err(err).Msg("failed to read whether the records of the era are known")
		return false
	}
	m.mu.Lock()
	allowed = m.era.settled
	m.mu.Unlock()
	if allowed {
		// Records may have been written since this instance read them.
		m.readPrimaries(ctx)
		return m.restoreRecords(ctx)
	}
	if m.readMembers(ctx) {
		m.writeWaitingRow(ctx)
		m.settleEra(ctx)
	}
	return false
}

// settlementRetryDelay returns the time between two reads of TableEras while this
// instance waits. All instances together read no more often than a few hundred times
// a second.
func (m *Manager) settlementRetryDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Duration(float64(settlementInterval) * max(1, float64(len(m.members.byName))/fullReadRateMembers))
}

// readEra reads the row in TableEras.
func (m *Manager) readEra(ctx context.Context) error {
	snapshot, err := m.Store.List(ctx, TableEras)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if snapshot.Era != m.era.number {
		return nil
	}
	for _, row := range snapshot.Rows {
		if row.Key != rowEra {
			continue
		}
		var record eraRecord
		if err := decode(row.Key, row.Value, &record); err != nil {
			return err
		}
		m.era.rowVersion = row.Version
		if record.Era == m.era.number {
			m.era.settled, m.era.began = true, time.Duration(record.Began)
			m.Log.Info().Uint64("era", record.Era).Msg("the records of the era are known")
		}
	}
	return nil
}

// writeWaitingRow writes this instance's row without renewing its lease. It shows the
// others that this instance knows of the era and has no lease of an earlier one.
func (m *Manager) writeWaitingRow(ctx context.Context) {
	m.mu.Lock()
	written, valid, number := m.era.waitingRowWritten, m.lease.valid(m.Clock.Now()), m.era.number
	afterRestore := m.members.afterRestore(number)
	m.mu.Unlock()
	if written || valid {
		return
	}
	row := m.nextHeartbeat()
	row.Waiting, row.AfterRestore = true, afterRestore
	value, err := encode(row)
	if err != nil {
		m.Log.Error().Err(err).Msg("failed to encode the instance's row")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	_, err = m.Store.Transact(ctx, rowstore.Transaction{Era: number, Puts: []rowstore.Row{{Table: TableInstances, Key: string(m.Self), Value: value}}})
	m.Availability.Record(err)
	if err != nil {
		m.Log.Warn().Err(err).Msg("failed to write the row of a waiting instance")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era.number == number {
		m.era.waitingRowWritten = true
	}
}

// settleEra states that the records are right if no instance can know better, after
// it has asked the databases.
func (m *Manager) settleEra(ctx context.Context) {
	m.mu.Lock()
	first := !m.members.afterRestore(m.era.number) && m.noRecords()
	due := m.settlementDue()
	m.mu.Unlock()
	if !first && (!due || !m.confirmPrimaries(ctx)) {
		return
	}
	if err := m.writeEra(ctx); err != nil {
		m.Log.Warn().Err(err).Msg("failed to write that the records of the era are known")
	}
}

// settlementDue reports whether this instance should state that the records are right:
// all instances wait as it does, or the leases and duties of earlier eras have
// expired. The caller must hold m.mu.
func (m *Manager) settlementDue() bool {
	age := m.eraAge(m.members.now)
	turn := time.Duration(m.members.ranking(rowEra, m.Options.MaxLease).position(m.Self)) * staggerStep
	if age < m.earlierDutyAge()+turn {
		return false
	}
	return m.members.allWait(m.Self, m.era.number) || age > m.Options.MaxLease+leaseMargin+turn
}

// noRecords reports whether no primary was ever changed. If there are no rows of
// instances of earlier eras either, this is the first start on the store. The caller
// must hold m.mu.
func (m *Manager) noRecords() bool {
	for _, g := range m.groups {
		if g.record.Epoch != 0 {
			return false
		}
	}
	return m.ready
}

// earlierDutyAge returns the age of an era at which leases and duties of instances
// whose rows were lost have expired. The caller must hold m.mu.
func (m *Manager) earlierDutyAge() time.Duration {
	return max(m.nextLease(), m.Options.DutyLease) + leaseMargin
}

// eraWrite returns the write that states that the records of the era are right. The
// caller must hold m.mu.
func (m *Manager) eraWrite() (rowstore.Row, error) {
	value, err := encode(eraRecord{Era: m.era.number, Began: int64(m.era.began)})
	return rowstore.Row{Table: TableEras, Key: rowEra, Value: value}, err
}

// addEraStatement adds to a renewal that the records of the era are right, if this
// instance knows so from an earlier era and has not stated it yet. It must not be
// called before restoreRecords has succeeded.
func (m *Manager) addEraStatement(transaction *rowstore.Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.era.carried || m.era.stated || m.era.began == 0 {
		return nil
	}
	row, err := m.eraWrite()
	if err != nil {
		return err
	}
	transaction.Puts = append(transaction.Puts, row)
	return nil
}

func (m *Manager) writeEra(ctx context.Context) error {
	m.mu.Lock()
	row, err := m.eraWrite()
	transaction := rowstore.Transaction{
		Era: m.era.number, Puts: []rowstore.Row{row},
		Conditions: []rowstore.Condition{{Table: TableEras, Key: rowEra, Version: m.era.rowVersion}},
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	_, err = m.Store.Transact(ctx, transaction)
	m.Log.Info().Err(err).Str("era", strconv.FormatUint(transaction.Era, 10)).Msg("stated that the records of the era are known")
	return err
}
