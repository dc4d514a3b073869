package failover

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// switchoverRequest passes a planned change to Run.
type switchoverRequest struct {
	ctx    context.Context
	to     state.DatabaseID
	result chan switchoverResult // has room for the one result, so that Run never blocks
}

type switchoverResult struct {
	report ChangeReport
	err    error
}

// Switchover makes a planned change that promotes database to. Meanwhile new
// writes are delayed if Options.Writes is set. It returns the report of the last
// attempt, or ErrStopped if Run has returned.
func (m *Manager) Switchover(ctx context.Context, to state.DatabaseID) (ChangeReport, error) {
	request := switchoverRequest{ctx: ctx, to: to, result: make(chan switchoverResult, 1)}
	select {
	case m.switchovers <- request:
	case <-ctx.Done():
		return ChangeReport{}, ctx.Err()
	case <-m.stopped:
		return ChangeReport{}, ErrStopped
	}
	select {
	case result := <-request.result:
		return result.report, result.err
	case <-m.stopped:
		return ChangeReport{}, ErrStopped
	}
}

func (m *Manager) serveSwitchover(ctx context.Context, request switchoverRequest) {
	requestCtx, cancel := context.WithCancel(request.ctx)
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	report, err := m.switchover(requestCtx, request.to)
	request.result <- switchoverResult{report: report, err: err}
}

// switchover makes up to maxSwitchoverAttempts attempts.
//
// While the old primary still accepts writes, its log may be the longest, and it
// is then promoted again. The last attempt therefore excludes it from the vote:
// writes that it had not yet sent to a majority were not acknowledged, and their
// clients receive a failure with an unknown outcome.
func (m *Manager) switchover(ctx context.Context, to state.DatabaseID) (ChangeReport, error) {
	heldSince := time.Now()
	if m.options.Writes != nil {
		release, err := m.options.Writes.HoldWrites(ctx, m.watcher.View().Group)
		if err != nil {
			return ChangeReport{}, eris.Wrap(err, "hold writes")
		}
		defer release()
	}
	var report ChangeReport
	var err error
	for try := 1; try <= maxSwitchoverAttempts; try++ {
		report, err = m.trySwitchover(ctx, to, heldSince, try == maxSwitchoverAttempts)
		if err == nil || ctx.Err() != nil {
			return report, err
		}
	}
	return report, err
}

// trySwitchover waits until the database has caught up, then makes one attempt.
func (m *Manager) trySwitchover(
	ctx context.Context, to state.DatabaseID, heldSince time.Time, withoutPrimary bool,
) (ChangeReport, error) {
	err := m.catchUp(ctx, to)
	if err != nil {
		return ChangeReport{}, err
	}
	view := m.watcher.View()
	if view.Primary == "" {
		return ChangeReport{}, ErrNoPrimary
	}
	if view.Primary == to {
		return ChangeReport{}, nil
	}
	a := m.newAttempt(suspicion{cause: CausePlanned, primary: view.Primary, lastAlive: heldSince}, view)
	a.preferred = to
	if withoutPrimary {
		a.excludeVoter(view.Primary)
	}
	err = a.run(ctx)
	m.finish(a, err)
	if err == nil && a.report.To != to {
		err = eris.Wrapf(ErrOtherPromoted, "promoted %s in place of %s", a.report.To, to)
	}
	return a.report, err
}

// catchUp waits until the database holds every write acknowledged before the
// call.
func (m *Manager) catchUp(ctx context.Context, to state.DatabaseID) error {
	catchUpCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	minPosition, err := m.watcher.Barrier(catchUpCtx)
	if err != nil {
		return err
	}
	return m.watcher.WaitForPosition(catchUpCtx, to, minPosition)
}

// excludeVoter removes a database from the voters if a majority of the group
// remains.
func (a *attempt) excludeVoter(id state.DatabaseID) {
	var voters []state.DatabaseID
	for _, voter := range a.voters {
		if voter != id {
			voters = append(voters, voter)
		}
	}
	if len(voters) >= a.group.Majority() {
		a.voters = voters
	}
}

// moveOffLeavingServer moves the primary off a backend server that is leaving.
// Only the owner of rank 0 does so.
func (m *Manager) moveOffLeavingServer(ctx context.Context, view replication.View, now time.Time) {
	m.mu.Lock()
	primary, known := m.group.Database(view.Primary)
	due := known && primary.Leaving && m.changeLimiter.allows(CausePlanned, now) && !now.Before(m.attemptBackoff.next)
	to, found := m.successor(view)
	m.mu.Unlock()
	if !due || !found || m.options.Rank() != 0 {
		return
	}
	_, err := m.switchover(ctx, to)
	if err == nil {
		return
	}
	m.log.Warn().Err(err).Str("to", string(to)).Msg("moving the primary off a leaving backend server failed")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attemptBackoff.failed(time.Now(), 0, m.jitter)
}

// successor returns the replica with the longest log among those that are not
// leaving. The caller holds mu.
func (m *Manager) successor(view replication.View) (state.DatabaseID, bool) {
	var best replication.DatabaseView
	for _, candidate := range view.Databases {
		database, _ := m.group.Database(candidate.Database.ID)
		follows := candidate.Status.Role == state.RoleReplica && candidate.Status.Term == view.Term
		if database.Leaving || !follows || candidate.Health.Failures > 0 {
			continue
		}
		if best.Database.ID == "" || candidate.Status.Log.Compare(best.Status.Log) > 0 {
			best = candidate
		}
	}
	return best.Database.ID, best.Database.ID != ""
}
