package rowstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// slowListTimeout bounds a list for which call no longer waits.
	slowListTimeout = 4 * time.Second
	// maxPendingLists bounds the lists of a table that are under way at once.
	maxPendingLists = 8
)

// pendingLists are the lists of a table that are under way. A list without a
// response after firstResponseTimeout may be lost, so that another is sent; it goes
// on all the same, since on a slow store no list would end in time. The first result
// ends all others.
type pendingLists struct {
	results chan listResult
	// arrived ends when a list has succeeded.
	arrived     context.Context
	markArrived context.CancelFunc
	// receiver is the number of the list whose response is arriving, or 0.
	receiver atomic.Int64
	// sent and running are used by Run only.
	sent, running int
	cancel        context.CancelFunc
	ctx           context.Context
}

type listResult struct {
	snapshot    Snapshot
	requestedAt state.Instant
	err         error
}

func newPendingLists(ctx context.Context) *pendingLists {
	p := &pendingLists{results: make(chan listResult, maxPendingLists)}
	p.ctx, p.cancel = context.WithCancel(ctx)
	p.arrived, p.markArrived = context.WithCancel(p.ctx)
	return p
}

// start sends a list, unless too many are under way or one has ended. started is called when the
// response to one begins to arrive.
func (p *pendingLists) start(store Store, table string, clock state.Clock, started func()) {
	if p.running == maxPendingLists || len(p.results) > 0 {
		return
	}
	p.sent, p.running = p.sent+1, p.running+1
	number := int64(p.sent)
	go func() {
		ctx, cancel := context.WithTimeout(WithCallTimeout(p.ctx, slowListTimeout), slowListTimeout+maxReceiveTime)
		defer cancel()
		ctx = WithResponseHook(ctx, func() {
			if !p.receiver.CompareAndSwap(0, number) {
				cancel() // the response to another list is arriving, on the same link
				return
			}
			started()
		})
		requestedAt := clock.Now()
		snapshot, err := store.List(ctx, table)
		p.receiver.CompareAndSwap(number, 0)
		p.results <- listResult{snapshot, requestedAt, err}
		if err == nil {
			p.markArrived()
		}
	}()
}

// list returns the first result of a list of the table, which may be that of an
// earlier call.
func (f *Follower) list(ctx, runCtx context.Context) listResult {
	if f.pending == nil {
		f.pending = newPendingLists(runCtx)
	}
	noResponse := time.NewTimer(firstResponseTimeout)
	defer noResponse.Stop()
	f.pending.start(f.Store, f.Table, f.Clock, func() {
		f.receivingSince.Store(int64(f.Clock.Now()))
	})
	for receiving := false; ; receiving = true {
		select {
		case result := <-f.pending.results:
			f.pending.running--
			if result.err == nil {
				f.endLists()
			}
			return result
		case <-ctx.Done():
			return listResult{err: context.Cause(ctx)}
		case <-noResponse.C:
			if receiver := f.pending.receiver.Load(); receiver == 0 || receiving {
				f.pending.receiver.CompareAndSwap(receiver, 0)
				return listResult{err: errNoResponse}
			}
			noResponse.Reset(maxReceiveTime)
		}
	}
}

// endLists ends the lists that are under way.
func (f *Follower) endLists() {
	if f.pending != nil {
		f.pending.cancel()
		f.pending = nil
	}
}
