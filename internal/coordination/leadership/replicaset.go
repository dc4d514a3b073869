package leadership

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Where replicas acknowledge commits, a database may be promoted only if the others hold no
// acknowledged commit that it lacks. So the databases that may hold some must be known, also
// to instances that have started since and to those that never saw one registered. The row of
// a group in TableReplicaSets lists them. Watchers of the group add a database as soon as it
// registers. It is removed only after a mark was set: a position of the primary beyond which
// the database holds nothing. A database without a registration may go on receiving and
// acknowledging commits. So the watchers ask it, state in the row that they have heard of it,
// and set the mark to a position that the primary had after nobody had heard of it for
// silentMemberAfter.
//
// A store that comes back from a copy may have lost a member, which whoever remembers it adds
// again, and the end of a mark. So marks count in the era in which they were set or confirmed
// by an instance that had a lease when the era began.

// replicaSet is a group's row in TableReplicaSets.
type replicaSet struct {
	// Era is the era of the store to which the marks belong.
	Era uint64 `msgpack:"era"`
	// Copies is how many replicas have received each acknowledged commit, as of the version
	// Configuration of the operators' configuration.
	Copies        int                `msgpack:"copies"`
	Configuration uint64             `msgpack:"config"`
	Members       []replicaSetMember `msgpack:"members"`
	// GoneUpTo is a position beyond which the members that were struck off held no
	// acknowledged commit.
	GoneUpTo state.Position `msgpack:"gone"`
}

// replicaSetMember is a database that may hold acknowledged commits.
type replicaSetMember struct {
	ID         state.DatabaseID `msgpack:"id"`
	Address    string           `msgpack:"addr"`
	DataCentre state.DataCentre `msgpack:"dc,omitempty"`
	// Born is the start time of the database's run; 0 if it states none. EarlierUpTo is a
	// position beyond which the runs before it held no acknowledged commit.
	Born        int64          `msgpack:"born,omitempty"`
	EarlierUpTo state.Position `msgpack:"earlier"`
	// HeardAt is when an instance last heard of the database while it had no registration,
	// on the store's clock, in nanoseconds; 0 if none has.
	HeardAt int64 `msgpack:"heard,omitempty"`
	// HoldsUpTo is the mark: a position beyond which the database holds no acknowledged
	// commit; zero if it is not known to be gone. MarkedAt is when it was set, on the
	// store's clock, in nanoseconds.
	HoldsUpTo state.Position `msgpack:"upto"`
	MarkedAt  int64          `msgpack:"marked,omitempty"`
}

// marked reports whether the member is known to be gone.
func (d replicaSetMember) marked() bool { return !d.HoldsUpTo.IsZero() }

// mayLackCommits reports whether a registration is of a later run than the member's, which may
// have started without what that held.
func (d replicaSetMember) mayLackCommits(registered state.Server) bool {
	return d.Born != 0 && registered.Born != 0 && d.Born != registered.Born
}

// server returns the member as it is asked for its status.
func (d replicaSetMember) server(group state.GroupID) state.Server {
	return state.Server{Database: state.Database{ID: d.ID, Address: d.Address, DataCentre: d.DataCentre}, Group: group, Born: d.Born}
}

// find returns the member with an id, nil if there is none.
func (r *replicaSet) find(id state.DatabaseID) *replicaSetMember {
	for n := range r.Members {
		if r.Members[n].ID == id {
			return &r.Members[n]
		}
	}
	return nil
}

// add adds a member unless its id is listed.
func (r *replicaSet) add(member replicaSetMember) {
	if r.find(member.ID) == nil {
		r.Members = append(r.Members, member)
	}
}

// clone returns a copy that shares no memory.
func (r replicaSet) clone() replicaSet {
	r.Members = slices.Clone(r.Members)
	return r
}

// equal reports whether two sets say the same.
func (r replicaSet) equal(other replicaSet) bool {
	return r.Era == other.Era && r.Copies == other.Copies && slices.Equal(r.Members, other.Members)
}

// knownReplicaSet is what this instance knows of a group's replica set.
type knownReplicaSet struct {
	// row is that of the store as it was last read or written, or that of an earlier era
	// until it is read; version is its version, 0 if there is none.
	row     replicaSet
	version uint64
	// read is set once the row was read in this era. damaged is set if the store's row can't
	// be decoded.
	read, damaged bool
	// carried is set if row is of an earlier era, and this instance had a lease when the
	// present one began.
	carried bool
	// updating is set while the row is read or written; retryAt is the earliest time of
	// the next attempt.
	updating bool
	retryAt  state.Instant
	// outdatedSince is since when the row should be written anew; zero if it need not.
	outdatedSince state.Instant
	// contacts holds what was heard of the members.
	contacts map[state.DatabaseID]*contact
}

// replicaSet returns what is known of a group's replica set. The caller must hold m.mu.
func (m *Manager) replicaSet(id state.GroupID) *knownReplicaSet {
	set, ok := m.replicaSets[id]
	if !ok {
		set = &knownReplicaSet{contacts: make(map[state.DatabaseID]*contact)}
		m.replicaSets[id] = set
	}
	return set
}

// beginReplicaSetsEra ends the use of versions. carried is set if this instance's lease is
// valid. The caller must hold m.mu.
func (m *Manager) beginReplicaSetsEra(carried bool) {
	for _, set := range m.replicaSets {
		set.version, set.read, set.outdatedSince = 0, false, 0
		set.carried = carried
	}
}

// maintainReplicaSet keeps a group's row up to date where replicas acknowledge commits.
func (m *Manager) maintainReplicaSet(ctx context.Context, id state.GroupID) {
	copies, _, known := m.Directory.SyncReplicas(id)
	m.mu.Lock()
	set, listed := m.replicaSets[id]
	if !known || copies == 0 && (!listed || set.row.Copies == 0) {
		m.mu.Unlock()
		return
	}
	set = m.replicaSet(id)
	due := m.replicaSetDue(id, set)
	set.updating = set.updating || due
	m.mu.Unlock()
	if due {
		go m.updateReplicaSet(ctx, id, set)
	}
	m.askMembers(ctx, id, set)
}

// replicaSetDue reports whether this instance should read or write a group's row now.
// Usually several watchers see the same change, so each waits for its turn. The caller must
// hold m.mu.
func (m *Manager) replicaSetDue(id state.GroupID, set *knownReplicaSet) bool {
	now := m.Clock.Now()
	ranking := m.rankingOf(id)
	m.observeMembers(id, set, now)
	if set.updating || !m.ready || !m.lease.valid(now) || !ranking.watches() || now < set.retryAt {
		return false
	}
	if !set.read {
		return true
	}
	if !set.damaged && m.nextReplicaSet(id, set, now).equal(set.row) {
		set.outdatedSince = 0
		return false
	}
	if set.outdatedSince == 0 {
		set.outdatedSince = now
	}
	return now.Sub(set.outdatedSince) >= time.Duration(ranking.position)*staggerStep
}

// nextReplicaSet returns the row as it should be. The caller must hold m.mu.
func (m *Manager) nextReplicaSet(id state.GroupID, set *knownReplicaSet, now state.Instant) replicaSet {
	next := set.row.clone()
	if next.Era != m.era.number {
		for n := range next.Members {
			next.Members[n].HoldsUpTo, next.Members[n].MarkedAt = state.Position{}, 0
		}
	}
	next.Era = m.era.number
	if copies, version, known := m.Directory.SyncReplicas(id); known && version > next.Configuration {
		next.Copies, next.Configuration = copies, version
	}
	for _, entry := range m.Directory.Servers(id) {
		member := replicaSetMember{ID: entry.ID, Address: entry.Address, DataCentre: entry.DataCentre, Born: entry.Born}
		if known := next.find(entry.ID); known != nil {
			m.takeOverNewRun(set, &member, *known, entry)
			*known = member
		}
		next.add(member)
	}
	m.stateHeard(set, &next, now)
	for _, gone := range m.Directory.Missing(id) {
		next.add(replicaSetMember{ID: gone.ID, Address: gone.Address, DataCentre: gone.DataCentre, Born: gone.Born})
	}
	for n := range next.Members {
		m.markIfSilent(id, set, &next.Members[n], now)
	}
	storeNow := int64(m.lease.clock.lowerBound(now))
	next.Members = slices.DeleteFunc(next.Members, func(member replicaSetMember) bool {
		struckOff := member.marked() && storeNow-member.MarkedAt > int64(forgetMarkedAfter)
		if struckOff {
			next.GoneUpTo = state.MaxPosition(next.GoneUpTo, member.HoldsUpTo)
		}
		return struckOff
	})
	slices.SortFunc(next.Members, func(a, b replicaSetMember) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return next
}

// isSynchronous reports whether replicas of a group acknowledge commits, or may.
func (m *Manager) isSynchronous(id state.GroupID) bool {
	copies, _, known := m.Directory.SyncReplicas(id)
	return copies > 0 || !known
}

// copiesInForce returns how many replicas hold each acknowledged commit. known is false if
// neither the configuration nor a row of the store says so.
func (m *Manager) copiesInForce(attempt *changeAttempt) (copies int, known bool) {
	copies, version, known := m.Directory.SyncReplicas(attempt.group)
	if row := attempt.replicaSet; attempt.replicaSetStored && (!known || row.Configuration > version) {
		return row.Copies, true
	}
	return copies, known
}

// updateReplicaSet reads a group's row, and writes it if it should say something else.
func (m *Manager) updateReplicaSet(ctx context.Context, id state.GroupID, set *knownReplicaSet) {
	err := m.readReplicaSet(ctx, id)
	if err == nil {
		err = m.writeReplicaSet(ctx, id, set)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	set.updating = false
	if err != nil {
		set.retryAt = m.Clock.Now().Add(replicaSetRetryInterval)
		m.Log.Warn().Err(err).Str("group", string(id)).Msg("failed to bring the row of a replica set up to date")
	}
}

// readReplicaSet reads a group's row.
func (m *Manager) readReplicaSet(ctx context.Context, id state.GroupID) error {
	return callStore(ctx, readTimeout, func(ctx context.Context) error {
		snapshot, err := m.Store.List(ctx, TableReplicaSets)
		if err != nil {
			return err
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.applyReplicaSet(id, snapshot)
	}, func(error) {})
}

// applyReplicaSet takes over a group's row from a list of all rows. A row that can't be decoded
// is written anew from what this instance remembers; one that remembers nothing doesn't know the
// members, and returns an error. The caller must hold m.mu.
func (m *Manager) applyReplicaSet(id state.GroupID, snapshot rowstore.Snapshot) error {
	set := m.replicaSet(id)
	if snapshot.Era != m.era.number {
		return nil
	}
	var found replicaSet
	var version uint64
	damaged := false
	for _, row := range snapshot.Rows {
		if row.Key != string(id) {
			continue
		}
		version = row.Version
		if err := decode(row.Key, row.Value, &found); err != nil {
			m.Log.Error().Err(err).Str("group", row.Key).Bool("remembered", len(set.row.Members) > 0).Msg("cannot decode the row of a replica set")
			if len(set.row.Members) == 0 {
				return err
			}
			found, damaged = set.row.clone(), true
		}
	}
	if set.read && version < set.version {
		return nil // a later read was faster
	}
	if !set.read {
		found = set.mergeRemembered(found, snapshot.Era)
	}
	set.row, set.version, set.read, set.damaged = found, version, true, damaged
	return nil
}

// mergeRemembered adds what this instance remembers from before the store was restored to the
// row that it has found. What it remembers of an era that it saw the end of under a lease is
// newer than a row of that era.
func (set *knownReplicaSet) mergeRemembered(found replicaSet, era uint64) replicaSet {
	base, other := found, set.row
	if set.carried && found.Era != era {
		base, other = set.row.clone(), found
		base.Era = era
	}
	base.GoneUpTo = state.MaxPosition(base.GoneUpTo, other.GoneUpTo)
	for _, member := range other.Members {
		if !member.marked() {
			base.add(member)
		}
	}
	return base
}

// writeReplicaSet writes a group's row if it should say something else than was read.
func (m *Manager) writeReplicaSet(ctx context.Context, id state.GroupID, set *knownReplicaSet) error {
	m.mu.Lock()
	now := m.Clock.Now()
	m.observeMembers(id, set, now)
	next, version, eraNumber := m.nextReplicaSet(id, set, now), set.version, m.era.number
	current := !set.read || !set.damaged && next.equal(set.row) && version != 0
	m.mu.Unlock()
	if current {
		return nil
	}
	value, err := encode(next)
	if err != nil {
		return err
	}
	return callStore(ctx, heartbeatTimeout, func(ctx context.Context) error {
		commit, err := m.Store.Transact(ctx, rowstore.Transaction{
			Era: eraNumber, Conditions: []rowstore.Condition{{Table: TableReplicaSets, Key: string(id), Version: version}},
			Puts: []rowstore.Row{{Table: TableReplicaSets, Key: string(id), Value: value}},
		})
		if err != nil {
			return err
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.era.number == eraNumber && commit.Version > set.version {
			set.row, set.version, set.damaged = next, commit.Version, false
			m.logReplicaSet(id, next)
		}
		return nil
	}, func(error) {})
}

func (m *Manager) logReplicaSet(id state.GroupID, row replicaSet) {
	var members, marked []string
	for _, member := range row.Members {
		members = append(members, string(member.ID))
		if member.marked() {
			marked = append(marked, string(member.ID)+" holds up to "+member.HoldsUpTo.String())
		}
	}
	m.Log.Info().Str("group", string(id)).Strs("members", members).Strs("gone", marked).Msg("wrote the row of a replica set")
}

// awaitReplicaSet returns the replica set of a group as the store holds it now, with what
// this instance knows besides. It waits until the row can be read: a member that isn't known
// may hold the newest commits. stored is whether there is a row, which lists the primary, too.
func (m *Manager) awaitReplicaSet(ctx context.Context, id state.GroupID) (found replicaSet, stored bool, err error) {
	for {
		err := m.readReplicaSet(ctx, id)
		m.mu.Lock()
		set := m.replicaSet(id)
		if err == nil && set.read {
			now := m.Clock.Now()
			m.observeMembers(id, set, now)
			defer m.mu.Unlock()
			return m.nextReplicaSet(id, set, now), set.version != 0, nil
		}
		m.mu.Unlock()
		m.Log.Warn().Err(err).Str("group", string(id)).Msg("a change of primary waits for the row of the replica set")
		if ctx.Err() != nil {
			return replicaSet{}, false, ctx.Err()
		}
		state.Pause(ctx, replicaSetRetryInterval)
	}
}
