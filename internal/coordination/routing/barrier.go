package routing

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// barrierBatch is a barrier that is yet to be asked for, shared by all
// sessions that came since the one now in flight was asked for. A barrier in
// flight must not be joined: it may have been proven before the session came.
type barrierBatch struct {
	running bool
	next    *barrierResult
}

type barrierResult struct {
	done     chan struct{}
	position state.Position
	err      error
}

// Barrier returns a floor that covers every write of the group that was
// acknowledged before the call. At most one request a group is in flight from
// this instance, and one due.
func (r *Router) Barrier(ctx context.Context, group state.GroupID) (state.Position, error) {
	result := r.joinBarrier(group)
	select {
	case <-result.done:
		return result.position, result.err
	case <-ctx.Done():
		return state.Position{}, state.NotRun(state.ReasonNoPrimary, "take barrier", string(group), r.options.RetryDelay, ctx.Err())
	}
}

func (r *Router) joinBarrier(group state.GroupID) *barrierResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, found := r.barriers[group]
	if !found {
		batch = &barrierBatch{}
		r.barriers[group] = batch
	}
	if batch.next == nil {
		batch.next = &barrierResult{done: make(chan struct{})}
	}
	result := batch.next
	if !batch.running {
		batch.running = true
		go r.runBarriers(group, batch)
	}
	return result
}

// runBarriers takes barriers as long as there are sessions that wait for one.
func (r *Router) runBarriers(group state.GroupID, batch *barrierBatch) {
	for {
		r.mu.Lock()
		result := batch.next
		batch.next = nil
		if result == nil {
			batch.running = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		result.position, result.err = r.takeBarrier(group)
		close(result.done)
	}
}

// barrierHedge is how long an owner is waited for before the next is asked too.
const barrierHedge = 100 * time.Millisecond

// takeBarrier asks the owners of the group's databases, the primary's first. An
// owner that does not answer soon does not keep the others from being asked.
func (r *Router) takeBarrier(groupID state.GroupID) (state.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.BarrierTimeout)
	defer cancel()
	group, found := r.topology.Get(groupID)
	if !found {
		return state.Position{}, state.NotRun(state.ReasonUnreachable, "find group", string(groupID), r.options.RetryDelay, nil)
	}
	owners := r.barrierOwners(group)
	answers := make(chan barrierAnswer, len(owners))
	var lastErr error
	for asked, open := 0, 0; asked < len(owners) || open > 0; {
		if asked < len(owners) {
			go r.askBarrier(ctx, owners[asked], groupID, answers)
			asked++
			open++
		}
		answer, arrived := awaitAnswer(ctx, answers, asked < len(owners))
		if !arrived {
			continue
		}
		open--
		if answer.err == nil {
			return answer.position, nil
		}
		lastErr = answer.err
	}
	return state.Position{}, state.NotRun(state.ReasonNoPrimary, "take barrier", string(groupID), r.options.RetryDelay, lastErr)
}

type barrierAnswer struct {
	position state.Position
	err      error
}

func (r *Router) askBarrier(ctx context.Context, owner state.Instance, group state.GroupID, answers chan<- barrierAnswer) {
	position, err := r.barrierAt(ctx, owner, group)
	answers <- barrierAnswer{position: position, err: err}
}

// awaitAnswer waits for an answer, or where more owners can be asked, for
// barrierHedge at most.
func awaitAnswer(ctx context.Context, answers <-chan barrierAnswer, more bool) (answer barrierAnswer, arrived bool) {
	var hedge <-chan time.Time
	if more {
		timer := time.NewTimer(barrierHedge)
		defer timer.Stop()
		hedge = timer.C
	}
	select {
	case answer = <-answers:
		return answer, true
	case <-hedge:
		return answer, false
	case <-ctx.Done():
		return barrierAnswer{err: ctx.Err()}, true
	}
}

func (r *Router) barrierAt(ctx context.Context, owner state.Instance, group state.GroupID) (state.Position, error) {
	if owner.ID == r.membership.Self().ID {
		return r.local.Barrier(ctx, group)
	}
	position, err := r.peers.Barrier(ctx, owner, group)
	if err != nil && ownerUnreachable(err) && !errors.Is(ctx.Err(), context.Canceled) {
		r.membership.ReportFailure(owner.ID, owner.Incarnation, err)
	}
	return position, err
}

// barrierOwners lists the instances that watch the group: the first owner of
// each database, that of the presumed primary first, each once.
func (r *Router) barrierOwners(group state.Group) []state.Instance {
	primary := r.primaryOf(group)
	var owners []state.Instance
	listed := map[state.InstanceID]bool{}
	for _, database := range group.Databases {
		candidates := r.membership.Owners(database)
		if len(candidates) == 0 {
			continue
		}
		if database.ID == primary {
			owners = append([]state.Instance{candidates[0]}, owners...)
			continue
		}
		owners = append(owners, candidates[0])
	}
	return slices.DeleteFunc(owners, func(owner state.Instance) bool {
		again := listed[owner.ID]
		listed[owner.ID] = true
		return again
	})
}
