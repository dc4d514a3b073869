package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Primary returns a group's primary according to the newest record, whether or
// not it may be used now.
func (m *Manager) Primary(id state.GroupID) (state.DatabaseID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.primaryOf(id, m.group(id))
}

// Ready reports whether this instance has acquired its first lease and has read
// the instances' rows, so that it can serve requests.
func (m *Manager) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return (m.lease.acquired || m.lease.carriedUntil != 0) && m.members.now > 0
}

// TermStart returns the position at which the current primary's term began.
func (m *Manager) TermStart(id state.GroupID) state.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group(id).record.Start
}

// Members returns the number of instances that may be using databases, at least
// 1. An instance that cannot reach the store is counted for MaxLease after its
// last renewal.
func (m *Manager) Members() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.liveDemand(m.Options.MaxLease).live
}

// NewestConfiguration returns the newest version of the configuration that another
// instance is known to have in force, 0 if none states one. known is false while the
// store may still hold rows of live instances from the copy that it was restored from.
// An instance that reaches the store replaces its row within liveWithin.
func (m *Manager) NewestConfiguration() (version uint64, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.configuration, !m.rowsPending()
}

// rowsPending reports whether rows of an earlier era may still be replaced by live
// instances. The caller must hold m.mu.
func (m *Manager) rowsPending() bool {
	return m.era.number != 0 && !m.members.currentEra && m.Clock.Now().Sub(m.era.seenAt) < m.liveWithin()
}

// DemandOf returns the number of instances that may be using a group's databases,
// this instance's demand for connections to them and the demand of all instances.
func (m *Manager) DemandOf(id state.GroupID) (instances, own, all int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	within := m.Options.MaxLease
	own, all = m.members.demand(m.Self, id, within)
	return m.members.liveDemand(within).live, own, all
}

// StoreOffsets returns bounds of the difference between the store's clock and
// the local one. known is false before the first response of the store.
func (m *Manager) StoreOffsets() (offsets state.ClockOffsets, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	upper, known := m.lease.clock.upperBound(0)
	return state.ClockOffsets{Lower: m.lease.clock.lowerBound(0), Upper: upper, Era: m.era.number}, known
}

// Watches reports whether this instance watches a group, that is, probes its
// primary and votes on its replacement.
func (m *Manager) Watches(id state.GroupID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.membersSettled && m.rankingOf(id).watches()
}

// PeersReachingPrimary returns the addresses of the other instances that are
// believed to reach a group's primary.
func (m *Manager) PeersReachingPrimary(id state.GroupID) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members.reachingPrimary(m.Self, id, m.group(id).record.Epoch, tunnelInstanceMaxAge)
}

// Neighbours returns the addresses of the other instances of this data centre that
// come first in a group's ranking. They watch the group or are asked about it by
// the others, so they most likely know its primary's position.
func (m *Manager) Neighbours(id state.GroupID) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, name := range m.rankingOf(id).neighbours {
		if address := m.members.byName[name].heartbeat.Address; address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Peers returns the addresses of the other instances.
func (m *Manager) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerAddresses()
}

// DataCentrePeers returns the addresses of the other live instances of this data centre.
// In a small fleet there are none: each instance's own calls are few in all.
func (m *Manager) DataCentrePeers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.membersSettled || len(m.members.byName) <= m.Options.SmallFleet {
		return nil
	}
	var addresses []string
	for name, entry := range m.members.byName {
		row := entry.heartbeat
		if name != m.Self && row.DataCentre == m.DataCentre && row.Address != "" && m.members.renewedWithin(entry, m.Options.MaxLease) {
			addresses = append(addresses, row.Address)
		}
	}
	return addresses
}

// Status is the state of a group as shown in the status dump.
type Status struct {
	Group state.GroupID `json:"group"`
	Epoch uint64        `json:"epoch"`
	// Term is the primary's term, 0 if the primary was never changed.
	Term     state.Term       `json:"term"`
	Changing bool             `json:"changing"`
	Primary  state.DatabaseID `json:"primary"`
	Grants   int              `json:"grants"`
	// Watched is set if this instance watches the group.
	Watched bool `json:"watched"`
	// Called is the database that a promotion call of this instance names which may
	// still be carried out.
	Called state.DatabaseID `json:"called,omitempty"`
}

// PendingCalls returns the number of this instance's promotion calls that may still be
// carried out.
func (m *Manager) PendingCalls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.duty.calls)
}

// DutyHeld reports whether this instance holds the promotion duty and has a
// change in progress.
func (m *Manager) DutyHeld() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duty.held && m.duty.users > 0
}

// Snapshot returns the state of all groups and the time until the lease expires.
func (m *Manager) Snapshot() (groups []Status, leaseLeft time.Duration) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range m.Directory.Groups() {
		g := m.group(id)
		primary, _ := m.primaryOf(id, g)
		groups = append(groups, Status{Group: id, Epoch: g.record.Epoch, Term: g.record.Term, Changing: g.record.Changing, Primary: primary, Grants: len(g.grants), Watched: m.rankingOf(id).watches(), Called: m.duty.calledDatabase(id).id})
	}
	return groups, m.lease.remaining(now)
}
