package leadership

import (
	"maps"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// member is what is known of an instance's row.
type member struct {
	heartbeat heartbeat
	version   uint64
	// seenAt is the store's time of the first answer that held this version,
	// so the row was written no later.
	seenAt time.Duration
}

// members are the instances' rows as last read.
type members struct {
	byName map[state.InstanceID]member
	now    time.Duration
}

func newMembers() members {
	return members{byName: make(map[state.InstanceID]member)}
}

// update takes over an answer that holds all rows. Rows that can't be read are
// kept as instances that acknowledge nothing.
func (m *members) update(snapshot rowstore.Snapshot) (unreadable []string) {
	next := make(map[state.InstanceID]member, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		name := state.InstanceID(row.Key)
		if old, known := m.byName[name]; known && old.version == row.Version {
			next[name] = old
			continue
		}
		entry := member{version: row.Version, seenAt: snapshot.Now}
		if err := decode(row.Key, row.Value, &entry.heartbeat); err != nil {
			unreadable = append(unreadable, row.Key)
		}
		next[name] = entry
	}
	m.byName, m.now = next, max(m.now, snapshot.Now)
	return unreadable
}

// renewedWithin reports whether a row has changed lately.
func (m *members) renewedWithin(entry member, within time.Duration) bool {
	return m.now-entry.seenAt <= within
}

// live counts the instances whose row changed lately, and at least one: the
// reader itself.
func (m *members) live(within time.Duration) int {
	count := 0
	for _, entry := range m.byName {
		if m.renewedWithin(entry, within) {
			count++
		}
	}
	return max(1, count)
}

// demand returns an instance's demand for a group's connections and that of all
// instances.
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

// votes counts the live instances, and those among them that cannot reach the
// primary of the group's epoch.
func (m *members) votes(id state.GroupID, epoch uint64, within time.Duration) (suspecting, live int) {
	for _, entry := range m.byName {
		if !m.renewedWithin(entry, within) {
			continue
		}
		live++
		if suspected, ok := entry.heartbeat.Suspected[id]; ok && suspected == epoch {
			suspecting++
		}
	}
	return suspecting, live
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

// runEnded reports whether a run of an instance, named as in a record, has runEnded
// or at least no longer renews its row.
func (m *members) runEnded(runName string, within time.Duration) bool {
	for name, entry := range m.byName {
		if nameOfRun(name, entry.heartbeat.Run) == runName {
			return !m.renewedWithin(entry, within)
		}
	}
	return true
}

// rank is the place of an instance among the live ones by name, for staggering.
func (m *members) rank(self state.InstanceID, within time.Duration) int {
	rank := 0
	for name, entry := range m.byName {
		if name < self && m.renewedWithin(entry, within) {
			rank++
		}
	}
	return rank
}

// recordAcknowledgement notes an acknowledgement that arrived directly.
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

// recordSuspicions notes what an instance suspects, as it told directly.
func (m *members) recordSuspicions(name state.InstanceID, suspected map[state.GroupID]uint64) {
	entry := m.byName[name]
	entry.heartbeat.Suspected = suspected
	m.byName[name] = entry
}

// announcement is a change that instances are to acknowledge.
type announcement struct {
	group  state.GroupID
	epoch  uint64
	commit rowstore.Commit
}

// pendingInstances are the instances that have not acknowledged a change.
type pendingInstances struct {
	// leased may use the old primary by their own lease, confirmed only with
	// the help of others.
	leased, confirmed []state.InstanceID
	// established counts all instances that have been there for long enough
	// to be known to every holdout.
	established int
}

// isMinority reports whether the holdouts are too few to vouch for each other.
func (h pendingInstances) isMinority() bool {
	return 2*len(h.confirmed) < h.established
}

// pending returns the instances that may still use the primary that an
// announcement gives up. storeNow is a time that the store's clock has
// reached.
func (m *members) pending(self state.InstanceID, announced announcement, options Options, storeNow time.Duration) pendingInstances {
	var found pendingInstances
	earliest := announced.commit.Now
	for name, entry := range m.byName {
		if name == self || entry.heartbeat.Acknowledged[announced.group] >= announced.epoch {
			continue
		}
		// The last renewal that can count was made before the announcement:
		// a later one counts only after the announcement was seen.
		renewed := announced.commit.Now
		if entry.version < announced.commit.Version {
			renewed = min(renewed, entry.seenAt)
		}
		earliest = min(earliest, renewed)
		switch {
		case storeNow <= renewed+options.Lease+leaseMargin:
			found.leased = append(found.leased, name)
		case storeNow <= renewed+options.MaxLease+leaseMargin:
			found.confirmed = append(found.confirmed, name)
		}
	}
	for _, entry := range m.byName {
		if joined := time.Duration(entry.heartbeat.Joined); joined != 0 && joined < earliest-2*membersInterval {
			found.established++
		}
	}
	return found
}
