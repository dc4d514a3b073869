package leadership

import (
	"maps"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// member is what is known of an instance's row.
type member struct {
	beat    beat
	version uint64
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
		if err := decode(row.Key, row.Value, &entry.beat); err != nil {
			unreadable = append(unreadable, row.Key)
		}
		next[name] = entry
	}
	m.byName, m.now = next, max(m.now, snapshot.Now)
	return unreadable
}

// renewed reports whether a row has changed lately.
func (m *members) renewed(entry member, within time.Duration) bool {
	return m.now-entry.seenAt <= within
}

// live counts the instances whose row changed lately, and at least one: the
// reader itself.
func (m *members) live(within time.Duration) int {
	count := 0
	for _, entry := range m.byName {
		if m.renewed(entry, within) {
			count++
		}
	}
	return max(1, count)
}

// demand returns an instance's demand for a group's connections and that of all
// instances.
func (m *members) demand(self state.InstanceID, id state.GroupID, within time.Duration) (own, all int) {
	for name, entry := range m.byName {
		if !m.renewed(entry, within) {
			continue
		}
		demand := int(entry.beat.Demand[id])
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
		if !m.renewed(entry, within) {
			continue
		}
		live++
		if suspected, ok := entry.beat.Suspected[id]; ok && suspected == epoch {
			suspecting++
		}
	}
	return suspecting, live
}

// reaching returns the addresses of the live instances that do not suspect the
// primary of the group's epoch.
func (m *members) reaching(self state.InstanceID, id state.GroupID, epoch uint64, within time.Duration) []string {
	var addresses []string
	for name, entry := range m.byName {
		suspected, suspects := entry.beat.Suspected[id]
		if name == self || entry.beat.Address == "" || suspects && suspected == epoch || !m.renewed(entry, within) {
			continue
		}
		addresses = append(addresses, entry.beat.Address)
	}
	return addresses
}

// ended reports whether a run of an instance, named as in a record, has ended
// or at least no longer renews its row.
func (m *members) ended(runName string, within time.Duration) bool {
	for name, entry := range m.byName {
		if nameOfRun(name, entry.beat.Run) == runName {
			return !m.renewed(entry, within)
		}
	}
	return true
}

// rank is the place of an instance among the live ones by name, for staggering.
func (m *members) rank(self state.InstanceID, within time.Duration) int {
	rank := 0
	for name, entry := range m.byName {
		if name < self && m.renewed(entry, within) {
			rank++
		}
	}
	return rank
}

// acknowledge notes an acknowledgement that arrived directly.
func (m *members) acknowledge(name state.InstanceID, id state.GroupID, epoch uint64) {
	entry := m.byName[name]
	acknowledged := maps.Clone(entry.beat.Acknowledged)
	if acknowledged == nil {
		acknowledged = make(map[state.GroupID]uint64)
	}
	acknowledged[id] = max(acknowledged[id], epoch)
	entry.beat.Acknowledged = acknowledged
	m.byName[name] = entry
}

// suspect notes what an instance suspects, as it told directly.
func (m *members) suspect(name state.InstanceID, suspected map[state.GroupID]uint64) {
	entry := m.byName[name]
	entry.beat.Suspected = suspected
	m.byName[name] = entry
}

// announcement is a change that instances are to acknowledge.
type announcement struct {
	group  state.GroupID
	epoch  uint64
	commit rowstore.Commit
}

// holdouts are the instances that have not acknowledged a change.
type holdouts struct {
	// leased may use the old primary by their own lease, vouched only with
	// the help of others.
	leased, vouched []state.InstanceID
	// established counts all instances that have been there for long enough
	// to be known to every holdout.
	established int
}

// outvoted reports whether the holdouts are too few to vouch for each other.
func (h holdouts) outvoted() bool {
	return 2*len(h.vouched) < h.established
}

// holdouts returns the instances that may still use the primary that an
// announcement gives up. storeNow is a time that the store's clock has
// reached.
func (m *members) holdouts(self state.InstanceID, news announcement, options Options, storeNow time.Duration) holdouts {
	var found holdouts
	earliest := news.commit.Now
	for name, entry := range m.byName {
		if name == self || entry.beat.Acknowledged[news.group] >= news.epoch {
			continue
		}
		// The last renewal that can count was made before the announcement:
		// a later one counts only after the announcement was seen.
		renewed := news.commit.Now
		if entry.version < news.commit.Version {
			renewed = min(renewed, entry.seenAt)
		}
		earliest = min(earliest, renewed)
		switch {
		case storeNow <= renewed+options.Lease+leaseMargin:
			found.leased = append(found.leased, name)
		case storeNow <= renewed+options.MaxLease+leaseMargin:
			found.vouched = append(found.vouched, name)
		}
	}
	for _, entry := range m.byName {
		if joined := time.Duration(entry.beat.Joined); joined != 0 && joined < earliest-2*membersInterval {
			found.established++
		}
	}
	return found
}
