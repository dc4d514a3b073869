package leadership

import (
	"maps"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// member is the last version read of an instance's row.
type member struct {
	heartbeat heartbeat
	version   uint64
	// seenAt is a reading of the store's clock by which the row had been written.
	seenAt time.Duration
	// read is the number of the last read that found the row.
	read uint64
}

// members are the instances' rows as last read.
type members struct {
	byName map[state.InstanceID]member
	// now is the store's time of the last read, 0 before the first one in an era.
	now time.Duration
	// version is the store's version at the last read, 0 before the first one in an era.
	// The rows show all that was committed up to it.
	version uint64
	// reads counts the reads.
	reads uint64
	// remembered are the instances of earlier eras that have no row in this one.
	remembered map[state.InstanceID]bool
	// outdated is set from the beginning of an era to the first read in it.
	outdated bool
	// configuration is the result of newestConfiguration, and currentEra whether all
	// rows were written in the present era, as of the last read.
	configuration uint64
	currentEra    bool
	rankings      rankings
	// demands caches the live instances' demand until the next update; it is nil
	// after one.
	demands *demandSums
}

// demandSums holds the number of live instances and the sum of their demand for each
// group.
type demandSums struct {
	live    int
	byGroup map[state.GroupID]int
}

// newMembers returns the members as seen by an instance of a data centre.
func newMembers(self state.InstanceID, dataCentre state.DataCentre) members {
	return members{
		byName: make(map[state.InstanceID]member), rankings: newRankings(self, dataCentre), remembered: make(map[state.InstanceID]bool),
	}
}

// beginEra ends the use of the rows' versions and times. The instances stay known
// until the next read.
func (m *members) beginEra() {
	for name := range m.byName {
		m.remembered[name] = true
	}
	m.outdated, m.currentEra, m.version = true, false, 0
}

// afterRestore reports whether an instance wrote its row before the given era, as far
// as the rows show.
func (m *members) afterRestore(era uint64) bool {
	for _, entry := range m.byName {
		if entry.heartbeat.Era != era || entry.heartbeat.AfterRestore {
			return true
		}
	}
	return len(m.remembered) > 0
}

// allWait reports whether the rows of all other instances show that they know of the
// era and have no lease.
func (m *members) allWait(self state.InstanceID, era uint64) bool {
	for name, entry := range m.byName {
		if name != self && !entry.waitsIn(era) {
			return false
		}
	}
	return len(m.remembered) == 0 || len(m.remembered) == 1 && m.remembered[self]
}

// waitsIn reports whether the row shows that the instance has no lease in an era.
func (e member) waitsIn(era uint64) bool {
	return e.heartbeat.Waiting && e.heartbeat.Era == era
}

// writtenBy returns a time by which a row of a snapshot had been written.
func writtenBy(row rowstore.Row, snapshot rowstore.Snapshot) time.Duration {
	if row.Version <= snapshot.Version {
		return snapshot.Now
	}
	return max(snapshot.Now, snapshot.Latest)
}

// update replaces the members with a snapshot of all rows. Only rows that have
// changed are decoded. Rows that cannot be decoded are kept as instances that
// acknowledge nothing; their keys are returned.
func (m *members) update(snapshot rowstore.Snapshot) (unreadable []string) {
	m.reads++
	for _, row := range snapshot.Rows {
		name := state.InstanceID(row.Key)
		delete(m.remembered, name)
		entry, known := m.byName[name]
		if !known || entry.version < row.Version || m.outdated {
			entry = member{version: row.Version, seenAt: writtenBy(row, snapshot)}
			if err := decode(row.Key, row.Value, &entry.heartbeat); err != nil {
				unreadable = append(unreadable, row.Key)
			}
		}
		entry.read = m.reads
		m.byName[name] = entry
	}
	maps.DeleteFunc(m.byName, func(_ state.InstanceID, entry member) bool { return entry.read != m.reads })
	m.now, m.version, m.outdated = snapshot.Now, snapshot.Version, false
	m.rankings.outdated, m.demands = true, nil
	return unreadable
}

// newerThan reports whether the rows are those of a later read than the snapshot. The
// store's versions tell, as its clock may have been set.
func (m *members) newerThan(snapshot rowstore.Snapshot) bool {
	if m.outdated {
		return false
	}
	return snapshot.Version < m.version || snapshot.Version == m.version && snapshot.Now < m.now
}

// include reports whether the rows were read after a commit. Instances that joined before
// it are then among them.
func (m *members) include(commit rowstore.Commit) bool {
	return !m.outdated && m.version >= commit.Version
}

// readWithin reports whether the rows were read in this era, and no earlier than the
// given time before a moment.
func (m *members) readWithin(limit, moment time.Duration) bool {
	return !m.outdated && m.now != 0 && m.now >= moment-limit
}

// readInterval returns the time between two reads of the rows by one instance
// while nothing changes.
func (m *members) readInterval() time.Duration {
	return time.Duration(float64(membersInterval) * max(1, float64(len(m.byName))/fullReadRateMembers))
}

// renewedWithin reports whether a row has changed within the given time.
func (m *members) renewedWithin(entry member, within time.Duration) bool {
	return m.now-entry.seenAt <= within
}

// liveDemand returns the live instances, at least 1 as the caller is live, and the
// sums of their demand. An instance is live if its row has changed within the given
// time, which must be the same in all calls.
func (m *members) liveDemand(within time.Duration) *demandSums {
	if m.demands != nil {
		return m.demands
	}
	sums := &demandSums{byGroup: make(map[state.GroupID]int)}
	for _, entry := range m.byName {
		if !m.renewedWithin(entry, within) {
			continue
		}
		sums.live++
		for _, demand := range entry.heartbeat.Demand {
			sums.byGroup[demand.group.Value()] += int(demand.tenths)
		}
	}
	sums.live = max(1, sums.live)
	m.demands = sums
	return sums
}

// newestConfiguration returns the newest version of the configuration that a row
// changed within the given time states.
func (m *members) newestConfiguration(within time.Duration) uint64 {
	var newest uint64
	for _, entry := range m.byName {
		if m.renewedWithin(entry, within) {
			newest = max(newest, entry.heartbeat.Configuration)
		}
	}
	return newest
}

// allWrittenIn reports whether all rows were written in the given era.
func (m *members) allWrittenIn(era uint64) bool {
	for _, entry := range m.byName {
		if entry.heartbeat.Era != era {
			return false
		}
	}
	return !m.outdated
}

// demand returns this instance's demand for a group's connections and the sum
// over all live instances.
func (m *members) demand(self state.InstanceID, id state.GroupID, within time.Duration) (own, all int) {
	entry, known := m.byName[self]
	if known && m.renewedWithin(entry, within) {
		own = entry.heartbeat.Demand.of(id)
	}
	return own, m.liveDemand(within).byGroup[id]
}

// votes returns how many of a group's watchers cannot reach the primary of the
// group's epoch. The caller is one of those that cannot.
func (m *members) votes(watchers []state.InstanceID, self state.InstanceID, id state.GroupID, epoch uint64) (suspecting int) {
	for _, name := range watchers {
		if suspected, ok := m.byName[name].heartbeat.Suspected[id]; name == self || ok && suspected == epoch {
			suspecting++
		}
	}
	return suspecting
}

// reachingPrimary returns the addresses of the live instances that do not suspect the
// primary of the group's epoch.
func (m *members) reachingPrimary(self state.InstanceID, id state.GroupID, epoch uint64, within time.Duration) []string {
	var addresses []string
	for name, entry := range m.byName {
		suspected, suspects := entry.heartbeat.Suspected[id]
		if name == self || entry.heartbeat.Address == "" || suspects && suspected == epoch || !m.renewedWithin(entry, within) {
			continue
		}
		addresses = append(addresses, entry.heartbeat.Address)
	}
	return addresses
}

// runEnded reports whether a run of an instance, named as in a record, has ended
// or has stopped renewing its row.
func (m *members) runEnded(runName string, within time.Duration) bool {
	for name, entry := range m.byName {
		if nameOfRun(name, entry.heartbeat.Run) == runName {
			return !m.renewedWithin(entry, within)
		}
	}
	return true
}

// recordAcknowledgement records an acknowledgement received in a peer message.
func (m *members) recordAcknowledgement(name state.InstanceID, id state.GroupID, epoch uint64, seen state.Position) {
	entry := m.byName[name]
	if !seen.IsZero() {
		positions := maps.Clone(entry.heartbeat.Positions)
		if positions == nil {
			positions = make(map[state.GroupID]state.Position)
		}
		positions[id] = state.MaxPosition(positions[id], seen)
		entry.heartbeat.Positions = positions
	}
	acknowledged := maps.Clone(entry.heartbeat.Acknowledged)
	if acknowledged == nil {
		acknowledged = make(map[state.GroupID]uint64)
	}
	acknowledged[id] = max(acknowledged[id], epoch)
	entry.heartbeat.Acknowledged = acknowledged
	m.byName[name] = entry
}

// recordSuspicions records the suspicions received in a peer message.
func (m *members) recordSuspicions(name state.InstanceID, suspected map[state.GroupID]uint64) {
	entry := m.byName[name]
	entry.heartbeat.Suspected = suspected
	m.byName[name] = entry
}

// announcement is a change that all instances must acknowledge.
type announcement struct {
	group  state.GroupID
	epoch  uint64
	commit rowstore.Commit
	// earlierLeases is set while instances whose rows the store has lost may hold a
	// lease of an earlier era that others confirm.
	earlierLeases bool
}

// pendingInstances are the instances that have not acknowledged a change and may
// still use the old primary.
type pendingInstances struct {
	// leased instances may still hold their own lease; confirmed ones can use the
	// old primary only if other instances confirm their lease.
	leased, confirmed []state.InstanceID
	// confirming is the number of instances, pending or not, that don't know of the change
	// and may confirm leases.
	confirming int
	// leasedFor is the longest time until one's own lease expires, confirmedFor that
	// until it can't be confirmed either.
	leasedFor, confirmedFor time.Duration
	// established is the number of instances, pending or not, that joined early
	// enough to be known to every pending instance that counts confirmations.
	established int
}

// isMinority reports whether the instances that may confirm the leases of pending ones
// are less than half of the established ones.
func (p pendingInstances) isMinority() bool {
	return 2*p.confirming < p.established
}

// pending returns the instances that may still use the old primary of an
// announced change. storeNow is a lower bound of the store's clock.
func (m *members) pending(self state.InstanceID, announced announcement, options Options, storeNow time.Duration) pendingInstances {
	var found pendingInstances
	earliest := announced.commit.Now
	for name, entry := range m.byName {
		if name == self || entry.heartbeat.Acknowledged[announced.group] >= announced.epoch {
			continue
		}
		if !entry.heartbeat.LeasedOnly {
			found.confirming++
		}
		if entry.waitsIn(announced.commit.Era) {
			continue
		}
		// The last renewal that can keep the old primary in use was made before
		// the announcement, because a later one succeeds only after the instance
		// has seen the announcement.
		renewed := announced.commit.Now
		if entry.version < announced.commit.Version {
			renewed = min(renewed, entry.seenAt)
			if entry.heartbeat.Era == announced.commit.Era {
				renewed = entry.heartbeat.leaseStart(renewed)
			}
		}
		earliest = min(earliest, renewed)
		// No build renews for longer than MaxLease; a row that says so is malformed.
		lease := min(max(options.Lease, entry.heartbeat.Lease), options.MaxLease)
		found.leasedFor = max(found.leasedFor, renewed+lease+leaseMargin-storeNow)
		found.confirmedFor = max(found.confirmedFor, renewed+options.MaxLease+leaseMargin-storeNow)
		switch {
		case storeNow <= renewed+lease+leaseMargin:
			found.leased = append(found.leased, name)
		case storeNow <= renewed+options.MaxLease+leaseMargin:
			found.confirmed = append(found.confirmed, name)
		default:
			continue
		}
		if entry.heartbeat.LeasedOnly {
			found.confirming++
		}
	}
	for name := range m.remembered {
		if name != self && announced.earlierLeases {
			found.leased = append(found.leased, name)
			found.confirming++
		}
	}
	for _, entry := range m.byName {
		if joined := time.Duration(entry.heartbeat.Joined); joined != 0 && joined < earliest-rowReadIntervals*m.readInterval() {
			found.established++
		}
	}
	return found
}
