package leadership

import (
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// LiveInstances returns the instances that may be using databases, this one
// included once its row has been read.
func (m *Manager) LiveInstances() []placement.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	live := make([]placement.Instance, 0, len(m.members.byName))
	for name, entry := range m.members.byName {
		if entry.heartbeat.Address == "" || !m.members.renewedWithin(entry, m.Options.MaxLease) {
			continue
		}
		live = append(live, placement.Instance{Name: name, Address: entry.heartbeat.Address, DataCentre: entry.heartbeat.DataCentre})
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
