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

// errSuperseded is the error of a change whose reason is gone: another instance
// has changed the primary, or is about to.
var errSuperseded = errors.New("another instance changes the primary")

// changeAttempt is one attempt to give a group another primary.
type changeAttempt struct {
	group          state.GroupID
	old            state.DatabaseID
	planned        bool
	epoch          uint64
	token          uint64
	announceCommit rowstore.Commit
	// target is the last position of the old primary, zero where it could not
	// be asked.
	target state.Position
	// oldTermStart is the position at which the old primary's reign began.
	oldTermStart state.Position
	// lastResort lets a log be promoted that lacks all of that reign.
	lastResort bool
	// oldTerm is the term in which the old primary led, as far as recorded.
	oldTerm state.Term
}

// isSuccessor reports whether a database leads the group after the old primary.
// A superseded primary that has not heard of its successor takes itself for
// the primary too, in an earlier term.
func (a *changeAttempt) isSuccessor(found candidate) bool {
	return found.status.Role == state.RolePrimary && found.status.Term >= a.oldTerm && found.server.ID != a.old
}

// acceptable reports whether a database may be promoted. One that has not
// heard of the old primary's reign is a superseded primary, or a replica that
// may lack all of that reign: promoting it would undo the reign, so the others
// are waited for first.
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
	attempt := &changeAttempt{group: id, old: old, planned: why == causeLeaving || why == causeGone}
	promoted, err := m.attemptChange(ctx, attempt, why)
	event := m.Log.Info()
	result := "done"
	switch {
	case errors.Is(err, errDutyTaken), errors.Is(err, errSuperseded), errors.Is(err, rowstore.ErrConflict):
		event, result = m.Log.Debug(), "yielded"
	case err != nil:
		event, result = m.Log.Warn().Err(err), "failed"
	}
	changesTotal(result).Inc()
	event.Str("group", string(id)).Str("cause", string(why)).Str("old", string(old)).Str("primary", string(promoted)).
		Uint64("epoch", attempt.epoch).Uint64("token", attempt.token).Bool("planned", attempt.planned).Stringer("target", attempt.target).
		Dur("held_ms", m.Clock.Now().Sub(started)).Str("result", result).Msg("change of primary ended")
	if err != nil {
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
	if !m.dutyValid() {
		// The wait was long: the duty is renewed, unless another has it now.
		if attempt.token, err = m.acquireDuty(ctx); err != nil {
			return "", err
		}
	}
	chosen, done, err := m.chooseReplica(ctx, attempt)
	if err != nil {
		return "", err
	}
	status := chosen.status
	if !done {
		if status, err = m.promote(ctx, attempt, chosen.server); err != nil {
			return "", err
		}
	}
	m.Health.Success(chosen.server.ID)
	return chosen.server.ID, m.publish(ctx, attempt, chosen.server.ID, status)
}

// announceChange writes the group's row, after which no instance renews its
// use of the old primary.
func (m *Manager) announceChange(ctx context.Context, attempt *changeAttempt, why cause) error {
	m.mu.Lock()
	g := m.group(attempt.group)
	record, version := g.record, g.version
	lasts := time.Duration(0)
	if record.Changing {
		lasts = m.Clock.Now().Sub(g.changingSince)
	}
	m.mu.Unlock()
	// The duty may have been waited for, and the record changed meanwhile.
	continues := why == causeResume || why == causeTakeOver
	if version != 0 && (record.Primary != attempt.old || record.Changing != continues) {
		return eris.Wrapf(errSuperseded, "group %s, epoch %d", attempt.group, record.Epoch)
	}
	if why == causeResume {
		attempt.planned = false
	}
	record = Record{
		Epoch: record.Epoch + 1, Changing: true, Planned: attempt.planned,
		Primary: attempt.old, Term: record.Term, Start: record.Start, Promoter: m.runName,
	}
	attempt.epoch, attempt.oldTerm, attempt.oldTermStart = record.Epoch, record.Term, record.Start
	attempt.lastResort = lasts > lastResortAfter
	commit, err := m.writeRecord(ctx, attempt.group, record, version)
	attempt.announceCommit = commit
	return err
}

// writeRecord writes a group's row and takes it over at once.
func (m *Manager) writeRecord(ctx context.Context, id state.GroupID, record Record, version uint64) (rowstore.Commit, error) {
	value, err := encode(record)
	if err != nil {
		return rowstore.Commit{}, err
	}
	commit, err := m.Store.Transact(ctx, rowstore.Transaction{
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
	m.applyRow(rowstore.Row{Table: TablePrimaries, Key: string(id), Value: value, Version: commit.Version}, m.Clock.Now())
	m.broadcast()
	return commit, nil
}

// withdrawOldPrimary returns when no instance uses the old primary any more. A primary
// that still answers is told to step down.
func (m *Manager) withdrawOldPrimary(ctx context.Context, attempt *changeAttempt) error {
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
	// A primary that answers does so within the time that the instances need;
	// for one that does not, only a little longer is waited.
	graceTimer := time.AfterFunc(stepDownGrace, cancel)
	defer graceTimer.Stop()
	stepDownDone.Wait()
	return err
}

// awaitAcknowledgements returns when no instance can use the old primary.
// Instances that only others could vouch for are not waited for once the
// others have acknowledged for longer than an answer counts.
func (m *Manager) awaitAcknowledgements(ctx context.Context, attempt *changeAttempt) error {
	announced := announcement{group: attempt.group, epoch: attempt.epoch, commit: attempt.announceCommit}
	var minoritySince state.Instant
	for {
		m.readMembers(ctx)
		now := m.Clock.Now()
		m.mu.Lock()
		storeNow := m.lease.clock.lowerBound(now)
		pending := m.members.pending(m.Self, announced, m.Options, storeNow)
		own := m.group(attempt.group).acknowledged >= attempt.epoch
		m.mu.Unlock()
		if !own || len(pending.leased) > 0 || !pending.isMinority() {
			minoritySince = 0
		} else if minoritySince == 0 {
			minoritySince = now
		}
		if own && len(pending.leased)+len(pending.confirmed) == 0 || minoritySince != 0 && now.Sub(minoritySince) > confirmationTTL {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return eris.Wrapf(err, "wait for %v and %v to give up the old primary", pending.leased, pending.confirmed)
		}
		m.notifyPending(attempt.group, append(pending.leased, pending.confirmed...))
		state.Pause(ctx, acknowledgementInterval)
	}
}

// stepDown tells the old primary to step down, as far as it answers.
func (m *Manager) stepDown(ctx context.Context, attempt *changeAttempt) {
	entry, registered := m.Directory.Server(attempt.group, attempt.old)
	if !registered {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := m.Databases.Status(ctx, entry.Server)
	if err == nil && status.Role == state.RolePrimary {
		status, err = m.Databases.StepDown(ctx, entry.Server, status.Term+1)
	}
	if err != nil {
		m.Log.Warn().Err(err).Str("group", string(attempt.group)).Str("database", string(attempt.old)).Msg("old primary not told to step down")
		return
	}
	attempt.target = status.Received
}
