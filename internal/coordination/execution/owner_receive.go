package execution

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Receive implements Stream.
func (s *ownerStream) Receive(ctx context.Context) (Event, error) {
	if !s.acquire() {
		return Event{}, state.Unknown(state.ReasonConnectionLost, "receive from backend server", string(s.server.Database.ID), errStreamClosed)
	}
	defer s.release()
	return s.receive(ctx)
}

func (s *ownerStream) receive(ctx context.Context) (Event, error) {
	if len(s.unsent) > 0 {
		return s.nextPart(), nil
	}
	s.buffer = s.buffer[:0]
	if s.replay != nil {
		event := *s.replay
		s.replay = nil
		return event, nil
	}
	for {
		s.unit.silence.startWaiting()
		message, err := s.conn.backend.Receive(ctx)
		if err != nil {
			return Event{}, s.fail(err, "receive from backend server")
		}
		s.unit.silence.messageReceived()
		if err := s.checkFreshness(); err != nil {
			return Event{}, err
		}
		done, err := s.handleMessage(message)
		if err != nil {
			return Event{}, err
		}
		if done {
			return s.finish(ctx, message)
		}
		full := len(s.buffer) >= eventBytes
		if len(s.buffer) > 0 && (full || !s.conn.backend.Buffered()) {
			s.unsent = s.buffer
			s.unit.delivered = true
			return s.nextPart(), nil
		}
	}
}

// nextPart returns at most maxEventBytes of the unsent messages.
func (s *ownerStream) nextPart() Event {
	size := min(len(s.unsent), maxEventBytes)
	event := Event{Messages: s.unsent[:size], Partial: size < len(s.unsent)}
	s.unsent = s.unsent[size:]
	return event
}

// checkFreshness refuses the reply to a read if its first message arrives when
// the data may be older than the read accepts, because this process or the
// network was delayed after the check. The failure is not-run, since nothing of
// the reply has been sent and a read has no effect.
func (s *ownerStream) checkFreshness() error {
	running := s.unit
	if running.replyStarted {
		return nil
	}
	running.replyStarted = true
	if running.freshUntil.IsZero() || !time.Now().After(running.freshUntil) {
		return nil
	}
	s.abortUnit()
	return s.owner.notRun(state.ReasonTooStale, "await answer", string(s.server.Database.ID), nil)
}

// handleMessage appends one message to the buffer or to the held messages, or
// drops it. done is true for ReadyForQuery.
func (s *ownerStream) handleMessage(message Message) (done bool, err error) {
	running := s.unit
	switch message.Type {
	case msgParameterStatus:
		if s.recordPosition(message) {
			return false, nil
		}
	case msgParseComplete:
		if s.recordParsed(running) {
			return false, nil
		}
	case msgCloseComplete:
		if running.droppedCloses > 0 {
			running.droppedCloses--
			return false, nil
		}
	case msgRowDescription:
		running.returnsRows = true
	case msgErrorResponse:
		running.errored = true
		if s.isDemotion(message) {
			running.demoted = true
			s.buffer = s.buffer[:0]
		}
	case msgCommandComplete:
		running.holding = true
		running.commandTag = parseCommandTag(message.Body())
	case msgReadyForQuery:
		return true, nil
	}
	if running.demoted {
		return false, nil
	}
	if !running.holding {
		s.buffer = append(s.buffer, message.Raw...)
		return false, nil
	}
	running.held = append(running.held, message.Raw...)
	if len(running.held) > maxHeldBytes {
		return false, s.failHeldTooLarge()
	}
	return false, nil
}

// isDemotion reports whether an error response means that the database is no
// longer the primary and that nothing of the unit ran. Within a transaction
// block, the caller may itself have made the transaction read-only.
func (s *ownerStream) isDemotion(message Message) bool {
	running := s.unit
	return running.unit.Access == AccessWrite && running.statusBefore == txIdle && !running.delivered &&
		errorField(message.Body(), 'C') == sqlStateReadOnly
}

// recordPosition records the log position that the message reports, and returns
// whether the message is such a report.
func (s *ownerStream) recordPosition(message Message) bool {
	name, value, ok := parseParameterStatus(message.Body())
	if !ok || name != positionParameter {
		return false
	}
	position, err := state.ParsePosition(value)
	if err == nil {
		s.conn.position = position
	}
	return true
}

// recordParsed records the statement of a ParseComplete as prepared, and reports
// whether it belongs to an injected Parse.
func (s *ownerStream) recordParsed(running *runningUnit) bool {
	if len(running.awaitedParses) == 0 {
		return false
	}
	s.conn.prepared.add(running.awaitedParses[0])
	running.awaitedParses = running.awaitedParses[1:]
	if running.injectedParses > 0 {
		running.injectedParses--
		return true
	}
	return false
}

// finish ends the unit at its ReadyForQuery. The rest of the reply to a write
// is returned only when a majority holds the write.
func (s *ownerStream) finish(ctx context.Context, ready Message) (Event, error) {
	running := s.unit
	s.setRunning(false)
	s.txStatus = ready.Body()[0]
	s.pinned = s.pinned || running.unit.Pins
	if running.unit.ChangesSettings {
		s.conn.settingsKnown = false
	}
	s.buffer = append(s.buffer, running.held...)
	s.buffer = append(s.buffer, ready.Raw...)
	if running.ownTransaction {
		if err := s.commitRequestID(ctx); err != nil {
			return Event{}, s.fail(err, "commit request id")
		}
	}
	running.silence.stop()
	running.slot.Release(true)
	s.unit = nil
	if running.demoted {
		return Event{}, s.owner.notRun(state.ReasonSuperseded, "run on primary", string(s.server.Database.ID), nil)
	}

	event := Event{
		Messages: s.buffer, Done: true, Errored: running.errored,
		TxStatus: s.txStatus, Pinned: s.pinned,
	}
	if s.conn.position == running.positionBefore {
		return event, nil
	}
	if err := s.waitAcknowledged(ctx, s.conn.position); err != nil {
		s.broken = true
		return Event{}, err
	}
	event.Position = s.conn.position
	event.Holders = s.group.replication.Holders(event.Position)
	return event, nil
}

func (s *ownerStream) waitAcknowledged(ctx context.Context, position state.Position) error {
	waitCtx, cancel := context.WithTimeout(ctx, s.owner.options.AcknowledgeTimeout)
	defer cancel()
	err := s.group.replication.WaitAcknowledged(waitCtx, position)
	if err == nil {
		return nil
	}
	return state.Unknown(state.ReasonUnacknowledged, "acknowledge write", string(s.server.Database.ID), err)
}

func (s *ownerStream) failHeldTooLarge() error {
	failure := state.Unknown(state.ReasonUnsupported, "hold answer", string(s.server.Database.ID), nil)
	failure.Message = "the results that follow the first completed statement of one request are too large"
	s.abortUnit()
	return failure
}

// fail ends the unit after its connection failed or its internal SQL was
// refused.
func (s *ownerStream) fail(err error, step string) error {
	running := s.unit
	reason := state.ReasonConnectionLost
	if running != nil {
		reason = running.silence.failureReason()
	}
	if reason == state.ReasonSilent {
		s.server.pool.markSuspect()
	}
	s.abortUnit()
	peer := string(s.server.Database.ID)
	var refused *refusedError
	if running == nil || !running.onBackend || errors.As(err, &refused) {
		return s.owner.asNotRun(err, step, peer)
	}
	return state.Unknown(reason, step, peer, err)
}

func (s *ownerStream) abortUnit() {
	s.broken = true
	if s.unit == nil {
		return
	}
	s.setRunning(false)
	s.unit.silence.stop()
	s.unit.slot.Release(false)
	s.unit = nil
}

func (s *ownerStream) setRunning(running bool) {
	s.cancelMu.Lock()
	s.running = running
	s.cancelMu.Unlock()
}
