package failover

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// switchoverRequest asks Run for a planned change.
type switchoverRequest struct {
	ctx    context.Context
	to     state.DatabaseID
	result chan switchoverResult // buffered for the one result
}

type switchoverResult struct {
	report ChangeReport
	err    error
}

// Switchover makes a planned change to the database named. New writes are held
// back meanwhile where the options say how. It returns the report of the last
// attempt, and ErrStopped where Run does not run any more.
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

// switchover tries the change a few times.
//
// While the old primary still takes writes, its log may be the longest, and it
// is then promoted again. The last attempt therefore leaves it out of the vote:
// what it had not yet sent to a majority was not acknowledged, and its writers
// are told that the outcome is unknown.
func (m *Manager) switchover(ctx context.Context, to state.DatabaseID) (ChangeReport, error) {
	held := time.Now()
	if m.options.Writes != nil {
		release, err := m.options.Writes.HoldWrites(ctx, m.watcher.View().Group)
		if err != nil {
			return ChangeReport{}, eris.Wrap(err, "hold writes")
		}
		defer release()
	}
	var report ChangeReport
	var err error
	for trial := 1; trial <= switchoverTrials; trial++ {
		report, err = m.switchOnce(ctx, to, held, trial == switchoverTrials)
		if err == nil || ctx.Err() != nil {
			return report, err
		}
	}
	return report, err
}

// switchOnce waits until the database has caught up, then makes one attempt.
func (m *Manager) switchOnce(
	ctx context.Context, to state.DatabaseID, held time.Time, withoutPrimary bool,
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
	a := m.newAttempt(suspicion{cause: CausePlanned, primary: view.Primary, lastSign: held}, view)
	a.preferred = to
	if withoutPrimary {
		a.excludeVoter(view.Primary)
	}
	err = a.run(ctx)
	m.finish(a, err)
	if err == nil && a.report.To != to {
		err = eris.Wrapf(ErrOtherPromoted, "%s in place of %s", a.report.To, to)
	}
	return a.report, err
}

// catchUp waits until the database holds all that was acknowledged before.
func (m *Manager) catchUp(ctx context.Context, to state.DatabaseID) error {
	catchUpCtx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	floor, err := m.watcher.Barrier(catchUpCtx)
	if err != nil {
		return err
	}
	return m.watcher.WaitHolds(catchUpCtx, to, floor)
}

// excludeVoter leaves a database out, as long as a majority of the group stays.
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

// leaveBackendServer moves the primary away from a leaving backend server. The
// owner of the first rank does it.
func (m *Manager) leaveBackendServer(ctx context.Context, view replication.View, now time.Time) {
	m.mu.Lock()
	primary, known := m.group.Database(view.Primary)
	due := known && primary.Leaving && m.changePace.allows(CausePlanned, now) && !now.Before(m.attemptPace.next)
	to, found := m.successor(view)
	m.mu.Unlock()
	if !due || !found || m.options.Rank() != 0 {
		return
	}
	_, err := m.switchover(ctx, to)
	if err == nil {
		return
	}
	m.log.Warn().Err(err).Str("to", string(to)).Msg("leaving primary not moved")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.attemptPace.failed(time.Now(), 0, m.jitter)
}

// successor returns the replica with the longest log that is not leaving. The
// caller holds mu.
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
