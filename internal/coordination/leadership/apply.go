package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Apply updates the groups with changed rows of TablePrimaries.
func (m *Manager) Apply(update rowstore.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if update.Era != m.era.number {
		return
	}
	for _, row := range update.Rows {
		m.applyRow(row, update.RespondedAt)
		if row.Version <= update.Version {
			// A newer row is of a later page, and other changes may be unseen.
			m.generation = max(m.generation, row.Version)
		}
	}
	m.observeStore(update.RequestedAt, update.RespondedAt, update.Now)
	m.lease.seenVersion = max(m.lease.seenVersion, update.Version)
	if update.Complete {
		m.findUnsavedRecords()
		m.ready = true
	}
	m.broadcast()
}

// applyRow decodes a group's row and applies it. A row that cannot be decoded
// counts as a change in progress, so that the primary is not used. The caller
// must hold m.mu.
func (m *Manager) applyRow(row rowstore.Row, now state.Instant) {
	id := state.GroupID(row.Key)
	g := m.group(id)
	if row.Removed || row.Version <= g.version {
		return
	}
	var record Record
	if err := decode(row.Key, row.Value, &record); err != nil {
		m.Log.Error().Err(err).Str("group", row.Key).Msg("cannot decode the record of a group's primary, the primary is not used")
		record = Record{Epoch: g.record.Epoch + 1, Changing: true, Primary: g.record.Primary}
	}
	m.applyRecord(id, record, row.Version, now)
}

// applyRecord applies a record that the store holds at the given version, or that
// another instance knows if version is 0. A record that is older than the known one
// is not applied: it was written in an earlier era, or on conditions of one, and is
// replaced by restoreRecords. The caller must hold m.mu.
func (m *Manager) applyRecord(id state.GroupID, record Record, version uint64, now state.Instant) {
	g := m.group(id)
	if version != 0 {
		if version <= g.version {
			return
		}
		g.version, g.unsaved = version, false
	}
	if !record.newerThan(g.record) {
		g.unsaved = g.unsaved || g.record.newerThan(record)
		return
	}
	g.unsaved = version == 0
	m.observePromoters(g.record, record, now)
	if record.Changing && !g.record.Changing {
		g.changingSince = now
	}
	g.record, g.seenAt = record, now
	g.suspected, g.doubted, g.demoted = false, false, false
	if !record.Changing {
		g.ineffective = ineffectivePromotion{}
		delete(m.duty.lastCalled, id)
	}
	m.Log.Info().Str("group", string(id)).Uint64("epoch", record.Epoch).Bool("changing", record.Changing).Bool("planned", record.Planned).
		Str("primary", string(record.Primary)).Str("promoter", record.Promoter).Int("grants", len(g.grants)).Msg("primary's record changed")
	switch {
	case !record.Changing:
		m.revokeSuperseded(g)
	case record.Epoch > max(g.acknowledged, g.revoking):
		g.revoking = record.Epoch
		go m.revoke(id, record.Epoch, record.Planned)
	}
}

// revokeSuperseded revokes the grants of earlier epochs than the record's. There are
// some if this instance had no lease during the change and did not see its
// announcement. The caller must hold m.mu.
func (m *Manager) revokeSuperseded(g *group) {
	g.revokeGrants(func(grant *Grant) bool { return grant.Epoch < g.record.Epoch })
}

// broadcast wakes those who wait on Changed. The caller must hold m.mu.
func (m *Manager) broadcast() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// revoke revokes all grants of the old primary and then acknowledges the epoch.
func (m *Manager) revoke(id state.GroupID, epoch uint64, planned bool) {
	if planned {
		m.awaitRelease(id)
	}
	m.mu.Lock()
	g := m.group(id)
	closers := make([]func(), 0, len(g.grants))
	for grant := range g.grants {
		if closer := grant.revoke(); closer != nil {
			closers = append(closers, closer)
		}
		delete(g.grants, grant)
	}
	m.mu.Unlock()
	for _, closer := range closers {
		closer()
	}
	m.mu.Lock()
	g.acknowledged = max(g.acknowledged, epoch)
	m.mu.Unlock()
	m.Log.Info().Str("group", string(id)).Uint64("epoch", epoch).Int("closed", len(closers)).Msg("stopped using the old primary")
	signal(m.heartbeatNow)
}

// awaitRelease waits until all grants of a group are released, at most for
// Options.PlannedDrain.
func (m *Manager) awaitRelease(id state.GroupID) {
	deadline := m.Clock.Now().Add(m.Options.PlannedDrain)
	for m.Clock.Now() < deadline {
		m.mu.Lock()
		remaining := len(m.group(id).grants)
		m.mu.Unlock()
		if remaining == 0 {
			return
		}
		time.Sleep(acknowledgementInterval)
	}
}
