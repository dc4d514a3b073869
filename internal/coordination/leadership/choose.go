package leadership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errNoCandidate is returned for a group without a replica that can be promoted.
var errNoCandidate = errors.New("no eligible replica responded")

// candidate is a database that responded, with its status.
type candidate struct {
	server state.Server
	status state.ServerStatus
}

// chooseReplica returns the replica with the newest received position. It waits
// up to catchUpTimeout for a replica to receive the old primary's last writes, and
// longer where replicas acknowledge commits and one that has not replied may hold more.
// done is set if the returned database is primary already, by an earlier
// attempt.
func (m *Manager) chooseReplica(ctx context.Context, attempt *changeAttempt) (chosen candidate, done bool, err error) {
	if m.isSynchronous(attempt.group) {
		if attempt.replicaSet, attempt.replicaSetStored, err = m.awaitReplicaSet(ctx, attempt.group); err != nil {
			return candidate{}, false, eris.Wrapf(err, "read the replica set of %s", attempt.group)
		}
	}
	poll := m.newStatusPoll(ctx)
	defer poll.cancel()
	began := m.Clock.Now()
	mayCallSince, told := began, false
	for {
		replies := m.pollGroup(poll, attempt)
		now := m.Clock.Now()
		called := m.calledDatabase(attempt.group)
		if called.mustNotRepeat(now) {
			mayCallSince = now
		}
		attempt.lastResort = now.Sub(attempt.since) > lastResortAfter
		chosen, done, ok := replies.decide(attempt, called, now, now.Sub(mayCallSince))
		switch {
		case ok && !done && replies.oldPending && now.Sub(began) < stepDownGrace:
			// The old primary may still lead, and then states how far its log goes.
		case replies.old != nil && !attempt.stepDownFailed && (ok && !done || replies.hasCaughtUp(attempt, called)):
			m.stepDown(ctx, attempt)
			attempt.stepDownFailed = !attempt.final
			continue
		case ok:
			return chosen, done, nil
		case replies.keepsOld(attempt, called, now.Sub(mayCallSince)):
			return *replies.old, true, nil
		}
		if ctx.Err() != nil {
			return candidate{}, false, eris.Wrapf(errNoCandidate, "group %s: of %d other databases %d replied, promotion of %q pending",
				attempt.group, replies.members, len(replies.all), called.id)
		}
		if !told && now.Sub(began) >= catchUpTimeout {
			told = true
			m.Log.Info().Str("group", string(attempt.group)).Uint64("epoch", attempt.epoch).Str("called", string(called.id)).
				Int("databases", replies.members).Int("replied", len(replies.all)).Int("copies", replies.copies).Msg("a change of primary waits for a database to promote")
		}
		poll.await(statusInterval)
	}
}

// decide returns the database that leads already, or is to be promoted now. ok is false
// while the change has to wait. A database that leads may have been superseded within this
// change by one that does not reply. It is promoted once more unless isNewest shows that it
// was not. While a promotion call may still be carried out, only the database that it names
// is returned, and is promoted once more only if the call has been silent for long and was
// not accepted. waited is for how long a call has been allowed.
func (r groupReplies) decide(attempt *changeAttempt, called calledDatabase, now state.Instant, waited time.Duration) (chosen candidate, done, ok bool) {
	successor, found := r.successor(attempt)
	switch {
	case found && !attempt.uncertain && r.isNewest(successor, called):
		return successor, true, called.allows(successor.server.ID)
	case called.mustNotRepeat(now):
		return candidate{}, false, false
	case found && called.id == "" && r.proven(successor.status.Received):
		// Another one may lead in a later term.
		return successor, false, attempt.uncertain && len(r.all) >= r.members || waited >= statusTimeout
	}
	chosen, ok = r.choose(attempt, waited)
	return chosen, false, ok && called.allows(chosen.server.ID)
}

// isNewest reports whether no other database can have been promoted after the successor:
// the last known call of the change names it, or all databases have replied, also the one
// that this call names.
func (r groupReplies) isNewest(successor candidate, called calledDatabase) bool {
	last := cmp.Or(called.id, r.lastCalled)
	if successor.server.ID == last {
		return true
	}
	heard := last == "" || slices.ContainsFunc(r.all, func(found candidate) bool { return found.server.ID == last })
	return heard && len(r.all) >= r.members
}

// groupReplies are the databases of a group that may hold commits of the old primary,
// as far as they have replied.
type groupReplies struct {
	// all holds all replies, the newest position first. running holds those of them
	// whose last query got a reply.
	all, running []candidate
	// members is the number of databases that may hold commits. copies is the least
	// number of them that hold each acknowledged commit, 0 if there may be none.
	members, copies int
	// copiesUnknown is set while nobody has said how many that are.
	copiesUnknown bool
	// primaryAmong is set if the old primary is not known, and is one of the members.
	primaryAmong bool
	// unclear is the number of replies that may be of a run which lacks what earlier runs of
	// its database held.
	unclear int
	// lost is the number of other databases that are asked and need not reply. They get
	// some time for it.
	lost int
	// target and final are those of the attempt.
	target state.Position
	final  bool
	// recorded is that of the attempt.
	recorded state.DatabaseID
	// acknowledged is a position up to which instances have seen commits acknowledged.
	acknowledged state.Position
	// old is the old primary, if it replies and still leads; oldPending is set until a query
	// to it has ended. Only known where replicas acknowledge commits.
	old        *candidate
	oldPending bool
	// oldReplied is set if the old primary replies, whether or not it leads, or if it is one
	// of the members.
	oldReplied bool
	// ineffective is the database whose promotion did not take effect before.
	ineffective state.DatabaseID
	// lastCalled is the database that the last call names which is not pending any more,
	// empty if none is known.
	lastCalled state.DatabaseID
}

// pollGroup returns the replies of the databases that may take over from the old
// primary, and has those asked that were not asked yet. Where replicas acknowledge
// commits, a leaving replica may be the only one that holds some of them. A promotion
// call whose effect is seen ends.
func (m *Manager) pollGroup(poll *statusPoll, attempt *changeAttempt) groupReplies {
	m.mu.Lock()
	replies := groupReplies{target: attempt.target, final: attempt.final, recorded: attempt.recorded, ineffective: m.group(attempt.group).ineffectiveIn(attempt.oldTerm), lastCalled: m.duty.lastCalled[attempt.group]}
	replies.acknowledged = m.acknowledgedUpTo(attempt.group)
	m.mu.Unlock()
	copies, known := m.copiesInForce(attempt)
	replies.copies, replies.copiesUnknown = copies, !known
	synchronous := replies.copies > 0 || replies.copiesUnknown
	replies.primaryAmong = attempt.old == "" && attempt.replicaSetStored
	replies.oldReplied = replies.primaryAmong
	var unclear []candidate
	for _, entry := range m.Directory.Servers(attempt.group) {
		if entry.ID == attempt.old || entry.Leaving && !synchronous {
			continue
		}
		replies.members++
		known := poll.ask(entry.Server)
		if !known.replied {
			continue
		}
		known.server = entry.Server
		replies.all = append(replies.all, known.candidate)
		if member := attempt.replicaSet.find(entry.ID); member != nil && member.mayLackCommits(entry.Server) {
			unclear = append(unclear, known.candidate)
		}
		if !known.failing {
			replies.running = append(replies.running, known.candidate)
		}
	}
	replies.sort()
	if synchronous {
		m.pollOld(poll, attempt, &replies)
		unclear = append(unclear, m.pollMissing(poll, attempt, &replies)...)
		m.countUnclear(attempt, &replies, unclear)
	}
	if successor, found := replies.successor(attempt); found {
		m.endCarriedOut(attempt.group, successor)
	}
	return replies
}

// pollOld asks the old primary. If it still leads, the others must receive what it has committed
// before it steps down. If it has stepped down, in an earlier attempt at the change, and has not
// started again, its log ends with its last commit.
func (m *Manager) pollOld(poll *statusPoll, attempt *changeAttempt, replies *groupReplies) {
	server, listed := m.oldServer(attempt)
	if !listed || attempt.final {
		return
	}
	known := poll.ask(server)
	replies.oldPending = !known.asked
	if !known.replied || known.failing {
		return
	}
	replies.oldReplied = true
	attempt.target = state.MaxPosition(attempt.target, known.status.Received)
	replies.target = attempt.target
	leads, member := known.status.Role == state.RolePrimary && known.status.Term >= attempt.oldTerm, attempt.replicaSet.find(attempt.old)
	switch {
	case leads:
		known.server = server
		replies.old = &known.candidate
	case known.status.Role == state.RoleReplica && known.status.Received.Term <= attempt.oldTerm && member != nil && member.Born != 0 && member.Born == server.Born:
		attempt.final, replies.final = true, true
	}
}

// oldServer returns the old primary as it is registered, or as its replica set lists it.
func (m *Manager) oldServer(attempt *changeAttempt) (state.Server, bool) {
	if entry, registered := m.Directory.Server(attempt.group, attempt.old); registered {
		return entry.Server, true
	}
	if member := attempt.replicaSet.find(attempt.old); member != nil {
		return member.server(attempt.group), true
	}
	return state.Server{}, false
}

// hasCaughtUp reports whether a replica that may be promoted holds all that the old primary
// holds, which still leads.
func (r *groupReplies) hasCaughtUp(attempt *changeAttempt, called calledDatabase) bool {
	return slices.ContainsFunc(r.running, func(found candidate) bool {
		return !found.server.Leaving && attempt.acceptable(found.status) && called.allows(found.server.ID) && found.status.Received.Covers(r.old.status.Received)
	})
}

// keepsOld reports whether the change is to end with the old primary: it leads, holds what all
// others hold, and no database was found that can be shown to have each acknowledged commit. No
// other database can have been promoted in this change.
func (r *groupReplies) keepsOld(attempt *changeAttempt, called calledDatabase, waited time.Duration) bool {
	if r.old == nil || attempt.planned || attempt.uncertain || r.old.server.Leaving || waited < catchUpTimeout {
		return false
	}
	holdsAll := len(r.all) == 0 || r.old.status.Received.Covers(r.all[0].status.Received)
	return holdsAll && called.id == "" && r.lastCalled == "" && r.ineffective == ""
}

// sort orders the replies by position, the newest first. Of equal ones the recorded primary is
// the last: if it has stepped down, it may be the primary for the platform still, and its promotion
// has no effect then.
func (r *groupReplies) sort() {
	last := func(found candidate) int {
		if found.server.ID == r.recorded {
			return 1
		}
		return 0
	}
	newestFirst := func(a, b candidate) int {
		return cmp.Or(b.status.Received.Compare(a.status.Received), cmp.Compare(last(a), last(b)), cmp.Compare(a.server.ID, b.server.ID))
	}
	slices.SortFunc(r.all, newestFirst)
	slices.SortFunc(r.running, newestFirst)
}

// pollMissing adds the databases of the replica set that are not registered. One that
// replies counts as the others do, but is promoted only once it has registered. One that does
// not may come back with acknowledged commits that the newest reply lacks, unless it gives no
// sign of life, is marked as gone, and that reply covers the mark, the last position that the
// old primary stated, and what any instance has seen acknowledged: it may have come back just
// before the primary was lost. Returned are the replies of databases that may have started
// again since they were registered: they had stated no position before.
func (m *Manager) pollMissing(poll *statusPoll, attempt *changeAttempt, replies *groupReplies) (unclear []candidate) {
	var silent []replicaSetMember
	for _, member := range attempt.replicaSet.Members {
		if _, registered := m.Directory.Server(attempt.group, member.ID); registered || member.ID == attempt.old {
			continue
		}
		switch known := poll.ask(member.server(attempt.group)); {
		case known.replied:
			replies.all = append(replies.all, known.candidate)
			replies.members++
			if m.lastStated(attempt.group, member.ID).IsZero() {
				unclear = append(unclear, known.candidate)
			}
		case known.alive || !known.asked:
			replies.members++
		default:
			silent = append(silent, member)
		}
	}
	replies.sort()
	last := state.MaxPosition(replies.acknowledged, attempt.target)
	for _, member := range silent {
		if member.HoldsUpTo.Term < attempt.oldTerm || !member.marked() || len(replies.all) == 0 || !replies.all[0].status.Received.Covers(state.MaxPosition(member.HoldsUpTo, last)) {
			replies.members++
		} else if !attempt.final {
			replies.lost++
		}
	}
	return unclear
}

// countUnclear counts the replies that do not say what earlier runs of their databases held:
// those that lack what the database has stated in the old primary's term, those whose earlier runs
// may have held more than the newest reply, and of the given ones those that prove nothing by
// themselves. None does if members that were struck off may have held more.
func (m *Manager) countUnclear(attempt *changeAttempt, replies *groupReplies, restarted []candidate) {
	last := replies.acknowledged
	// The log of a run that may lack commits proves something by itself if it is the newest of all
	// and covers what an instance has seen acknowledged. An empty one does not, nor does one
	// that can be compared with neither such a position nor a database that has run on: the old
	// primary alone may hold the commits.
	compared := !last.IsZero() || len(restarted) < len(replies.all)
	for _, found := range replies.all {
		newest := replies.all[0].status.Received
		member := attempt.replicaSet.find(found.server.ID)
		earlier := !newest.Covers(attempt.replicaSet.GoneUpTo) || member != nil && !newest.Covers(member.EarlierUpTo)
		stated := m.lastStated(attempt.group, found.server.ID)
		lost := stated.Term >= attempt.oldTerm && !found.status.Received.Covers(stated)
		mayLack := slices.ContainsFunc(restarted, func(c candidate) bool { return c.server.ID == found.server.ID })
		proves := compared && found.status.Received.Offset > 0 && found.status.Received.Covers(state.MaxPosition(last, newest))
		if lost || earlier || mayLack && !proves {
			replies.unclear++
		}
	}
}

// successor returns the database that leads the group in the highest term after the old
// primary, if there is one.
func (r groupReplies) successor(attempt *changeAttempt) (newest candidate, ok bool) {
	for _, found := range r.running {
		if attempt.isSuccessor(found) && (!ok || found.status.Term > newest.status.Term) {
			newest, ok = found, true
		}
	}
	return newest, ok
}

// proven reports whether a log that ends at a position holds each acknowledged commit.
// Where no replica acknowledges commits, there is nothing to prove.
func (r groupReplies) proven(position state.Position) bool {
	switch {
	case r.copiesUnknown:
		return false
	case r.copies == 0:
		return true
	case !position.Covers(r.acknowledged):
		return false // whatever the replies say of earlier runs
	case r.final && !r.target.IsZero() && position.Covers(r.target):
		return true
	case r.oldReplied && r.members > 0 && len(r.all) >= r.members && position.Covers(state.MaxPosition(r.target, r.all[0].status.Received)):
		return true // no database holds more
	default:
		// So many replies contain one of the databases that hold the newest commit.
		holders := r.copies
		if r.primaryAmong {
			holders++
		}
		return len(r.all)-r.unclear >= max(1, r.members-holders+1) && position.Covers(r.all[0].status.Received)
	}
}

// choose returns the database to promote after it was waited for the given time. A
// leaving database, and one whose promotion did not take effect before, is promoted if no
// other holds each acknowledged commit.
func (r groupReplies) choose(attempt *changeAttempt, waited time.Duration) (candidate, bool) {
	if len(r.all) < r.members+r.lost && waited < statusTimeout {
		return candidate{}, false
	}
	late := waited >= catchUpTimeout
	var reserve []candidate
	for _, found := range r.running {
		switch {
		case !attempt.acceptable(found.status) || !r.proven(found.status.Received) || !late && !found.status.Received.Covers(r.target):
		case found.server.Leaving || found.server.ID == r.ineffective:
			reserve = append(reserve, found)
		default:
			return found, true
		}
	}
	if late && len(reserve) > 0 {
		return reserve[0], true
	}
	return candidate{}, false
}

func (m *Manager) queryCandidate(ctx context.Context, entry directory.Entry) (candidate, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := m.Databases.Status(ctx, entry.Server)
	if err != nil {
		m.Log.Warn().Err(err).Str("database", string(entry.ID)).Msg("failed to query the status of a candidate")
		return candidate{}, false
	}
	return candidate{server: entry.Server, status: status}, true
}
