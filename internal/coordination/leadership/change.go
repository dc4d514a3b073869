package leadership

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errSuperseded is returned for a change that is no longer due because another
// instance has changed the primary or is changing it.
var errSuperseded = errors.New("another instance has changed the primary or is changing it")

// changeAttempt is one attempt to give a group another primary.
type changeAttempt struct {
	group          state.GroupID
	old            state.DatabaseID
	planned        bool
	epoch          uint64
	token          uint64
	announceCommit rowstore.Commit
	// target is the last position of the old primary, zero if the old primary
	// did not respond. final is set if it led until this attempt made it step down:
	// one that has started anew reports a position as well, and lacks its commits.
	target state.Position
	final  bool
	// oldTermStart is the position at which the old primary's term began.
	oldTermStart state.Position
	// since is when the change was first announced, by this attempt or an earlier one.
	since state.Instant
	// lastResort allows the promotion of a database that has received nothing
	// of that term.
	lastResort bool
	// oldTerm is the term of the old primary; 0 if none was recorded.
	oldTerm state.Term
	// era is the era of the store in which the change was announced.
	era uint64
	// uncertain is that of the record. recorded is the primary that the record names.
	uncertain bool
	recorded  state.DatabaseID
	// replicaSet lists the databases that may hold acknowledged commits, if replicas
	// acknowledge commits. replicaSetStored is set if the store has a row of it.
	replicaSet       replicaSet
	replicaSetStored bool
	// stepDownFailed is set if the old primary did not step down when a replica was chosen.
	stepDownFailed bool
}

// isSuccessor reports whether a database leads the group after the old primary.
// The term is compared because a superseded primary that has not received the
// newer term still reports itself as primary.
func (a *changeAttempt) isSuccessor(found candidate) bool {
	return found.status.Role == state.RolePrimary && found.status.Term >= a.oldTerm && found.server.ID != a.old
}

// acceptable reports whether a database may be promoted. A database with an
// earlier term than the old primary's is a superseded primary or a replica that
// may have received nothing of the old primary's term. Promoting it would lose
// all writes of that term, so it is accepted only if it is a replica that has
// received the log up to the start of that term, or as a last resort. Until then
// the change waits for other databases.
func (a *changeAttempt) acceptable(status state.ServerStatus) bool {
	if a.lastResort || status.Term >= a.oldTerm {
		return true
	}
	return status.Role == state.RoleReplica && status.Received.Covers(a.oldTermStart)
}

// change carries out one attempt and logs its result.
func (m *Manager) change(ctx context.Context, id state.GroupID, old state.DatabaseID, why cause) {
	started := m.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	attempt := &changeAttempt{group: id, old: old, planned: why == causeLeaving || why == causeGone, uncertain: why == causeUnconfirmed || why == causeNoPrimary}
	promoted, err := m.attemptChange(ctx, attempt, why)
	event := m.Log.Info()
	result := "done"
	switch {
	case errors.Is(err, errDutyTaken), errors.Is(err, errEarlierCalls), errors.Is(err, errSuperseded), errors.Is(err, rowstore.ErrConflict), errors.Is(err, rowstore.ErrEraChanged):
		event, result = m.Log.Debug(), "yielded"
	case err != nil:
		event, result = m.Log.Warn().Err(err), "failed"
	}
	changesTotal(result).Inc()
	event.Str("group", string(id)).Str("cause", string(why)).Str("old", string(old)).Str("primary", string(promoted)).
		Uint64("epoch", attempt.epoch).Uint64("token", attempt.token).Bool("planned", attempt.planned).Stringer("target", attempt.target).
		Dur("held_ms", m.Clock.Now().Sub(started)).Str("result", result).Msg("change of primary ended")
	switch {
	case errors.Is(err, errEarlierCalls):
		state.Pause(ctx, earlierCallsInterval)
	case err != nil:
		state.Pause(ctx, evaluateInterval)
	}
}

func (m *Manager) attemptChange(ctx context.Context, attempt *changeAttempt, why cause) (state.DatabaseID, error) {
	token, err := m.acquireDuty(ctx)
	if err != nil {
		return "", err
	}
	attempt.token = token
	m.addDutyUser()
	defer m.removeDutyUser(context.WithoutCancel(ctx))
	if err := m.announceChange(ctx, attempt, why); err != nil {
		return "", err
	}
	if err := m.withdrawOldPrimary(ctx, attempt); err != nil {
		return "", err
	}
	m.logWithdrawal(attempt)
	chosen, done, err := m.chooseReplica(ctx, attempt)
	if err != nil {
		return "", err
	}
	status := chosen.status
	if !done {
		if !m.dutyValid() {
			// The duty expired during the waits: acquire it again, unless another
			// instance holds it now.
			if attempt.token, err = m.acquireDuty(ctx); err != nil {
				return "", err
			}
		}
		if status, err = m.promote(ctx, attempt, chosen); err != nil {
			return "", err
		}
	}
	m.Health.RecordSuccess(chosen.server.ID)
	return chosen.server.ID, m.publish(ctx, attempt, chosen.server.ID, status)
}

// announceChange writes the announcement to the group's row. From then on no
// instance can renew its lease without having seen the change.
func (m *Manager) announceChange(ctx context.Context, attempt *changeAttempt, why cause) error {
	m.mu.Lock()
	g := m.group(attempt.group)
	record, version := g.record, g.version
	attempt.era = m.era.number
	lowest := m.era.lowest()
	m.mu.Unlock()
	// The record may have changed while this instance waited for the duty.
	continues := why == causeResume || why == causeTakeOver
	differs := record.Primary != attempt.old && !attempt.uncertain
	if record.Epoch != 0 && (differs || record.Changing != continues) {
		return eris.Wrapf(errSuperseded, "group %s, epoch %d", attempt.group, record.Epoch)
	}
	if why == causeResume {
		attempt.planned = false
	}
	old := attempt.old
	if attempt.uncertain {
		old = record.Primary
	}
	if record.Changing && record.Uncertain {
		attempt.uncertain, attempt.old = true, ""
	}
	record = Record{
		Epoch: max(record.Epoch, lowest) + 1, Changing: true, Planned: attempt.planned,
		Primary: old, Term: record.Term, Start: record.Start, Uncertain: attempt.uncertain, Promoter: m.runName,
	}
	attempt.epoch, attempt.oldTerm, attempt.oldTermStart, attempt.recorded = record.Epoch, record.Term, record.Start, old
	commit, err := m.writeRecord(ctx, attempt.group, record, attempt.era, version)
	attempt.announceCommit = commit
	m.mu.Lock()
	attempt.since = g.changingSince
	m.mu.Unlock()
	return err
}

// writeRecord writes a group's row, which has the given version in the given era, and
// applies it locally at once.
func (m *Manager) writeRecord(ctx context.Context, id state.GroupID, record Record, eraNumber, version uint64) (rowstore.Commit, error) {
	value, err := encode(record)
	if err != nil {
		return rowstore.Commit{}, err
	}
	commit, err := m.commitOnce(ctx, rowstore.Transaction{
		Era:        eraNumber,
		Conditions: []rowstore.Condition{{Table: TablePrimaries, Key: string(id), Version: version}},
		Puts: []rowstore.Row{
			{Table: TablePrimaries, Key: string(id), Value: value},
			{Table: TableGenerations, Key: rowPrimaries, Value: []byte(m.runName)},
		},
	})
	if err != nil {
		return rowstore.Commit{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era.number != eraNumber {
		return rowstore.Commit{}, eris.Wrapf(rowstore.ErrEraChanged, "record of group %s in era %d", id, eraNumber)
	}
	m.applyRow(rowstore.Row{Table: TablePrimaries, Key: string(id), Value: value, Version: commit.Version}, m.Clock.Now())
	m.broadcast()
	return commit, nil
}

// withdrawOldPrimary returns when no instance uses the old primary any more. It
// also makes the old primary step down, if that still responds. Where replicas acknowledge
// commits, it steps down only once another database is known to have all of them: it sends
// nothing to the others from then on, and can't be promoted again.
func (m *Manager) withdrawOldPrimary(ctx context.Context, attempt *changeAttempt) error {
	if m.isSynchronous(attempt.group) {
		return m.awaitAcknowledgements(ctx, attempt)
	}
	if attempt.planned {
		if err := m.awaitAcknowledgements(ctx, attempt); err != nil {
			return err
		}
		m.stepDown(ctx, attempt)
		return nil
	}
	stepDownCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stepDownDone sync.WaitGroup
	stepDownDone.Go(func() { m.stepDown(stepDownCtx, attempt) })
	err := m.awaitAcknowledgements(ctx, attempt)
	// A responsive primary usually steps down before the last instance has
	// acknowledged. An unresponsive one delays the change by at most
	// stepDownGrace.
	graceTimer := time.AfterFunc(stepDownGrace, cancel)
	defer graceTimer.Stop()
	stepDownDone.Wait()
	return err
}

// awaitAcknowledgements returns when no instance can use the old primary.
// Instances whose own lease has expired, so that they depend on confirmations
// from others, are not waited for any more once those that have not acknowledged
// have been a minority for minorityPatience.
func (m *Manager) awaitAcknowledgements(ctx context.Context, attempt *changeAttempt) error {
	announced := announcement{group: attempt.group, epoch: attempt.epoch, commit: attempt.announceCommit}
	expectations := expectationSender{announcedAt: m.Clock.Now()}
	var minoritySince state.Instant
	for {
		m.readMembers(ctx)
		now := m.Clock.Now()
		m.mu.Lock()
		if m.era.number != attempt.era {
			m.mu.Unlock()
			return eris.Wrapf(rowstore.ErrEraChanged, "change announced in era %d", attempt.era)
		}
		// An instance whose lease is valid when it sees a new era goes on. So a lease
		// has expired only if the store's own time says so in the announcement's era.
		storeNow := m.members.now
		announced.earlierLeases = !m.earlierLeasesOver(storeNow, m.Options.MaxLease)
		pending := m.members.pending(m.Self, announced, m.Options, storeNow)
		complete := m.members.include(announced.commit)
		own := m.group(attempt.group).acknowledged >= attempt.epoch && m.earlierLeasesOver(storeNow, m.nextLease())
		m.mu.Unlock()
		if !own || !complete || !pending.isMinority() {
			minoritySince = 0
		} else if minoritySince == 0 {
			minoritySince = now
		}
		unconfirmed := minoritySince != 0 && now.Sub(minoritySince) > minorityPatience
		if own && complete && len(pending.leased) == 0 && (len(pending.confirmed) == 0 || unconfirmed) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return eris.Wrapf(err, "wait for instances %v (own lease) and %v (confirmed by peers) to stop using the old primary", pending.leased, pending.confirmed)
		}
		m.sendExpectation(&expectations, attempt, pending)
		m.notifyPending(attempt.group, append(pending.leased, pending.confirmed...))
		state.Pause(ctx, acknowledgementInterval)
	}
}

// stepDown makes the old primary step down and records its last position, if
// it responds.
func (m *Manager) stepDown(ctx context.Context, attempt *changeAttempt) {
	server, listed := m.oldServer(attempt)
	if !listed {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := m.Databases.Status(ctx, server)
	final := status.Role == state.RolePrimary
	if err == nil && final {
		status, err = m.Databases.StepDown(ctx, server, status.Term+1)
	}
	if err != nil {
		m.Log.Warn().Err(err).Str("group", string(attempt.group)).Str("database", string(attempt.old)).Msg("failed to step down the old primary")
		return
	}
	attempt.target, attempt.final = status.Received, final
}
