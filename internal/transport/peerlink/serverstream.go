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

// serverStream is the executing side of a stream. Each stream has its own
// goroutine, so that opens wait in the executor's fair queue and not for a
// worker of a pool in front of it.
type serverStream struct {
	link   *serverLink
	id     uint64
	ctx    context.Context // cancelled when the stream or the link ends
	cancel context.CancelFunc
	units  chan peerproto.Unit // buffered, capacity 1
	// credited holds one token after credit was added.
	credited chan struct{}

	mu     sync.Mutex
	credit int64 // bytes of event bodies that may be sent; may become negative

	// unitLock holds one token. It is taken while a unit starts or ends and
	// during a Cancel, so that a Cancel never reaches the unit after the one
	// that it names. It guards execStream and runningUnit.
	unitLock         chan struct{}
	execStream       execution.Stream
	runningUnit      uint64 // number of the running unit; zero if none
	highestCancelled uint64 // highest unit number in a Cancel so far; guarded by mu
}

func newServerStream(link *serverLink, id uint64) *serverStream {
	ctx, cancel := context.WithCancel(link.ctx)
	unitLock := make(chan struct{}, 1)
	unitLock <- struct{}{}
	return &serverStream{
		unitLock: unitLock,
		link:     link, id: id, ctx: ctx, cancel: cancel, credit: peerproto.InitialWindow,
		units: make(chan peerproto.Unit, 1), credited: make(chan struct{}, 1),
	}
}

// receive handles a frame of the stream. It does not block.
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
		return errProtocol // the peer may send a unit only after the previous one is done
	}
}

func (s *serverStream) receiveCancel(body []byte) error {
	var request peerproto.Cancel
	if err := peerproto.Unmarshal(body, &request); err != nil {
		return err
	}
	s.mu.Lock()
	repeated := request.Number <= s.highestCancelled
	s.highestCancelled = max(s.highestCancelled, request.Number)
	s.mu.Unlock()
	if !repeated && s.link.server.trackGoroutine() {
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

// cancelUnit cancels the unit with the given number if it is running.
func (s *serverStream) cancelUnit(number uint64) {
	defer s.link.server.goroutines.Done()
	<-s.unitLock
	defer func() { s.unitLock <- struct{}{} }()
	if s.runningUnit != number {
		return
	}
	if err := s.execStream.Cancel(s.ctx); err != nil {
		s.link.config.Logger.Debug().Err(err).Str("peer", s.link.name()).Msg("cancelling the peer's unit failed")
	}
}

// run opens the stream on the executor and runs its units.
func (s *serverStream) run(request execution.OpenRequest) {
	defer s.link.removeStream(s)
	defer s.cancel()
	execStream, err := s.link.server.handler.Open(s.ctx, request)
	if err != nil {
		s.sendFailure(err, state.OutcomeNotRun)
		return
	}
	closeExecStream := sync.OnceFunc(execStream.Close)
	defer closeExecStream()
	stop := context.AfterFunc(s.ctx, closeExecStream) // unblocks a waiting Receive
	defer stop()
	s.execStream = execStream
	s.link.send(peerproto.KindOpened, s.id, nil)
	for number := uint64(1); ; number++ {
		select {
		case unit := <-s.units:
			if unit.Number != number {
				s.link.fail(errProtocol)
				return
			}
			if err := s.serveUnit(unit); err != nil {
				return
			}
		case <-s.ctx.Done():
			return
		}
	}
}

// serveUnit runs one unit and sends its events.
func (s *serverStream) serveUnit(unit peerproto.Unit) error {
	if !s.beginUnit(unit.Number) {
		return errStreamClosed
	}
	defer s.endUnit()
	if err := s.execStream.Send(s.ctx, unit.Unit); err != nil {
		s.sendFailure(err, state.OutcomeUnknown)
		return err
	}
	for {
		event, err := s.execStream.Receive(s.ctx)
		if err != nil {
			s.sendFailure(err, state.OutcomeUnknown)
			return err
		}
		if event.Done {
			s.endUnit()
		}
		if err := s.sendEvent(peerproto.Event{Number: unit.Number, Event: event}); err != nil {
			return err
		}
		if event.Done {
			return nil
		}
	}
}

// beginUnit marks the unit as running. It returns false if the stream has
// ended, so that a unit queued before a Close is not executed after it.
func (s *serverStream) beginUnit(number uint64) bool {
	<-s.unitLock
	defer func() { s.unitLock <- struct{}{} }()
	if s.ctx.Err() != nil {
		return false
	}
	s.runningUnit = number
	return true
}

// endUnit waits for a Cancel in progress. After it no Cancel reaches the unit.
func (s *serverStream) endUnit() {
	<-s.unitLock
	defer func() { s.unitLock <- struct{}{} }()
	s.runningUnit = 0
}

// sendEvent sends an event. It waits for credit and until the link's writer has
// taken the frame, so that a stream has at most one event in memory here.
func (s *serverStream) sendEvent(event peerproto.Event) error {
	frame, err := newOutgoing(peerproto.KindEvent, s.id, &event, s.link.config.MaxFrame)
	if err != nil {
		self := peerName(s.link.config.Self.ID, s.link.config.Self.PeerAddress)
		s.sendFailure(state.Unknown(state.ReasonUnsupported, stepReceive, self, err), state.OutcomeUnknown)
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

// awaitCredit waits until the credit is above zero and subtracts size bytes.
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

// sendFailure sends the error that ends the stream to the peer. An error that
// is not a *state.Failure gets the given outcome.
func (s *serverStream) sendFailure(err error, outcome state.Outcome) {
	s.link.send(peerproto.KindFailure, s.id, portableError(err, outcome))
}

// reasonHandlerError is the reason for a handler's error that is not a
// *state.Failure.
const reasonHandlerError state.Reason = "handler_error"

// portableError converts an error of a handler to a failure that can be sent.
func portableError(err error, outcome state.Outcome) *state.Failure {
	if failure, ok := state.AsFailure(err); ok {
		return peerproto.PortableFailure(failure)
	}
	return &state.Failure{Outcome: outcome, Reason: reasonHandlerError, Step: "peer handler", Message: err.Error()}
}
