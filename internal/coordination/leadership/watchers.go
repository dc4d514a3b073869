package leadership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Few instances watch each group, so that the load of probes on its databases
// and of suspicions on the network does not grow with the number of instances.
// All instances compute the watchers by the same rule from the instances' rows.
// Instances that have read different rows may differ about the watchers, which
// at worst delays a change or starts one early: whether a change is safe does not
// depend on who watches.
const (
	// watchersPerGroup is an odd number, so that votes are rarely equal.
	watchersPerGroup = 9
	// probesPerSecond limits the probes of one failing database by all instances
	// that do not watch it.
	probesPerSecond = 25
)

// ranking is the order in which instances act for one group.
type ranking struct {
	order     []state.InstanceID
	positions map[state.InstanceID]int
	// local holds the order within each data centre.
	local map[state.DataCentre][]state.InstanceID
}

// watchers returns the instances that watch the group.
func (r ranking) watchers() []state.InstanceID {
	return r.order[:min(len(r.order), watchersPerGroup)]
}

// position returns an instance's place in the order; instances that are not
// ranked come last.
func (r ranking) position(name state.InstanceID) int {
	if position, ok := r.positions[name]; ok {
		return position
	}
	return len(r.order)
}

func (r ranking) watches(name state.InstanceID) bool {
	return r.position(name) < watchersPerGroup
}

// rankedInstance is an instance with the keys by which it is ranked.
type rankedInstance struct {
	name state.InstanceID
	hash uint64
	// round is the number of instances of the same data centre that precede it.
	round int
}

// ranking returns the order of the live instances for a group. It is a
// rendezvous hash, so that a missing instance changes little of it, and takes
// one instance of each data centre in turn.
func (m *members) ranking(group state.GroupID, within time.Duration) ranking {
	if cached, ok := m.rankings[group]; ok {
		return cached
	}
	byDataCentre := make(map[state.DataCentre][]rankedInstance)
	for name, entry := range m.byName {
		if m.renewedWithin(entry, within) {
			dc := entry.heartbeat.DataCentre
			byDataCentre[dc] = append(byDataCentre[dc], rankedInstance{name: name, hash: xxhash.Sum64String(string(group) + "\x00" + string(name))})
		}
	}
	var all []rankedInstance
	for _, instances := range byDataCentre {
		slices.SortFunc(instances, func(a, b rankedInstance) int { return cmp.Compare(a.hash, b.hash) })
		for n := range instances {
			instances[n].round = n
		}
		all = append(all, instances...)
	}
	slices.SortFunc(all, func(a, b rankedInstance) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.hash, b.hash))
	})
	result := ranking{positions: make(map[state.InstanceID]int, len(all)), local: make(map[state.DataCentre][]state.InstanceID, len(byDataCentre))}
	for n, instance := range all {
		result.order = append(result.order, instance.name)
		result.positions[instance.name] = n
		dc := m.byName[instance.name].heartbeat.DataCentre
		result.local[dc] = append(result.local[dc], instance.name)
	}
	m.rankings[group] = result
	return result
}

// rankingOf returns the order in which instances act for a group. Instances that
// are partitioned from the others together with the primary may use it for up to
// MaxLease, so for as long they take part. The caller must hold m.mu.
func (m *Manager) rankingOf(id state.GroupID) ranking {
	return m.members.ranking(id, m.Options.MaxLease)
}

// sparseProbeInterval returns the time between two probes of a failing database
// by an instance that does not watch it. The caller must hold m.mu.
func (m *Manager) sparseProbeInterval() time.Duration {
	return time.Duration(len(m.members.byName)) * time.Second / probesPerSecond
}

// otherWatcherAddresses returns the addresses of the other instances that watch
// any of the groups. The caller must hold m.mu.
func (m *Manager) otherWatcherAddresses(groups map[state.GroupID]uint64) []string {
	chosen := make(map[state.InstanceID]bool)
	var addresses []string
	for id := range groups {
		for _, name := range m.rankingOf(id).watchers() {
			address := m.members.byName[name].heartbeat.Address
			if name != m.Self && address != "" && !chosen[name] {
				chosen[name] = true
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}
