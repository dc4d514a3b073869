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

// attempt is one attempt to change the primary, in one term. It promotes at most
// one database. A failed attempt is never resumed; the next one uses a higher
// term.
type attempt struct {
	manager  *Manager
	group    state.Group
	term     state.Term
	promoter state.InstanceID
	// voters are the databases to fence.
	voters []state.DatabaseID
	// preferred is chosen where its log is as long as the longest.
	preferred state.DatabaseID
	report    ChangeReport
	stopwatch stopwatch
}

// newAttempt prepares an attempt in a term above all known ones. The promoter's
// name is unique to the attempt, so that no database mistakes a later attempt of
// the same instance, restarted or not, for the one that it voted for.
func (m *Manager) newAttempt(s suspicion, view replication.View) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownTerm = max(m.knownTerm, view.HighestTerm, m.group.Term) + 1
	m.attempts++
	now := time.Now()
	a := &attempt{
		manager:   m,
		group:     m.group,
		term:      m.knownTerm,
		promoter:  state.InstanceID(fmt.Sprintf("%s/%d/%d", m.options.Self, m.options.Incarnation, m.attempts)),
		stopwatch: stopwatch{last: now},
	}
	for _, database := range m.group.Databases {
		a.voters = append(a.voters, database.ID)
	}
	a.report = ChangeReport{
		Group: m.group.ID, Cause: s.cause, Term: a.term, Promoter: a.promoter,
		From: s.primary, Started: now, Detection: now.Sub(s.lastAlive),
	}
	return a
}

// run makes the change. A failed run may leave databases fenced.
func (a *attempt) run(ctx context.Context) error {
	err := a.claim(ctx)
	a.report.Claim = a.stopwatch.lap()
	if err != nil {
		return err
	}
	fenced, err := a.fence(ctx)
	a.report.Fencing = a.stopwatch.lap()
	if err != nil {
		return err
	}
	candidate := a.chooseCandidate(fenced)
	a.report.To = candidate.Database
	err = a.promote(ctx, candidate.Database)
	a.report.Promotion = a.stopwatch.lap()
	if err != nil {
		return err
	}
	a.route(ctx, candidate.Database)
	a.report.Routing = a.stopwatch.lap()
	return nil
}

// claim reserves the term at the platform. If the platform is unavailable, the
// change goes on: the claim keeps promoters from competing, but safety does not
// depend on it.
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
// of all databases that accepted it in time.
func (a *attempt) fence(ctx context.Context) ([]state.DatabaseStatus, error) {
	fenceCtx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	responses := make(chan state.DatabaseStatus, len(a.voters))
	var fenced []state.DatabaseStatus
	first, last := a.fencingOrder()
	if len(first) > 0 {
		var err error
		fenced, err = a.fenceFirst(fenceCtx, first, responses)
		if err != nil {
			return nil, err
		}
	}
	a.requestFence(fenceCtx, last, responses)
	return a.collectFenced(fenceCtx, responses, fenced)
}

// fencingOrder returns the databases to fence before the primary of a planned
// change, and the rest. The first are a minority, so that writes go on meanwhile.
func (a *attempt) fencingOrder() (first, last []state.DatabaseID) {
	if a.report.Cause != CausePlanned {
		return nil, a.voters
	}
	minority := len(a.group.Databases) - a.group.Majority()
	for _, id := range a.voters {
		if id != a.report.From && id != a.preferred && len(first) < minority {
			first = append(first, id)
		} else {
			last = append(last, id)
		}
	}
	return first, last
}

// fenceFirst fences replicas of a planned change and then lets the target catch up
// with the primary, so that none of their logs is longer than the target's. It
// waits for both at most for handoverTimeout.
func (a *attempt) fenceFirst(
	ctx context.Context, replicas []state.DatabaseID, responses chan state.DatabaseStatus,
) ([]state.DatabaseStatus, error) {
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	a.requestFence(ctx, replicas, responses)
	var fenced []state.DatabaseStatus
	for len(fenced) < len(replicas) && handoverCtx.Err() == nil {
		select {
		case status := <-responses:
			err := a.checkFenced(status)
			if err != nil {
				return nil, err
			}
			fenced = append(fenced, status)
		case <-handoverCtx.Done():
		}
	}
	// If the target stays behind, the longest log is promoted as always.
	_ = a.manager.catchUp(handoverCtx, a.preferred)
	return fenced, ctx.Err()
}

func (a *attempt) requestFence(ctx context.Context, databases []state.DatabaseID, responses chan<- state.DatabaseStatus) {
	for _, id := range databases {
		a.manager.background.Go(func() {
			status, err := a.requestUntilDone(ctx, a.manager.controls[id].Fence)
			if err == nil {
				responses <- status
			}
		})
	}
}

// collectFenced adds the statuses of the other databases that accept the term in
// time.
func (a *attempt) collectFenced(
	ctx context.Context, responses <-chan state.DatabaseStatus, fenced []state.DatabaseStatus,
) ([]state.DatabaseStatus, error) {
	var grace <-chan time.Time
	for len(fenced) < len(a.voters) {
		if grace == nil && len(fenced) >= a.group.Majority() {
			grace = time.After(fenceGrace)
		}
		select {
		case status := <-responses:
			err := a.checkFenced(status)
			if err != nil {
				return nil, err
			}
			fenced = append(fenced, status)
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

// checkFenced returns an error if the database already has a role or a log entry
// of the attempt's term.
func (a *attempt) checkFenced(status state.DatabaseStatus) error {
	if status.Role != state.RoleFenced || status.Term != a.term || status.Log.Term >= a.term {
		return eris.Wrapf(ErrTermUsed, "term %d at %s", a.term, status.Database)
	}
	return nil
}

// requestUntilDone repeats a request of this attempt until it succeeds or ctx
// ends.
func (a *attempt) requestUntilDone(
	ctx context.Context,
	send func(context.Context, state.Term, state.InstanceID) (state.DatabaseStatus, error),
) (state.DatabaseStatus, error) {
	for {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		status, err := send(requestCtx, a.term, a.promoter)
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

// chooseCandidate returns the database whose log is last in the order of
// positions. Every majority includes a holder of each acknowledged write, and the
// last log of a majority holds them all. Among equal logs the preferred database
// comes first, then those that are not leaving.
func (a *attempt) chooseCandidate(fenced []state.DatabaseStatus) state.DatabaseStatus {
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

// promote makes the candidate the primary. If the candidate does not confirm, no
// other database may be promoted in this term: the promotion may have taken
// effect and only the response been lost.
func (a *attempt) promote(ctx context.Context, candidate state.DatabaseID) error {
	promoteCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	status, err := a.requestUntilDone(promoteCtx, a.manager.controls[candidate].Promote)
	if err != nil || status.Role != state.RolePrimary || status.Term != a.term {
		return eris.Wrapf(ErrNotPromoted, "term %d at %s: %v", a.term, candidate, err)
	}
	return nil
}

// route points the other databases to the primary and waits until this
// instance's own Watcher observes it. Whatever fails here, reconcile repeats.
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
