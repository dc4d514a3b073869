package peerlink

import (
	"context"
	"errors"
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var errStreamClosed = errors.New("stream closed")

// serverStream is the owner's end of a stream. One goroutine runs it, so that
// opens wait in the executor's fair queue and not in a pool in front of it.
type serverStream struct {
	link   *serverLink
	id     uint64
	ctx    context.Context // ends with the stream or the link
	cancel context.CancelFunc
	units  chan peerproto.Unit // holds one
	// credited holds one token when credit was added.
	credited chan struct{}

	mu     sync.Mutex
	credit int64 // bytes of event bodies that may be sent; may fall below zero

	// running holds a token, which is taken while a unit starts or ends and
	// during a Cancel, so that a Cancel never reaches the unit after the one
	// it names. It guards held and runs.
	running   chan struct{}
	held      execution.Stream
	runs      uint64 // number of the unit that runs; zero if none
	cancelled uint64 // highest number of a unit to cancel; guarded by mu
}

func newServerStream(link *serverLink, id uint64) *serverStream {
	ctx, cancel := context.WithCancel(link.ctx)
	running := make(chan struct{}, 1)
	running <- struct{}{}
	return &serverStream{
		running: running,
		link:    link, id: id, ctx: ctx, cancel: cancel, credit: peerproto.InitialWindow,
		units: make(chan peerproto.Unit, 1), credited: make(chan struct{}, 1),
	}
}

// receive takes a frame of the stream. It does not block.
func (s *serverStream) receive(frame peerproto.Frame) error {
	switch frame.Kind {
	case peerproto.KindUnit:
		return s.receiveUnit(frame.Body)
	case peerproto.KindCancel:
		return s.receiveCancel(frame.Body)
	case peerproto.KindCredit:
		return s.receiveCredit(frame.Body)
	default:
		s.cancel()
		return nil
	}
}

func (s *serverStream) receiveUnit(body []byte) error {
	var unit peerproto.Unit
	if err := peerproto.Unmarshal(body, &unit); err != nil {
		return err
	}
	select {
	case s.units <- unit:
		return nil
	default:
		return errProtocol // the peer may send a unit only after a Done
	}
}

func (s *serverStream) receiveCancel(body []byte) error {
	var request peerproto.Cancel
	if err := peerproto.Unmarshal(body, &request); err != nil {
		return err
	}
	s.mu.Lock()
	again := request.Number <= s.cancelled
	s.cancelled = max(s.cancelled, request.Number)
	s.mu.Unlock()
	if !again && s.link.server.track() {
		go s.cancelUnit(request.Number)
	}
	return nil
}

func (s *serverStream) receiveCredit(body []byte) error {
	var credit peerproto.Credit
	if err := peerproto.Unmarshal(body, &credit); err != nil {
		return err
	}
	s.mu.Lock()
	s.credit += int64(credit.Bytes)
	excess := credit.Bytes > uint64(s.link.config.MaxFrame)+peerproto.InitialWindow || s.credit > peerproto.InitialWindow
	s.mu.Unlock()
	if excess {
		return errProtocol
	}
	select {
	case s.credited <- struct{}{}:
	default:
	}
	return nil
}

// cancelUnit cancels the unit if it is the one that runs.
func (s *serverStream) cancelUnit(number uint64) {
	defer s.link.server.running.Done()
	<-s.running
	defer func() { s.running <- struct{}{} }()
	if s.runs != number {
		return
	}
	if err := s.held.Cancel(s.ctx); err != nil {
		s.link.config.Logger.Debug().Err(err).Str("peer", s.link.name()).Msg("cancel failed")
	}
}

// run opens the stream on the executor and serves its units.
func (s *serverStream) run(request execution.OpenRequest) {
	defer s.link.forget(s)
	defer s.cancel()
	held, err := s.link.server.handler.Open(s.ctx, request)
	if err != nil {
		s.fail(err, state.OutcomeNotRun)
		return
	}
	closeHeld := sync.OnceFunc(held.Close)
	defer closeHeld()
	stop := context.AfterFunc(s.ctx, closeHeld) // ends a Receive that waits
	defer stop()
	s.held = held
	s.link.send(peerproto.KindOpened, s.id, nil)
	for number := uint64(1); ; number++ {
		select {
		case unit := <-s.units:
			if unit.Number != number {
				s.link.fail(errProtocol)
				return
			}
			if err := s.serve(unit); err != nil {
				return
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// serve runs one unit and sends its answer.
func (s *serverStream) serve(unit peerproto.Unit) error {
	if !s.begin(unit.Number) {
		return errStreamClosed
	}
	defer s.end()
	if err := s.held.Send(s.ctx, unit.Unit); err != nil {
		s.fail(err, state.OutcomeUnknown)
		return err
	}
	for {
		event, err := s.held.Receive(s.ctx)
		if err != nil {
			s.fail(err, state.OutcomeUnknown)
			return err
		}
		if event.Done {
			s.end()
		}
		if err := s.sendEvent(peerproto.Event{Number: unit.Number, Event: event}); err != nil {
			return err
		}
		if event.Done {
			return nil
		}
	}
}

// begin marks the unit as the one that runs. It reports false when the stream
// has ended: a unit that waited behind a Close is not executed.
func (s *serverStream) begin(number uint64) bool {
	<-s.running
	defer func() { s.running <- struct{}{} }()
	if s.ctx.Err() != nil {
		return false
	}
	s.runs = number
	return true
}

// end waits for a Cancel in progress, after which none reaches the unit.
func (s *serverStream) end() {
	<-s.running
	defer func() { s.running <- struct{}{} }()
	s.runs = 0
}

// sendEvent waits for credit and for the link's writer, so that a stream has
// at most one event waiting here.
func (s *serverStream) sendEvent(event peerproto.Event) error {
	frame, err := newOutgoing(peerproto.KindEvent, s.id, &event, s.link.config.MaxFrame)
	if err != nil {
		self := peerName(s.link.config.Self.ID, s.link.config.Self.PeerAddress)
		s.fail(state.Unknown(state.ReasonUnsupported, stepReceive, self, err), state.OutcomeUnknown)
		return err
	}
	if err := s.awaitCredit(frame.bodySize()); err != nil {
		return err
	}
	frame.paced = true
	frame.taken = make(chan struct{})
	if !s.link.post(frame) {
		return errStreamClosed
	}
	select {
	case <-frame.taken:
		return nil
	case <-s.ctx.Done():
		s.link.outbox.withdraw(frame)
		return errStreamClosed
	}
}

// awaitCredit spends size bytes of credit once there is any.
func (s *serverStream) awaitCredit(size int) error {
	for {
		s.mu.Lock()
		if s.credit > 0 {
			s.credit -= int64(size)
			s.mu.Unlock()
			return nil
		}
		s.mu.Unlock()
		select {
		case <-s.credited:
		case <-s.ctx.Done():
			return errStreamClosed
		}
	}
}

// fail tells the peer why the stream ends. An error without an outcome of its
// own gets the given one.
func (s *serverStream) fail(err error, outcome state.Outcome) {
	s.link.send(peerproto.KindFailure, s.id, portableError(err, outcome))
}

// reasonHandler is the reason of a handler's error that states none.
const reasonHandler state.Reason = "handler_error"

// portableError turns any error of a handler into a failure that can be sent.
func portableError(err error, outcome state.Outcome) *state.Failure {
	if failure, ok := state.AsFailure(err); ok {
		return peerproto.PortableFailure(failure)
	}
	return &state.Failure{Outcome: outcome, Reason: reasonHandler, Step: "peer handler", Message: err.Error()}
}
