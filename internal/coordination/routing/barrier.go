package routing

import (
	"context"

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

// takeBarrier asks the owners of the group's databases, the primary's first.
func (r *Router) takeBarrier(groupID state.GroupID) (state.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.BarrierTimeout)
	defer cancel()
	group, found := r.topology.Get(groupID)
	if !found {
		return state.Position{}, state.NotRun(state.ReasonUnreachable, "find group", string(groupID), r.options.RetryDelay, nil)
	}
	var lastErr error
	asked := map[state.InstanceID]bool{}
	for _, owner := range r.barrierOwners(group) {
		if asked[owner.ID] {
			continue
		}
		asked[owner.ID] = true
		position, err := r.barrierAt(ctx, owner, groupID)
		if err == nil {
			return position, nil
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return state.Position{}, state.NotRun(state.ReasonNoPrimary, "take barrier", string(groupID), r.options.RetryDelay, lastErr)
}

func (r *Router) barrierAt(ctx context.Context, owner state.Instance, group state.GroupID) (state.Position, error) {
	if owner.ID == r.membership.Self().ID {
		return r.local.Barrier(ctx, group)
	}
	position, err := r.peers.Barrier(ctx, owner, group)
	if err != nil && ownerUnreachable(err) {
		r.membership.ReportFailure(owner.ID, owner.Incarnation, err)
	}
	return position, err
}

// barrierOwners lists the instances that watch the group: the first owner of
// each database, that of the presumed primary first.
func (r *Router) barrierOwners(group state.Group) []state.Instance {
	primary := r.primaryOf(group)
	var owners []state.Instance
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
	return owners
}
