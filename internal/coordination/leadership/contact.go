package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// A database that starts again may hold nothing of before, though its earlier run has
// acknowledged commits. That run held nothing beyond a position that the primary had after the
// restart was noticed, which the row of the replica set then states. Until it does, a reply
// says what the member held only if it is the newest of all: then either the log was kept, or
// no other database has more. A reply that lacks what the member had stated says nothing in any
// case: the registration of the new run may come after it.

// contact is what this instance has heard of a member of a replica set.
type contact struct {
	// absentSince is since when the member is known to have no registration, zero while it
	// has one.
	absentSince state.Instant
	// heardAt is when it last gave a sign of life, zero if it has not since it was first
	// asked or was found absent; misses is the number of queries without one since then.
	heardAt state.Instant
	misses  int
	// position is the last one that a run of the member has stated.
	position state.Position
	// newRun is the start time of a run which may lack what earlier ones held, and was
	// noticed at newRunAt.
	newRun   int64
	newRunAt state.Instant
	// asking is set during a query; nextAt is the earliest time of the next one.
	asking bool
	nextAt state.Instant
}

// observeMembers notes which members have no registration, and which have started again. The
// caller must hold m.mu.
func (m *Manager) observeMembers(id state.GroupID, set *knownReplicaSet, now state.Instant) {
	for _, member := range set.row.Members {
		known := set.contacts[member.ID]
		if known == nil {
			known = &contact{}
			set.contacts[member.ID] = known
		}
		entry, registered := m.Directory.Server(id, member.ID)
		switch {
		case registered:
			known.absentSince = 0
		case known.absentSince == 0:
			known.absentSince, known.heardAt, known.misses = now, 0, 0
		}
		if registered && member.mayLackCommits(entry.Server) && known.newRun != entry.Born {
			known.newRun, known.newRunAt = entry.Born, now
		}
	}
}

// askMembers asks the members of a replica set for their status, each at times. Those that
// have no registration are asked by all watchers of the group.
func (m *Manager) askMembers(ctx context.Context, id state.GroupID, set *knownReplicaSet) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	primary, _ := m.primaryOf(id, m.group(id))
	ranking := m.rankingOf(id)
	m.observeMembers(id, set, now)
	for _, member := range set.row.Members {
		known := set.contacts[member.ID]
		asks := ranking.position < memberAskers || known.absentSince != 0 && ranking.watches()
		if !asks || known.asking || now < known.nextAt || member.ID == primary {
			continue
		}
		server := member.server(id)
		if entry, registered := m.Directory.Server(id, member.ID); registered {
			server = entry.Server
		}
		known.asking = true
		go m.askMember(ctx, server, known)
	}
}

func (m *Manager) askMember(ctx context.Context, server state.Server, known *contact) {
	ctx, cancel := context.WithTimeout(ctx, memberQueryTimeout)
	defer cancel()
	status, err := m.Databases.Status(ctx, server)
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	known.asking, known.nextAt = false, now.Add(memberQueryInterval)
	if known.absentSince != 0 {
		known.nextAt = now.Add(absentQueryInterval)
	}
	if notReached(err) {
		known.misses++
		return
	}
	known.heardAt, known.misses = now, 0
	if err == nil {
		known.position = state.MaxPosition(known.position, status.Received)
	}
}

// takeOverNewRun sets what a row says of a member's run. A primary comes back with its log. The
// caller must hold m.mu.
func (m *Manager) takeOverNewRun(set *knownReplicaSet, member *replicaSetMember, earlier replicaSetMember, registered directory.Entry) {
	member.EarlierUpTo = earlier.EarlierUpTo
	g := m.group(registered.Group)
	primary, _ := m.primaryOf(registered.Group, g)
	if !earlier.mayLackCommits(registered.Server) || registered.ID == primary && registered.Role == state.RolePrimary {
		return
	}
	if known := set.contacts[registered.ID]; known != nil && known.newRun == registered.Born {
		if position, seen := m.PositionAfter(registered.Group, known.newRunAt); seen && position.Term >= g.record.Term {
			member.EarlierUpTo = state.MaxPosition(member.EarlierUpTo, position)
			return
		}
	}
	member.Born = earlier.Born
}

// notReached reports whether an error means that a database was not reached, so that it gave
// no sign of life. It recognises the errors of package pooling by their method.
func notReached(err error) bool {
	var failed interface{ NotReached() bool }
	return errors.As(err, &failed) && failed.NotReached()
}

// stateHeard adds to a row what this instance has heard of members without a registration. One
// that was heard of after it was marked loses its mark. The caller must hold m.mu.
func (m *Manager) stateHeard(set *knownReplicaSet, row *replicaSet, now state.Instant) {
	storeNow := m.lease.clock.lowerBound(now)
	for n := range row.Members {
		member := &row.Members[n]
		known := set.contacts[member.ID]
		if known == nil || known.absentSince == 0 || known.heardAt == 0 {
			continue
		}
		heardAt := int64(storeNow - now.Sub(known.heardAt))
		if member.marked() && heardAt > member.MarkedAt {
			member.HoldsUpTo, member.MarkedAt = state.Position{}, 0
		}
		if heardAt-member.HeardAt >= int64(stateHeardInterval) {
			member.HeardAt = heardAt
		}
	}
}

// markIfSilent sets a member's mark if the primary was seen at a position after nobody had
// heard of the member for silentMemberAfter. The caller must hold m.mu.
func (m *Manager) markIfSilent(id state.GroupID, set *knownReplicaSet, member *replicaSetMember, now state.Instant) {
	g := m.group(id)
	primary, _ := m.primaryOf(id, g)
	known := set.contacts[member.ID]
	// A mark of an earlier primary says nothing of the present one's commits.
	marked := member.marked() && member.HoldsUpTo.Term >= g.record.Term
	if marked || known == nil || known.absentSince == 0 || known.misses < silentMemberMisses || member.ID == primary || !m.MarksInUse() {
		return
	}
	storeNow := m.lease.clock.lowerBound(now)
	quietSince := max(known.absentSince, known.heardAt)
	if member.HeardAt != 0 {
		quietSince = max(quietSince, now.Add(time.Duration(member.HeardAt)-storeNow))
	}
	if position, seen := m.PositionAfter(id, quietSince.Add(silentMemberAfter)); seen && position.Term >= g.record.Term {
		member.HoldsUpTo, member.MarkedAt = position, int64(storeNow)
	}
}

// lastStated returns the last position that a run of a member has stated to this instance, zero
// if there is none.
func (m *Manager) lastStated(id state.GroupID, database state.DatabaseID) state.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known := m.replicaSet(id).contacts[database]; known != nil {
		return known.position
	}
	return state.Position{}
}

// positionsAcknowledged returns, for each group that is being changed and in which replicas
// acknowledge commits, the position up to which this instance has seen commits acknowledged. The
// caller must hold m.mu.
func (m *Manager) positionsAcknowledged() map[state.GroupID]state.Position {
	var positions map[state.GroupID]state.Position
	for id, g := range m.groups {
		if copies, _, known := m.Directory.SyncReplicas(id); !g.record.Changing || known && copies == 0 {
			continue
		}
		if seen := m.Acknowledged(id); !seen.IsZero() {
			if positions == nil {
				positions = make(map[state.GroupID]state.Position)
			}
			positions[id] = seen
		}
	}
	return positions
}

// acknowledgedUpTo returns the position up to which an instance has seen commits of a group
// acknowledged, as far as they have stated it with their acknowledgements of a change. The caller
// must hold m.mu.
func (m *Manager) acknowledgedUpTo(id state.GroupID) state.Position {
	newest := m.Acknowledged(id)
	for _, entry := range m.members.byName {
		newest = state.MaxPosition(newest, entry.heartbeat.Positions[id])
	}
	return newest
}
