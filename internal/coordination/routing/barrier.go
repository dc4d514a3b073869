package routing

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// barrierBatch holds the next barrier request of a group, which all sessions share
// that called since the request now in flight was sent. A session must not join a
// request in flight: its barrier may have been determined before the session's
// call.
type barrierBatch struct {
	running bool
	next    *barrierResult
}

type barrierResult struct {
	done     chan struct{}
	position state.Position
	err      error
}

// Barrier returns a minimum position that covers every write of the group
// acknowledged before the call. Per group, at most one request of this instance is
// in flight and one waits.
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

// runBarriers requests barriers for as long as sessions wait for one.
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

// barrierHedgeDelay is how long to wait for a response from one owner before the
// request is also sent to the next.
const barrierHedgeDelay = 100 * time.Millisecond

// takeBarrier requests a barrier from the owners of the group's databases, the
// primary's owner first, and returns the first success. If an owner does not
// respond within barrierHedgeDelay, the next owner gets the request as well.
func (r *Router) takeBarrier(groupID state.GroupID) (state.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), r.options.BarrierTimeout)
	defer cancel()
	group, found := r.topology.Get(groupID)
	if !found {
		return state.Position{}, state.NotRun(state.ReasonUnreachable, "find group", string(groupID), r.options.RetryDelay, nil)
	}
	owners := r.barrierOwners(group)
	responses := make(chan barrierResponse, len(owners))
	var lastErr error
	for requested, pending := 0, 0; requested < len(owners) || pending > 0; {
		if requested < len(owners) {
			go r.requestBarrier(ctx, owners[requested], groupID, responses)
			requested++
			pending++
		}
		response, arrived := awaitResponse(ctx, responses, requested < len(owners))
		if !arrived {
			continue
		}
		pending--
		if response.err == nil {
			return response.position, nil
		}
		lastErr = response.err
	}
	return state.Position{}, state.NotRun(state.ReasonNoPrimary, "take barrier", string(groupID), r.options.RetryDelay, lastErr)
}

type barrierResponse struct {
	position state.Position
	err      error
}

func (r *Router) requestBarrier(ctx context.Context, owner state.Instance, group state.GroupID, responses chan<- barrierResponse) {
	position, err := r.barrierFrom(ctx, owner, group)
	responses <- barrierResponse{position: position, err: err}
}

// awaitResponse waits for a response. If more owners remain, it waits for
// barrierHedgeDelay at most.
func awaitResponse(ctx context.Context, responses <-chan barrierResponse, more bool) (response barrierResponse, arrived bool) {
	var hedge <-chan time.Time
	if more {
		timer := time.NewTimer(barrierHedgeDelay)
		defer timer.Stop()
		hedge = timer.C
	}
	select {
	case response = <-responses:
		return response, true
	case <-hedge:
		return response, false
	case <-ctx.Done():
		return barrierResponse{err: ctx.Err()}, true
	}
}

func (r *Router) barrierFrom(ctx context.Context, owner state.Instance, group state.GroupID) (state.Position, error) {
	if owner.ID == r.membership.Self().ID {
		return r.local.Barrier(ctx, group)
	}
	position, err := r.peers.Barrier(ctx, owner, group)
	if err != nil && ownerUnreachable(err) && !errors.Is(ctx.Err(), context.Canceled) {
		r.membership.ReportFailure(owner.ID, owner.Incarnation, err)
	}
	return position, err
}

// barrierOwners returns the instances that watch the group: the first owner of
// each database, without duplicates, beginning with that of the presumed primary.
func (r *Router) barrierOwners(group state.Group) []state.Instance {
	primary := r.primaryOf(group)
	var owners []state.Instance
	seen := map[state.InstanceID]bool{}
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
		duplicate := seen[owner.ID]
		seen[owner.ID] = true
		return duplicate
	})
}
