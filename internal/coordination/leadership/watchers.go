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

// ranking is what this instance needs of the order in which instances act for one
// group. The whole order would take memory for each group and instance.
type ranking struct {
	// watchers are the first instances of the order.
	watchers []state.InstanceID
	// position is this instance's place in the order; instances that are not ranked
	// come last.
	position int
	// neighbours are the first other instances of this data centre.
	neighbours []state.InstanceID
}

// watches reports whether this instance watches the group.
func (r ranking) watches() bool {
	return r.position < watchersPerGroup
}

// rankedInstance is a live instance that takes part in the rankings.
type rankedInstance struct {
	dataCentre state.DataCentre
	name       state.InstanceID
	// hasAddress is set if other instances can send messages to it.
	hasAddress bool
}

// instanceHash is the key by which an instance of rankings.live is ranked for a group.
type instanceHash struct {
	hash  uint64
	index int
}

// rankings are computed when they are needed and kept as long as the same instances are
// live.
type rankings struct {
	self       state.InstanceID
	dataCentre state.DataCentre
	// outdated is set if live must be compared with the rows.
	outdated bool
	// live holds the live instances by data centre and name.
	live    []rankedInstance
	byGroup map[state.GroupID]ranking
	// hashes is reused by compute.
	hashes []instanceHash
}

func newRankings(self state.InstanceID, dataCentre state.DataCentre) rankings {
	return rankings{self: self, dataCentre: dataCentre, byGroup: make(map[state.GroupID]ranking)}
}

// ranking returns the order of the live instances for a group. It is a
// rendezvous hash, so that a missing instance changes little of it, and takes
// one instance of each data centre in turn.
func (m *members) ranking(group state.GroupID, within time.Duration) ranking {
	r := &m.rankings
	if r.outdated {
		r.setLive(m.rankable(within))
	}
	found, ok := r.byGroup[group]
	if !ok {
		found = r.compute(group)
		r.byGroup[group] = found
	}
	return found
}

// rankable returns the live instances by data centre and name.
func (m *members) rankable(within time.Duration) []rankedInstance {
	live := make([]rankedInstance, 0, len(m.byName))
	for name, entry := range m.byName {
		if m.renewedWithin(entry, within) {
			live = append(live, rankedInstance{dataCentre: entry.heartbeat.DataCentre, name: name, hasAddress: entry.heartbeat.Address != ""})
		}
	}
	slices.SortFunc(live, func(a, b rankedInstance) int {
		return cmp.Or(cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.name, b.name))
	})
	return live
}

// setLive drops the rankings if other instances are live than before.
func (r *rankings) setLive(live []rankedInstance) {
	r.outdated = false
	if slices.Equal(live, r.live) {
		return
	}
	r.live = live
	clear(r.byGroup)
}

// compute ranks the live instances for a group.
func (r *rankings) compute(group state.GroupID) ranking {
	dataCentres := r.hashByDataCentre(group)
	result := ranking{position: len(r.live), neighbours: r.firstNeighbours(dataCentres)}
	for round := 0; len(result.watchers) < min(watchersPerGroup, len(r.live)); round++ {
		for _, next := range nthOfEach(dataCentres, round) {
			result.watchers = append(result.watchers, r.live[next.index].name)
		}
	}
	result.watchers = slices.Clip(result.watchers[:min(len(result.watchers), watchersPerGroup)])
	for _, instances := range dataCentres {
		round := slices.IndexFunc(instances, func(i instanceHash) bool { return r.live[i.index].name == r.self })
		if round >= 0 {
			result.position = positionIn(dataCentres, round, instances[round].hash)
		}
	}
	return result
}

// hashByDataCentre returns the live instances of each data centre in the order of
// their hashes. The result is valid until the next call.
func (r *rankings) hashByDataCentre(group state.GroupID) (dataCentres [][]instanceHash) {
	key := append([]byte(group), 0)
	prefix := len(key)
	r.hashes = r.hashes[:0]
	for index, instance := range r.live {
		key = append(key[:prefix], instance.name...)
		r.hashes = append(r.hashes, instanceHash{hash: xxhash.Sum64(key), index: index})
	}
	for from := 0; from < len(r.live); {
		to := from + 1
		for to < len(r.live) && r.live[to].dataCentre == r.live[from].dataCentre {
			to++
		}
		instances := r.hashes[from:to]
		slices.SortFunc(instances, func(a, b instanceHash) int { return cmp.Compare(a.hash, b.hash) })
		dataCentres = append(dataCentres, instances)
		from = to
	}
	return dataCentres
}

// firstNeighbours returns the first other instances of this data centre that have an
// address.
func (r *rankings) firstNeighbours(dataCentres [][]instanceHash) []state.InstanceID {
	var neighbours []state.InstanceID
	for _, instances := range dataCentres {
		if r.live[instances[0].index].dataCentre != r.dataCentre {
			continue
		}
		for _, instance := range instances {
			found := r.live[instance.index]
			if len(neighbours) < maxNeighbours && found.name != r.self && found.hasAddress {
				neighbours = append(neighbours, found.name)
			}
		}
	}
	return neighbours
}

// nthOfEach returns the instances that a round takes from the data centres, in their
// order.
func nthOfEach(dataCentres [][]instanceHash, round int) []instanceHash {
	var taken []instanceHash
	for _, instances := range dataCentres {
		if round < len(instances) {
			taken = append(taken, instances[round])
		}
	}
	slices.SortFunc(taken, func(a, b instanceHash) int { return cmp.Compare(a.hash, b.hash) })
	return taken
}

// positionIn returns the place in the order of an instance that a round takes.
func positionIn(dataCentres [][]instanceHash, round int, hash uint64) int {
	position := 0
	for _, instances := range dataCentres {
		position += min(round, len(instances))
		if round < len(instances) && instances[round].hash < hash {
			position++
		}
	}
	return position
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
		for _, name := range m.rankingOf(id).watchers {
			address := m.members.byName[name].heartbeat.Address
			if name != m.Self && address != "" && !chosen[name] {
				chosen[name] = true
				addresses = append(addresses, address)
			}
		}
	}
	return addresses
}
