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
	// own, and Joined when this run first did.
	ReadAt, RenewedAt, Joined time.Duration
	// ReadInterval is the usual time between two reads.
	ReadInterval time.Duration
	// Settled is set if instances that started together with this one are listed.
	Settled bool
}

// InstanceRow is one instance's row.
type InstanceRow struct {
	Name    state.InstanceID
	Address string
	// Joined is when the run first wrote its row; 0 while the row does not say so.
	Joined time.Duration
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
	standing := Standing{
		Self: m.Self, Earliest: m.lease.clock.lowerBound(now), Latest: latest, ReadAt: m.members.now, RenewedAt: m.lease.renewedAt,
		Joined: time.Duration(m.joined), ReadInterval: m.members.readInterval(), Settled: m.membersSettled,
	}
	for name, entry := range m.members.byName {
		if !m.members.renewedWithin(entry, within) {
			continue
		}
		row := InstanceRow{Name: name, Address: entry.heartbeat.Address}
		if entry.heartbeat.Era == m.era.number {
			row.Joined = time.Duration(entry.heartbeat.Joined)
		}
		standing.Instances = append(standing.Instances, row)
	}
	return standing, true
}
