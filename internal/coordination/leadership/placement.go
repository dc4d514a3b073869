package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// LiveInstances returns the instances that may be using databases, this one
// included once its row has been read.
func (m *Manager) LiveInstances() []placement.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	settled := placement.SettleTime(m.members.readInterval())
	storeNow := m.lease.clock.lowerBound(m.Clock.Now())
	live := make([]placement.Instance, 0, len(m.members.byName))
	for name, entry := range m.members.byName {
		if entry.heartbeat.Address == "" || !m.members.renewedWithin(entry, m.Options.MaxLease) {
			continue
		}
		joined := time.Duration(entry.heartbeat.Joined)
		live = append(live, placement.Instance{
			Name: name, Address: entry.heartbeat.Address, DataCentre: entry.heartbeat.DataCentre, Joining: joined == 0 || storeNow-joined < settled,
		})
	}
	return live
}

// GroupDemand returns the demand of all instances for the connections to a
// group's databases.
func (m *Manager) GroupDemand(id state.GroupID) float64 {
	_, _, all := m.DemandOf(id)
	return float64(all) / demandUnits
}

// demandUnits is how many units of the demand in the instances' rows are one
// connection.
const demandUnits = 10

// MembersReadInterval returns the time between two reads of the instances' rows.
func (m *Manager) MembersReadInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.readInterval()
}
