package leadership

import (
	"context"
	"errors"
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
	// prepared is set once what must precede a renewal in the era has been done.
	prepared bool
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
	m.beginReplicaSetsEra(valid)
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
		turn := min(time.Duration(m.rankingOf(id).position)*staggerStep, maxRestoreDelay)
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
