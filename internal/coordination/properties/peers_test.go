package properties

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/routing"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// linkTimeout is how long a link may be blocked before it is closed.
const linkTimeout = 2 * time.Second

var errLinkLost = errors.New("peer link lost")

// peers simulates the calls and streams from one instance to the others.
type peers struct{ from *instance }

func unreachable(step string, peer state.Instance, cause error) error {
	return state.NotRun(state.ReasonUnreachable, step, string(peer.ID), 50*time.Millisecond, cause)
}

func (tc *testCluster) instance(id state.InstanceID) *instance {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, in := range tc.instances {
		if in.self.ID == id {
			return in
		}
	}
	return nil
}

func (tc *testCluster) isPartitioned(from, to string) bool {
	return tc.checkWithLock(func() bool { return tc.partitioned[[2]string{from, to}] })
}

// call runs fn on a peer. After an error, fn may still run there later.
func (p peers) call(ctx context.Context, peer state.Instance, fn func(target *instance) error) error {
	tc, self := p.from.cluster, p.from.name
	tc.waitWhileFrozen(self)
	time.Sleep(networkDelay)
	target := tc.instance(peer.ID)
	if p.from.isDead() || target.isDead() || target.self.Incarnation != peer.Incarnation {
		return unreachable(routing.StepPeerDial, peer, errDead)
	}
	result := make(chan error, 1)
	if !tc.isPartitioned(self, target.name) {
		tc.running.Go(func() {
			tc.waitWhileFrozen(target.name)
			if !target.isDead() {
				result <- fn(target)
			}
		})
	}
	var err error
	select {
	case err = <-result:
		lost := tc.checkWithLock(func() bool {
			return tc.partitioned[[2]string{target.name, self}] || (tc.loseOneIn > 0 && tc.random.IntN(tc.loseOneIn) == 0)
		})
		if lost {
			<-ctx.Done()
			err = unreachable(routing.StepPeerOpen, peer, ctx.Err())
		}
	case <-ctx.Done():
		err = unreachable(routing.StepPeerOpen, peer, ctx.Err())
	case <-target.ctx.Done():
		err = unreachable(routing.StepPeerOpen, peer, errDead)
	}
	time.Sleep(networkDelay)
	tc.waitWhileFrozen(self)
	return err
}

// Barrier implements routing.Peers.
func (p peers) Barrier(ctx context.Context, peer state.Instance, group state.GroupID) (state.Position, error) {
	var mu sync.Mutex
	var position state.Position
	err := p.call(ctx, peer, func(target *instance) error {
		barrierCtx, cancel := context.WithTimeout(target.ctx, time.Second)
		defer cancel()
		result, err := target.manager.Barrier(barrierCtx, group)
		mu.Lock()
		defer mu.Unlock()
		position = result
		return err
	})
	mu.Lock()
	defer mu.Unlock()
	return position, err
}

// Open implements routing.Peers.
func (p peers) Open(ctx context.Context, peer state.Instance, request execution.OpenRequest) (execution.Stream, error) {
	s := &remoteStream{
		cluster: p.from.cluster, from: p.from,
		units: make(chan execution.Unit, 1), events: make(chan remoteEvent, 64),
	}
	s.ctx, s.cancel = context.WithCancel(p.from.ctx)
	err := p.call(ctx, peer, func(target *instance) error {
		stop := context.AfterFunc(target.ctx, s.cancel)
		inner, err := target.manager.Open(s.ctx, request)
		if err != nil {
			stop()
			return err
		}
		s.to = target
		s.cluster.running.Go(func() {
			defer stop()
			s.serve(inner)
		})
		return nil
	})
	if err != nil {
		s.cancel()
		return nil, err
	}
	s.cluster.running.Go(s.watch)
	return s, nil
}

type remoteEvent struct {
	event execution.Event
	err   error
}

// remoteStream is a stream over a link that may be partitioned. Units sent to a
// frozen peer run when it resumes.
type remoteStream struct {
	cluster  *testCluster
	from, to *instance
	ctx      context.Context
	cancel   context.CancelFunc
	units    chan execution.Unit
	events   chan remoteEvent
	inFlight bool
}

// watch closes the stream after the link was blocked for linkTimeout, or if the
// peer dies.
func (s *remoteStream) watch() {
	const interval = 100 * time.Millisecond
	blockedFor := time.Duration(0)
	for s.ctx.Err() == nil {
		blocked := s.cluster.checkWithLock(func() bool {
			return s.cluster.partitioned[[2]string{s.from.name, s.to.name}] || s.cluster.partitioned[[2]string{s.to.name, s.from.name}] || s.cluster.frozen[s.to.name]
		})
		blockedFor += interval
		if !blocked {
			blockedFor = 0
		}
		if blockedFor >= linkTimeout || s.to.isDead() {
			s.cancel()
			return
		}
		time.Sleep(interval)
	}
}

// waitForPath waits until a frame can be delivered in one direction. It returns
// false if the stream ends first.
func (s *remoteStream) waitForPath(from, to string) bool {
	for s.ctx.Err() == nil {
		if !s.cluster.isPartitioned(from, to) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// serve runs the units on the peer's side.
func (s *remoteStream) serve(inner execution.Stream) {
	defer inner.Close()
	for {
		select {
		case unit := <-s.units:
			if !s.waitForPath(s.from.name, s.to.name) {
				return
			}
			s.cluster.waitWhileFrozen(s.to.name)
			s.runUnit(inner, unit)
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *remoteStream) runUnit(inner execution.Stream, unit execution.Unit) {
	err := inner.Send(s.ctx, unit)
	for {
		var event execution.Event
		if err == nil {
			event, err = inner.Receive(s.ctx)
			event.Messages = append([]byte(nil), event.Messages...)
		}
		s.cluster.waitWhileFrozen(s.to.name)
		if !s.waitForPath(s.to.name, s.from.name) {
			return
		}
		time.Sleep(networkDelay)
		s.events <- remoteEvent{event: event, err: err}
		if err != nil || event.Done {
			return
		}
	}
}

func (s *remoteStream) Send(_ context.Context, unit execution.Unit) error {
	s.cluster.waitWhileFrozen(s.from.name)
	time.Sleep(networkDelay)
	if s.ctx.Err() != nil {
		return state.NotRun(state.ReasonConnectionLost, "peer send", s.to.name, 0, errLinkLost)
	}
	s.inFlight = true
	s.units <- unit
	return nil
}

func (s *remoteStream) Receive(ctx context.Context) (execution.Event, error) {
	defer s.cluster.waitWhileFrozen(s.from.name)
	select {
	case received := <-s.events:
		s.inFlight = !received.event.Done && received.err == nil
		return received.event, received.err
	case <-ctx.Done():
		return execution.Event{}, state.Unknown(state.ReasonSilent, "peer receive", s.to.name, ctx.Err())
	case <-s.ctx.Done():
		return execution.Event{}, state.Unknown(state.ReasonSilent, "peer receive", s.to.name, errLinkLost)
	}
}

func (s *remoteStream) Cancel(context.Context) error { return nil }

func (s *remoteStream) Close() { s.cancel() }
