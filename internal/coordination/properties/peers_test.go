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

// linkTimeout is how long a link may pass nothing before both ends give it up.
const linkTimeout = 2 * time.Second

var errLinkLost = errors.New("peer link lost")

// peers is the instances' way to one another.
type peers struct{ from *instance }

func unreachable(step string, peer state.Instance, cause error) error {
	return state.NotRun(state.ReasonUnreachable, step, string(peer.ID), 50*time.Millisecond, cause)
}

func (w *world) instance(id state.InstanceID) *instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, in := range w.instances {
		if in.self.ID == id {
			return in
		}
	}
	return nil
}

func (w *world) isCut(from, to string) bool {
	return w.is(func() bool { return w.cut[[2]string{from, to}] })
}

// call runs act at a peer. After an error it may still run later there.
func (p peers) call(ctx context.Context, peer state.Instance, act func(target *instance) error) error {
	w, self := p.from.world, p.from.name
	w.await(self)
	time.Sleep(hop)
	target := w.instance(peer.ID)
	if p.from.isDead() || target.isDead() || target.self.Incarnation != peer.Incarnation {
		return unreachable(routing.StepPeerDial, peer, errDead)
	}
	result := make(chan error, 1)
	if !w.isCut(self, target.name) {
		w.running.Go(func() {
			w.await(target.name)
			if !target.isDead() {
				result <- act(target)
			}
		})
	}
	var err error
	select {
	case err = <-result:
		lost := w.is(func() bool {
			return w.cut[[2]string{target.name, self}] || (w.loseEvery > 0 && w.random.IntN(w.loseEvery) == 0)
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
	time.Sleep(hop)
	w.await(self)
	return err
}

// Barrier implements routing.Peers.
func (p peers) Barrier(ctx context.Context, peer state.Instance, group state.GroupID) (state.Position, error) {
	var mu sync.Mutex
	var position state.Position
	err := p.call(ctx, peer, func(target *instance) error {
		barrierCtx, cancel := context.WithTimeout(target.ctx, time.Second)
		defer cancel()
		taken, err := target.manager.Barrier(barrierCtx, group)
		mu.Lock()
		defer mu.Unlock()
		position = taken
		return err
	})
	mu.Lock()
	defer mu.Unlock()
	return position, err
}

// Open implements routing.Peers.
func (p peers) Open(ctx context.Context, peer state.Instance, request execution.OpenRequest) (execution.Stream, error) {
	s := &remoteStream{
		world: p.from.world, from: p.from,
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
		s.world.running.Go(func() {
			defer stop()
			s.serve(inner)
		})
		return nil
	})
	if err != nil {
		s.cancel()
		return nil, err
	}
	s.world.running.Go(s.watch)
	return s, nil
}

type remoteEvent struct {
	event execution.Event
	err   error
}

// remoteStream is a stream over a link that may be cut. Units in it wait for a
// paused peer and are run when it wakes.
type remoteStream struct {
	world    *world
	from, to *instance
	ctx      context.Context
	cancel   context.CancelFunc
	units    chan execution.Unit
	events   chan remoteEvent
	inFlight bool
}

// watch ends the stream when the link has been silent for too long.
func (s *remoteStream) watch() {
	const look = 100 * time.Millisecond
	silent := time.Duration(0)
	for s.ctx.Err() == nil {
		blocked := s.world.is(func() bool {
			return s.world.cut[[2]string{s.from.name, s.to.name}] || s.world.cut[[2]string{s.to.name, s.from.name}] || s.world.frozen[s.to.name]
		})
		silent += look
		if !blocked {
			silent = 0
		}
		if silent >= linkTimeout || s.to.isDead() {
			s.cancel()
			return
		}
		time.Sleep(look)
	}
}

// passes waits until a frame can go one way, and reports whether it did.
func (s *remoteStream) passes(from, to string) bool {
	for s.ctx.Err() == nil {
		if !s.world.isCut(from, to) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// serve is the peer's end.
func (s *remoteStream) serve(inner execution.Stream) {
	defer inner.Close()
	for {
		select {
		case unit := <-s.units:
			if !s.passes(s.from.name, s.to.name) {
				return
			}
			s.world.await(s.to.name)
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
		s.world.await(s.to.name)
		if !s.passes(s.to.name, s.from.name) {
			return
		}
		time.Sleep(hop)
		s.events <- remoteEvent{event: event, err: err}
		if err != nil || event.Done {
			return
		}
	}
}

func (s *remoteStream) Send(_ context.Context, unit execution.Unit) error {
	s.world.await(s.from.name)
	time.Sleep(hop)
	if s.ctx.Err() != nil {
		return state.NotRun(state.ReasonConnectionLost, "peer send", s.to.name, 0, errLinkLost)
	}
	s.inFlight = true
	s.units <- unit
	return nil
}

func (s *remoteStream) Receive(ctx context.Context) (execution.Event, error) {
	defer s.world.await(s.from.name)
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
