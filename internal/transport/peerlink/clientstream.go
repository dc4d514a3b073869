package peerlink

import (
	"context"
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Steps at which a failure may occur, as reported in state.Failure.
const (
	stepDial    = "peer dial"
	stepOpen    = "peer open"
	stepSend    = "peer send"
	stepReceive = "peer receive"
	stepCall    = "peer call"
)

// sizedEvent is an event with the size in bytes of its frame's body.
type sizedEvent struct {
	event execution.Event
	size  int
}

// clientStream is the requesting side of a stream.
type clientStream struct {
	link *clientLink
	id   uint64
	// changed holds one token after an event has arrived or the state of the
	// stream has changed.
	changed chan struct{}

	mu         sync.Mutex
	opened     bool
	events     []sizedEvent
	buffered   int
	bytesRead  uint64         // bytes read since the last Credit
	unitNumber uint64         // of the last unit
	unitFrame  *outgoing      // the unit's frame until its Done arrives
	cancelled  bool           // a Cancel was sent for the unit
	awaiting   bool           // a response from the peer is awaited
	failure    *state.Failure // why the stream ended; nil while it is up
}

var _ execution.Stream = (*clientStream)(nil)

// Send queues a unit on the link. An error is a *state.Failure with
// OutcomeNotRun, because no part of the unit was queued.
func (s *clientStream) Send(_ context.Context, unit execution.Unit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return state.NotRun(s.failure.Reason, stepSend, s.link.name(), s.failure.RetryAfter, s.failure)
	}
	if s.unitFrame != nil || len(s.events) > 0 {
		return s.misuseFailure(stepSend, "the unit before is not done")
	}
	body := &peerproto.Unit{Number: s.unitNumber + 1, Unit: unit}
	frame, err := newOutgoing(peerproto.KindUnit, s.id, body, s.link.config.MaxFrame)
	if err != nil {
		return state.NotRun(state.ReasonUnsupported, stepSend, s.link.name(), 0, err)
	}
	frame.paced = true
	s.unitNumber++
	s.unitFrame = frame
	s.cancelled = false
	s.setAwaiting(true)
	s.link.post(frame) // on failure the link ends, and with it the stream
	return nil
}

// Receive returns the next event of the unit.
func (s *clientStream) Receive(ctx context.Context) (execution.Event, error) {
	for {
		event, ready, err := s.next()
		if ready || err != nil {
			return event, err
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return execution.Event{}, s.abandon(stepReceive, ctx.Err())
		}
	}
}

// next returns a buffered event, or the stream's failure if no event is left.
func (s *clientStream) next() (execution.Event, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) > 0 {
		event := s.events[0]
		s.events = s.events[1:]
		s.buffered -= event.size
		s.grantCredit(event.size)
		return event.event, true, nil
	}
	if s.failure != nil {
		return execution.Event{}, false, s.failure
	}
	if s.unitFrame == nil {
		return execution.Event{}, false, s.misuseFailure(stepReceive, "no unit runs")
	}
	return execution.Event{}, false, nil
}

// grantCredit returns credit to the peer when the caller has read half of the
// window. The caller must hold mu.
func (s *clientStream) grantCredit(size int) {
	s.bytesRead += uint64(size)
	if s.failure == nil && s.bytesRead >= peerproto.InitialWindow/2 {
		s.link.send(peerproto.KindCredit, s.id, &peerproto.Credit{Bytes: s.bytesRead})
		s.bytesRead = 0
	}
}

// Cancel requests that the peer cancel the running unit, if there is one.
func (s *clientStream) Cancel(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil || s.unitFrame == nil || s.cancelled {
		return nil
	}
	s.cancelled = true
	s.link.send(peerproto.KindCancel, s.id, &peerproto.Cancel{Number: s.unitNumber})
	return nil
}

// Close ends the stream.
func (s *clientStream) Close() {
	_ = s.abandon(stepReceive, errClosed) // the failure is for a Receive that is still waiting
}

// abandon ends the stream from this side and returns its failure.
func (s *clientStream) abandon(step string, cause error) *state.Failure {
	s.mu.Lock()
	failure, first := s.endLocked(step, state.ReasonSilent, cause)
	s.mu.Unlock()
	if first {
		s.link.send(peerproto.KindClose, s.id, nil)
		s.link.remove(s.id)
	}
	return failure
}

// linkEnded ends the stream because its link has ended.
func (s *clientStream) linkEnded(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := stepReceive
	if !s.opened {
		step = stepOpen
	}
	_, _ = s.endLocked(step, lostReason(cause), cause) // Receive returns the failure
}

// endLocked ends the stream unless it has ended already, and returns its
// failure and whether this call ended it. The outcome of the unit in progress
// is not run if its frame can be withdrawn, else unknown. The caller must hold
// mu.
func (s *clientStream) endLocked(step string, reason state.Reason, cause error) (*state.Failure, bool) {
	if s.failure != nil {
		return s.failure, false
	}
	if s.unitFrame != nil && !s.link.outbox.withdraw(s.unitFrame) {
		s.finish(state.Unknown(reason, step, s.link.name(), cause))
	} else {
		s.finish(state.NotRun(reason, step, s.link.name(), retryAfterLost, cause))
	}
	return s.failure, true
}

// finish records the failure that ended the stream. The caller must hold mu.
func (s *clientStream) finish(failure *state.Failure) {
	s.failure = failure
	s.setAwaiting(false)
	s.link.prober.add(0, -1)
	s.signal()
}

func (s *clientStream) setAwaiting(awaiting bool) {
	if s.awaiting == awaiting {
		return
	}
	s.awaiting = awaiting
	if awaiting {
		s.link.prober.add(1, 0)
	} else {
		s.link.prober.add(-1, 0)
	}
}

func (s *clientStream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// receiveOpened records that the peer has opened the stream.
func (s *clientStream) receiveOpened() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened {
		return errProtocol
	}
	s.opened = true
	s.setAwaiting(false)
	s.signal()
	return nil
}

// receiveFailure ends the stream with the failure that the peer sent.
func (s *clientStream) receiveFailure(failure *state.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return
	}
	if failure.Peer == "" {
		failure.Peer = s.link.name()
	}
	s.finish(failure)
}

// deliver buffers an event. An event beyond the credit, or one that belongs to
// no running unit, is a protocol error.
func (s *clientStream) deliver(event peerproto.Event, size int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil
	}
	if s.unitFrame == nil || event.Number != s.unitNumber || s.buffered >= peerproto.InitialWindow {
		return errProtocol
	}
	s.events = append(s.events, sizedEvent{event: event.Event, size: size})
	s.buffered += size
	if event.Event.Done {
		s.unitFrame = nil
		s.setAwaiting(false)
	}
	s.signal()
	return nil
}

// status reports whether the peer has opened the stream, and returns the
// failure if the stream has ended.
func (s *clientStream) status() (bool, *state.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened, s.failure
}

func (s *clientStream) misuseFailure(step, message string) *state.Failure {
	return &state.Failure{
		Outcome: state.OutcomeNotRun, Reason: state.ReasonUnsupported,
		Step: step, Peer: s.link.name(), Message: message,
	}
}
