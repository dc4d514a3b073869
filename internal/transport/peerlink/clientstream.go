package peerlink

import (
	"context"
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Steps of failures.
const (
	stepDial    = "peer dial"
	stepOpen    = "peer open"
	stepSend    = "peer send"
	stepReceive = "peer receive"
	stepCall    = "peer call"
)

// sizedEvent is an event with the bytes of its frame's body.
type sizedEvent struct {
	event execution.Event
	size  int
}

// clientStream is the entry's end of a stream.
type clientStream struct {
	link *clientLink
	id   uint64
	// changed holds one token when an event or the end has arrived.
	changed chan struct{}

	mu        sync.Mutex
	opened    bool
	events    []sizedEvent
	buffered  int
	read      uint64         // bytes read since the last Credit
	number    uint64         // of the last unit
	unit      *outgoing      // the unit's frame until its Done arrives
	cancelled bool           // a Cancel was sent for the unit
	flight    bool           // an answer is awaited
	failure   *state.Failure // why the stream ended; nil while it is up
}

var _ execution.Stream = (*clientStream)(nil)

// Send queues the unit for the link. An error is a *state.Failure with
// OutcomeNotRun: nothing of the unit was handed to the link.
func (s *clientStream) Send(_ context.Context, unit execution.Unit) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return state.NotRun(s.failure.Reason, stepSend, s.link.name(), s.failure.RetryAfter, s.failure)
	}
	if s.unit != nil || len(s.events) > 0 {
		return s.misuse(stepSend, "the unit before is not done")
	}
	body := &peerproto.Unit{Number: s.number + 1, Unit: unit}
	frame, err := newOutgoing(peerproto.KindUnit, s.id, body, s.link.config.MaxFrame)
	if err != nil {
		return state.NotRun(state.ReasonUnsupported, stepSend, s.link.name(), 0, err)
	}
	frame.paced = true
	s.number++
	s.unit = frame
	s.cancelled = false
	s.setFlight(true)
	s.link.post(frame) // where it fails, the end of the link ends the stream
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

// next returns a buffered event, or the stream's failure after the last one.
func (s *clientStream) next() (execution.Event, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) > 0 {
		event := s.events[0]
		s.events = s.events[1:]
		s.buffered -= event.size
		s.grant(event.size)
		return event.event, true, nil
	}
	if s.failure != nil {
		return execution.Event{}, false, s.failure
	}
	if s.unit == nil {
		return execution.Event{}, false, s.misuse(stepReceive, "no unit runs")
	}
	return execution.Event{}, false, nil
}

// grant lets the peer send on once half of the window was read. Called with
// mu held.
func (s *clientStream) grant(size int) {
	s.read += uint64(size)
	if s.failure == nil && s.read >= peerproto.InitialWindow/2 {
		s.link.send(peerproto.KindCredit, s.id, &peerproto.Credit{Bytes: s.read})
		s.read = 0
	}
}

// Cancel asks the peer to cancel the unit that runs now, if one does.
func (s *clientStream) Cancel(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil || s.unit == nil || s.cancelled {
		return nil
	}
	s.cancelled = true
	s.link.send(peerproto.KindCancel, s.id, &peerproto.Cancel{Number: s.number})
	return nil
}

// Close ends the stream.
func (s *clientStream) Close() {
	_ = s.abandon(stepReceive, errClosed) // the answer is for who still waits
}

// abandon ends the stream from this side and returns its failure.
func (s *clientStream) abandon(step string, cause error) *state.Failure {
	s.mu.Lock()
	failure, first := s.endLocked(step, state.ReasonSilent, cause)
	s.mu.Unlock()
	if first {
		s.link.send(peerproto.KindClose, s.id, nil)
		s.link.forget(s.id)
	}
	return failure
}

// down ends the stream because its link ended.
func (s *clientStream) down(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := stepReceive
	if !s.opened {
		step = stepOpen
	}
	_, _ = s.endLocked(step, lostReason(cause), cause) // Receive returns it
}

// endLocked ends the stream if it has not ended, and returns its failure and
// whether it ended now. The unit in flight is not run where its frame can be
// taken back, else unknown. Called with mu held.
func (s *clientStream) endLocked(step string, reason state.Reason, cause error) (*state.Failure, bool) {
	if s.failure != nil {
		return s.failure, false
	}
	if s.unit != nil && !s.link.outbox.withdraw(s.unit) {
		s.finish(state.Unknown(reason, step, s.link.name(), cause))
	} else {
		s.finish(state.NotRun(reason, step, s.link.name(), retryAfterLost, cause))
	}
	return s.failure, true
}

// finish records the end. Called with mu held.
func (s *clientStream) finish(failure *state.Failure) {
	s.failure = failure
	s.setFlight(false)
	s.link.probe.add(0, -1)
	s.signal()
}

func (s *clientStream) setFlight(flight bool) {
	if s.flight == flight {
		return
	}
	s.flight = flight
	if flight {
		s.link.probe.add(1, 0)
	} else {
		s.link.probe.add(-1, 0)
	}
}

func (s *clientStream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// accepted notes that the peer holds the stream.
func (s *clientStream) accepted() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opened {
		return errProtocol
	}
	s.opened = true
	s.setFlight(false)
	s.signal()
	return nil
}

// refused ends the stream with the peer's own failure.
func (s *clientStream) refused(failure *state.Failure) {
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

// deliver buffers an event. A peer that sends more than its credit, or an
// event of no unit, breaks the protocol.
func (s *clientStream) deliver(event peerproto.Event, size int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil
	}
	if s.unit == nil || event.Number != s.number || s.buffered >= peerproto.InitialWindow {
		return errProtocol
	}
	s.events = append(s.events, sizedEvent{event: event.Event, size: size})
	s.buffered += size
	if event.Event.Done {
		s.unit = nil
		s.setFlight(false)
	}
	s.signal()
	return nil
}

// status returns whether the peer holds the stream, and the failure if ended.
func (s *clientStream) status() (bool, *state.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened, s.failure
}

func (s *clientStream) misuse(step, message string) *state.Failure {
	return &state.Failure{
		Outcome: state.OutcomeNotRun, Reason: state.ReasonUnsupported,
		Step: step, Peer: s.link.name(), Message: message,
	}
}
