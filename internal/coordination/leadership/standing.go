package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Standing is what the instances' rows say about who takes part. All times are the
// store's.
type Standing struct {
	Self state.InstanceID
	// Instances are those whose row changed recently, this one included.
	Instances []InstanceRow
	// Earliest and Latest are bounds of the present time.
	Earliest, Latest time.Duration
	// ReadAt is when the rows were read, RenewedAt when this instance last wrote its
	// own, and Joined since when it has had one.
	ReadAt, RenewedAt, Joined time.Duration
	// ReadInterval is the usual time between two reads.
	ReadInterval time.Duration
	// RowsLost is set while instances of an earlier era may have rows that were lost.
	RowsLost bool
	// Settled is set if instances that started together with this one are listed.
	Settled bool
}

// InstanceRow is one instance's row.
type InstanceRow struct {
	Name    state.InstanceID
	Address string
	// Joined is since when the instance has had a row; 0 while the row does not say so.
	Joined time.Duration
	// Level is that of the instance's build.
	Level uint32
}

// maxRowGap is the longest time between the last renewal of one run and the first row
// of the next that leaves no gap: others count an instance for longer.
const maxRowGap = 20 * time.Second

// continuity tracks since when this instance has had a row, over its runs. An instance
// that was restarted is known to the others by name all the time.
type continuity struct {
	// earlier is the row of an earlier run, found at the start.
	earlier heartbeat
	// since is as in heartbeat, in an era of the store.
	since int64
	era   uint64
	// guardUntil is until when a removal of the earlier run's row may still be carried
	// out that has no condition.
	guardUntil state.Instant
}

// recordOwnRow records the row found in the store in place of the expected one. The
// caller must hold m.mu.
func (c *continuity) recordOwnRow(m *Manager, row heartbeat) {
	if row.Run == m.Config.Run {
		return
	}
	c.earlier = row
	if !row.LeasedOnly {
		c.guardUntil = m.Clock.Now().Add(lateRemovalTime)
	}
}

// guardsRow reports whether this run's row is at risk: earlier builds remove their rows
// without a condition, so that a removal which is carried out late takes the row of the
// next run, and promoters don't wait for it. If so, renewals come so often that the row
// is missed, and a change beside it noticed, before a promotion takes effect.
func (m *Manager) guardsRow() (interval time.Duration, guards bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	load := float64(len(m.members.byName)) / float64(m.Options.FullRateMembers)
	return time.Duration(float64(rowGuardInterval) * max(1, load)), m.Clock.Now() < m.continuity.guardUntil
}

// update returns since when there has been a row, for the next one to state. The
// caller must hold m.mu.
func (c *continuity) update(m *Manager) int64 {
	if c.era != m.era.number {
		c.since, c.era = 0, m.era.number
	}
	if row, found := m.members.byName[m.Self]; found && m.joined == 0 {
		c.recordOwnRow(m, row.heartbeat)
	}
	latest, known := m.lease.clock.upperBound(m.Clock.Now())
	if c.since != 0 || !known || c.earlier.Run == 0 || c.earlier.Era != m.era.number || c.earlier.Until == 0 {
		return c.since
	}
	if latest-c.earlier.leaseStart(latest) <= maxRowGap {
		c.since = c.earlier.firstRow()
	}
	return c.since
}

// firstRow returns since when the instance has had a row, 0 if the row does not say so.
func (h heartbeat) firstRow() int64 {
	if h.Since != 0 {
		return h.Since
	}
	return h.Joined
}

// Standing returns the instances whose rows changed within the given time. It returns
// false while this instance has no lease in the store's present era or has not read
// the rows in it.
func (m *Manager) Standing(within time.Duration) (Standing, bool) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	latest, known := m.lease.clock.upperBound(now)
	if !known || !m.lease.acquired || m.joined == 0 || m.members.now == 0 || m.members.outdated {
		return Standing{}, false
	}
	// The instances of earlier days are listed in any row read since the start.
	joined, settled := m.joined, m.membersSettled
	if m.continuity.since != 0 && m.continuity.era == m.era.number {
		joined, settled = m.continuity.since, true
	}
	standing := Standing{
		Self: m.Self, Earliest: m.lease.clock.lowerBound(now), Latest: latest, ReadAt: m.members.now, RenewedAt: m.lease.renewedAt,
		Joined: time.Duration(joined), ReadInterval: m.members.readInterval(), Settled: settled,
		RowsLost: len(m.members.remembered) > 0,
	}
	for name, entry := range m.members.byName {
		if !m.members.renewedWithin(entry, within) {
			continue
		}
		row := InstanceRow{Name: name, Address: entry.heartbeat.Address, Level: entry.heartbeat.Level}
		if entry.heartbeat.Era == m.era.number {
			row.Joined = time.Duration(entry.heartbeat.firstRow())
		}
		standing.Instances = append(standing.Instances, row)
	}
	return standing, true
}
