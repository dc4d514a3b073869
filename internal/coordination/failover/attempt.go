package failover

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// attempt is one try to win one term. It promotes at most one database. A
// failed attempt is followed by another in a higher term, never resumed.
type attempt struct {
	manager  *Manager
	group    state.Group
	term     state.Term
	promoter state.InstanceID
	// voters are the databases to fence.
	voters []state.DatabaseID
	// preferred wins among equally long logs.
	preferred state.DatabaseID
	report    ChangeReport
	watch     stopwatch
}

// newAttempt takes a term above all that are known. The promoter's name is
// unique to the attempt, so that no database takes a restarted instance's
// attempt, or a second attempt of the same, for the one it voted for.
func (m *Manager) newAttempt(s suspicion, view replication.View) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownTerm = max(m.knownTerm, view.HighestTerm, m.group.Term) + 1
	m.attempts++
	now := time.Now()
	a := &attempt{
		manager:  m,
		group:    m.group,
		term:     m.knownTerm,
		promoter: state.InstanceID(fmt.Sprintf("%s/%d/%d", m.options.Self, m.options.Incarnation, m.attempts)),
		watch:    stopwatch{last: now},
	}
	for _, database := range m.group.Databases {
		a.voters = append(a.voters, database.ID)
	}
	a.report = ChangeReport{
		Group: m.group.ID, Cause: s.cause, Term: a.term, Promoter: a.promoter,
		From: s.primary, Started: now, Detection: now.Sub(s.lastSign),
	}
	return a
}

// run makes the change. The databases may be left fenced when it fails.
func (a *attempt) run(ctx context.Context) error {
	err := a.claim(ctx)
	a.report.Claim = a.watch.lap()
	if err != nil {
		return err
	}
	fenced, err := a.fence(ctx)
	a.report.Fencing = a.watch.lap()
	if err != nil {
		return err
	}
	candidate := a.choose(fenced)
	a.report.To = candidate.Database
	err = a.promote(ctx, candidate.Database)
	a.report.Promotion = a.watch.lap()
	if err != nil {
		return err
	}
	a.route(ctx, candidate.Database)
	a.report.Routing = a.watch.lap()
	return nil
}

// claim reserves the term at the platform. Without the platform the change goes
// on: the claim spares duels and decides nothing.
func (a *attempt) claim(ctx context.Context) error {
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := a.manager.claims.Claim(claimCtx, a.group.ID, a.term, a.promoter)
	var claimed *ClaimedError
	if errors.As(err, &claimed) {
		a.manager.raiseKnownTerm(claimed.Term)
		return eris.Wrapf(err, "claim term %d", a.term)
	}
	a.report.WithoutClaim = err != nil
	return ctx.Err()
}

// fence makes a majority of the group accept the term. It returns the statuses
// of all that did within the time allowed.
func (a *attempt) fence(ctx context.Context) ([]state.DatabaseStatus, error) {
	fenceCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	answers := make(chan state.DatabaseStatus, len(a.voters))
	for _, id := range a.voters {
		a.manager.background.Go(func() {
			status, err := a.persist(fenceCtx, a.manager.controls[id].Fence)
			if err == nil {
				answers <- status
			}
		})
	}
	return a.collect(fenceCtx, answers)
}

func (a *attempt) collect(ctx context.Context, answers <-chan state.DatabaseStatus) ([]state.DatabaseStatus, error) {
	var fenced []state.DatabaseStatus
	var grace <-chan time.Time
	for len(fenced) < len(a.voters) {
		select {
		case status := <-answers:
			if status.Role != state.RoleFenced || status.Term != a.term || status.Log.Term >= a.term {
				return nil, eris.Wrapf(ErrTermUsed, "term %d at %s", a.term, status.Database)
			}
			fenced = append(fenced, status)
			if len(fenced) == a.group.Majority() {
				grace = time.After(fenceGrace)
			}
		case <-grace:
			return fenced, nil
		case <-ctx.Done():
			if len(fenced) >= a.group.Majority() {
				return fenced, nil
			}
			return nil, eris.Wrapf(ErrNoMajority, "term %d: %d of %d", a.term, len(fenced), a.group.Majority())
		}
	}
	return fenced, nil
}

// persist repeats a request of this attempt until it succeeds or ctx ends.
func (a *attempt) persist(
	ctx context.Context,
	ask func(context.Context, state.Term, state.InstanceID) (state.DatabaseStatus, error),
) (state.DatabaseStatus, error) {
	for {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		status, err := ask(requestCtx, a.term, a.promoter)
		cancel()
		if err == nil {
			return status, nil
		}
		select {
		case <-ctx.Done():
			return state.DatabaseStatus{}, err
		case <-time.After(retryInterval):
		}
	}
}

// choose returns the database whose log is last in the order of positions. A
// majority holds every acknowledged write somewhere, and the last log of a
// majority holds them all. The preferred database, and one that stays, win ties.
func (a *attempt) choose(fenced []state.DatabaseStatus) state.DatabaseStatus {
	return slices.MaxFunc(fenced, func(x, y state.DatabaseStatus) int {
		if order := x.Log.Compare(y.Log); order != 0 {
			return order
		}
		return a.preference(x.Database) - a.preference(y.Database)
	})
}

func (a *attempt) preference(id state.DatabaseID) int {
	database, _ := a.group.Database(id)
	switch {
	case id == a.preferred:
		return 2
	case !database.Leaving:
		return 1
	default:
		return 0
	}
}

// promote makes the candidate the primary. When it does not confirm, no other
// database may be promoted in this term, because the answer may be what was
// lost.
func (a *attempt) promote(ctx context.Context, candidate state.DatabaseID) error {
	promoteCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	status, err := a.persist(promoteCtx, a.manager.controls[candidate].Promote)
	if err != nil || status.Role != state.RolePrimary || status.Term != a.term {
		return eris.Wrapf(ErrNotPromoted, "term %d at %s: %v", a.term, candidate, err)
	}
	return nil
}

// route points the other databases to the primary and waits until this
// instance's own Watcher knows it. What fails here is made good by reconcile.
func (a *attempt) route(ctx context.Context, candidate state.DatabaseID) {
	routeCtx, cancel := context.WithTimeout(ctx, routeTimeout)
	defer cancel()
	primary, _ := a.group.Database(candidate)
	for _, database := range a.group.Databases {
		if database.ID != candidate {
			a.manager.follow(ctx, database.ID, a.term, primary)
		}
	}
	a.manager.watcher.Refresh()
	for {
		changes := a.manager.watcher.Changes()
		if a.manager.watcher.View().Term >= a.term {
			return
		}
		select {
		case <-changes:
		case <-routeCtx.Done():
			return
		}
	}
}
