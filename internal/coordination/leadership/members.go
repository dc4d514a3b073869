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
	// seenAt is the store's time of the first response that held this version,
	// so the row was written no later.
	seenAt time.Duration
}

// members are the instances' rows as last read.
type members struct {
	byName map[state.InstanceID]member
	// now is the store's time of the last read, 0 before the first one in an era.
	now time.Duration
	// remembered are the instances of earlier eras that have no row in this one.
	remembered map[state.InstanceID]bool
	// outdated is set from the beginning of an era to the first read in it.
	outdated bool
	// configuration is the result of newestConfiguration, and currentEra whether all
	// rows were written in the present era, as of the last read.
	configuration uint64
	currentEra    bool
	// rankings caches ranking until the next update.
	rankings map[state.GroupID]ranking
}

func newMembers() members {
	return members{
		byName: make(map[state.InstanceID]member), rankings: make(map[state.GroupID]ranking), remembered: make(map[state.InstanceID]bool),
	}
}

// beginEra ends the use of the rows' versions and times. The instances stay known
// until the next read.
func (m *members) beginEra() {
	for name := range m.byName {
		m.remembered[name] = true
	}
	m.outdated, m.currentEra = true, false
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

// update replaces the members with a snapshot of all rows. Rows that cannot be
// decoded are kept as instances that acknowledge nothing; their keys are
// returned.
func (m *members) update(snapshot rowstore.Snapshot) (unreadable []string) {
	next := make(map[state.InstanceID]member, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		name := state.InstanceID(row.Key)
		delete(m.remembered, name)
		if old, known := m.byName[name]; known && old.version == row.Version && !m.outdated {
			next[name] = old
			continue
		}
		entry := member{version: row.Version, seenAt: snapshot.Now}
		if err := decode(row.Key, row.Value, &entry.heartbeat); err != nil {
			unreadable = append(unreadable, row.Key)
		}
		next[name] = entry
	}
	if m.outdated {
		m.now, m.outdated = 0, false
	}
	m.byName, m.now = next, max(m.now, snapshot.Now)
	clear(m.rankings)
	return unreadable
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

// live returns the number of instances whose row changed within the given time.
// It is at least 1, as the caller is live.
func (m *members) live(within time.Duration) int {
	count := 0
	for _, entry := range m.byName {
		if m.renewedWithin(entry, within) {
			count++
		}
	}
	return max(1, count)
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
	for name, entry := range m.byName {
		if !m.renewedWithin(entry, within) {
			continue
		}
		demand := int(entry.heartbeat.Demand[id])
		all += demand
		if name == self {
			own = demand
		}
	}
	return own, all
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
func (m *members) recordAcknowledgement(name state.InstanceID, id state.GroupID, epoch uint64) {
	entry := m.byName[name]
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
	// established is the number of instances, pending or not, that joined early
	// enough to be known to every pending instance.
	established int
}

// isMinority reports whether the pending instances are less than half of the
// established ones, so that they cannot confirm each other's leases.
func (p pendingInstances) isMinority() bool {
	return 2*(len(p.leased)+len(p.confirmed)) < p.established
}

// pending returns the instances that may still use the old primary of an
// announced change. storeNow is a lower bound of the store's clock.
func (m *members) pending(self state.InstanceID, announced announcement, options Options, storeNow time.Duration) pendingInstances {
	var found pendingInstances
	earliest := announced.commit.Now
	for name, entry := range m.byName {
		if name == self || entry.heartbeat.Acknowledged[announced.group] >= announced.epoch || entry.waitsIn(announced.commit.Era) {
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
		lease := max(options.Lease, entry.heartbeat.Lease)
		switch {
		case storeNow <= renewed+lease+leaseMargin:
			found.leased = append(found.leased, name)
		case storeNow <= renewed+options.MaxLease+leaseMargin:
			found.confirmed = append(found.confirmed, name)
		}
	}
	for name := range m.remembered {
		if name != self && announced.earlierLeases {
			found.leased = append(found.leased, name)
		}
	}
	for _, entry := range m.byName {
		if joined := time.Duration(entry.heartbeat.Joined); joined != 0 && joined < earliest-2*m.readInterval() {
			found.established++
		}
	}
	return found
}
