package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// OfferRenewal returns a renewal for another instance to send, and a function that
// takes its commit. ok is false while this instance must renew by itself: its next
// renewal does more than extend a lease, or the last one failed, or one is under way.
func (m *Manager) OfferRenewal() (transaction rowstore.Transaction, committed func(rowstore.Commit), ok bool) {
	if !m.renewsOnly() {
		return rowstore.Transaction{}, nil, false
	}
	row := m.nextHeartbeat()
	value, err := encode(row)
	if err != nil {
		m.Log.Error().Err(err).Msg("failed to encode the instance's row")
		return rowstore.Transaction{}, nil, false
	}
	era, conditions := m.renewalConditions()
	watched := m.WatchedRows()
	sent := m.noteOffer()
	transaction = rowstore.Transaction{Era: era, Conditions: append(conditions, watched...), Puts: []rowstore.Row{m.ownRow(value)}}
	return transaction, func(commit rowstore.Commit) {
		if err := m.applyRenewal(transaction, row, sent, commit); err != nil {
			m.Log.Warn().Err(err).Msg("a renewal that another instance sent is not used")
			return
		}
		m.mu.Lock()
		m.collectedAt, m.offeredAt = max(m.collectedAt, sent), 0
		m.mu.Unlock()
		m.Availability.Record(nil)
		m.recordRenewal(nil)
		if len(watched) > 0 && m.OnWatchedRowsCurrent != nil {
			m.OnWatchedRowsCurrent(sent)
		}
	}, true
}

// renewsOnly reports whether the next renewal needs no preparation and states nothing
// new about the store's era.
func (m *Manager) renewsOnly() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	settled := m.era.number == 0 || m.era.settled && m.era.stated == m.era.carried
	for _, g := range m.groups {
		settled = settled && !g.unsaved
	}
	return settled && m.ready && m.lease.acquired && m.renewalFailures == 0 && !m.renewing
}

// noteOffer notes that a renewal is offered now.
func (m *Manager) noteOffer() state.Instant {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.offeredAt == 0 {
		m.offeredAt = now
	}
	return now
}

// setRenewing notes that this instance starts or ends a renewal by itself, which settles
// what it has offered.
func (m *Manager) setRenewing(renewing bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewing, m.offeredAt = renewing, 0
}

// RenewNow makes this instance renew its lease by itself at once.
func (m *Manager) RenewNow() {
	signal(m.heartbeatNow)
}

// untilOwnRenewal returns the time until this instance renews by itself; 0 or less if no
// other instance sends its renewals. One that renewed beside its offer would make the
// collector's transaction fail, and the answer would bring the next renewals of both
// together again.
func (m *Manager) untilOwnRenewal() time.Duration {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var due state.Instant
	if m.collectedAt != 0 {
		due = m.collectedAt.Add(m.heartbeatInterval() + collectedGrace)
	}
	if m.offeredAt != 0 {
		due = max(due, m.offeredAt.Add(collectedGrace))
	}
	return due.Sub(now)
}

// Neighbourhood returns the live instances of this data centre, this one included.
func (m *Manager) Neighbourhood() []InstanceRow {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []InstanceRow
	for name, entry := range m.members.byName {
		if name == m.Self || entry.heartbeat.DataCentre == m.DataCentre && entry.heartbeat.Address != "" && m.members.renewedWithin(entry, m.liveWithin()) {
			rows = append(rows, InstanceRow{Name: name, Address: entry.heartbeat.Address, Level: entry.heartbeat.Level})
		}
	}
	return rows
}
