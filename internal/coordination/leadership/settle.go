package leadership

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
)

// prepareRenewal does what must precede a renewal in a new era. It reports whether the
// lease may be renewed.
func (m *Manager) prepareRenewal(ctx context.Context) bool {
	m.mu.Lock()
	number := m.era.number
	m.mu.Unlock()
	if !m.prepareRenewalInEra(ctx) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era.prepared = m.era.prepared || m.era.number == number
	return m.era.prepared
}

func (m *Manager) prepareRenewalInEra(ctx context.Context) bool {
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
	if m.readMembersBy(ctx, awaitRead) {
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
	return awaitRead(ctx, m.listEra)
}

func (m *Manager) listEra(ctx context.Context) error {
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
		if row.Version < m.era.rowVersion {
			continue // a later read was faster
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
// others that this instance knows of the era and has no lease of an earlier one. The
// condition on the row's version keeps a write that takes effect late from replacing a
// renewal.
func (m *Manager) writeWaitingRow(ctx context.Context) {
	m.mu.Lock()
	written, valid, eraNumber := m.era.waitingRowWritten, m.lease.valid(m.Clock.Now()), m.era.number
	afterRestore, condition := m.members.afterRestore(eraNumber), m.ownCondition(m.rowVersion)
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
	err = callStore(ctx, heartbeatTimeout, func(ctx context.Context) error {
		_, err := m.Store.Transact(ctx, rowstore.Transaction{
			Era: eraNumber, Conditions: []rowstore.Condition{condition}, Puts: []rowstore.Row{m.ownRow(value)},
		})
		m.recordWaitingRow(eraNumber, err)
		return err
	}, func(error) {})
	m.Availability.Record(err)
	if err != nil {
		m.Log.Warn().Err(err).Msg("failed to write the row of a waiting instance")
	}
}

func (m *Manager) recordWaitingRow(eraNumber uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil && m.era.number == eraNumber {
		m.era.waitingRowWritten = true
	}
}

// settleEra states that the records are right if no instance can know better, after
// it has asked the databases.
func (m *Manager) settleEra(ctx context.Context) {
	m.mu.Lock()
	firstStart := !m.members.afterRestore(m.era.number) && m.noRecords()
	due := m.settlementDue()
	asked := m.era.number
	m.mu.Unlock()
	if !firstStart && !due {
		return
	}
	if !firstStart && !m.confirmPrimaries(ctx) {
		return
	}
	if err := m.writeEra(ctx, asked); err != nil {
		m.Log.Warn().Err(err).Msg("failed to write that the records of the era are known")
	}
}

// settlementDue reports whether this instance should state that the records are right:
// all instances wait as it does, or the leases and duties of earlier eras have
// expired. The caller must hold m.mu.
func (m *Manager) settlementDue() bool {
	age := m.eraAge(m.members.now)
	turn := time.Duration(m.members.ranking(rowEra, m.Options.MaxLease).position) * staggerStep
	if age < m.earlierDutyAge()+turn || age <= m.earlierCallsEnd()+turn && !m.allEndedCalls() {
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
// instance knows so from an earlier era and has not stated it yet. The renewal must have
// been prepared in the same era.
func (m *Manager) addEraStatement(transaction *rowstore.Transaction) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era.number != 0 && (!m.era.prepared || m.era.number != transaction.Era) {
		return eris.Wrapf(rowstore.ErrEraChanged, "renewal in era %d", transaction.Era)
	}
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

// writeEra states that the records of the given era are right, unless another one has begun
// since that was found out.
func (m *Manager) writeEra(ctx context.Context, asked uint64) error {
	m.mu.Lock()
	if m.era.number != asked {
		m.mu.Unlock()
		return eris.Wrapf(rowstore.ErrEraChanged, "settlement of era %d", asked)
	}
	row, err := m.eraWrite()
	transaction := rowstore.Transaction{
		Era: m.era.number, Puts: []rowstore.Row{row},
		Conditions: []rowstore.Condition{{Table: TableEras, Key: rowEra, Version: m.era.rowVersion}},
	}
	m.mu.Unlock()
	if err != nil {
		return err
	}
	err = callStore(ctx, heartbeatTimeout, func(ctx context.Context) error {
		_, err := m.Store.Transact(ctx, transaction)
		return err
	}, func(error) {})
	m.Log.Info().Err(err).Uint64("era", transaction.Era).Msg("stated that the records of the era are known")
	return err
}
