package execution

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Transaction status bytes of ReadyForQuery.
const (
	txIdle   = 'I'
	txActive = 'T'
	txFailed = 'E'
)

// maxHeldBytes bounds the messages of one unit that are withheld until its
// write is acknowledged.
const maxHeldBytes = 1 << 20

const (
	// eventBytes is the size at which buffered messages are sent as an event.
	eventBytes = 32 << 10
	// maxEventBytes bounds one event; a larger message is split over several.
	maxEventBytes = 1 << 20
)

// errStreamClosed is the cause of the failure when a stream is used after Close.
var errStreamClosed = errors.New("stream is closed")

// ownerStream is the Stream on a backend connection of this instance.
//
// Lock order: the token of idle, then cancelMu or the mutex of a pool or gate.
type ownerStream struct {
	// idle holds a token while no Send, Receive or Close is in progress. The
	// token guards all fields except those of cancelMu, and is taken before
	// cancelMu.
	idle chan struct{}
	// closed is set at the start of Close; no unit is sent from then on.
	closed atomic.Bool

	owner   *Owner
	group   *ownedGroup
	server  *server
	request OpenRequest
	lease   Lease
	conn    *connection

	txStatus byte
	pinned   bool
	unit     *runningUnit
	// broken is set when the connection must not be used again.
	broken bool
	buffer []byte
	// unsent is the part of buffer that has not been returned yet.
	unsent []byte

	// replay is the recorded reply to a request that had run before.
	replay *Event

	// cancelMu is a leaf lock over running and cancelUsed.
	cancelMu   sync.Mutex
	running    bool
	cancelUsed bool
	// cancelling counts cancel requests in progress. A unit is sent only when
	// there are none, so that none can cancel a later unit.
	cancelling sync.WaitGroup
}

// runningUnit is the unit that was sent and whose reply is being received.
type runningUnit struct {
	unit    Unit
	slot    Slot
	silence *silenceWatch
	// awaitedParses lists the statements whose ParseComplete has not arrived
	// yet, in order. The first injectedParses of them are not the caller's.
	awaitedParses  []string
	injectedParses int
	droppedCloses  int
	held           []byte
	holding        bool
	positionBefore state.Position
	// onBackend is set once bytes of the unit may have reached the backend.
	onBackend bool
	// freshUntil, when not zero, is the time from which the data may be older
	// than the unit accepts. The first message of the reply must arrive by then.
	freshUntil   time.Time
	replyStarted bool
	// ownTransaction is set when the unit runs inside a transaction that the
	// proxy began to record its request id.
	ownTransaction bool
	// statusBefore is the transaction status when the unit was sent.
	statusBefore byte
	// delivered is set once a part of the reply has been returned.
	delivered bool
	// demoted is set when the database refused the unit because it is no longer
	// the primary.
	demoted bool
	// returnsRows is set when the reply holds rows.
	returnsRows bool
	errored     bool
	commandTag  string
}

// acquire takes the token of idle for one call. It returns false after Close.
func (s *ownerStream) acquire() bool {
	<-s.idle
	if s.closed.Load() {
		s.release()
		return false
	}
	return true
}

func (s *ownerStream) release() {
	s.idle <- struct{}{}
}

// Send implements Stream.
func (s *ownerStream) Send(ctx context.Context, unit Unit) error {
	if !s.acquire() {
		return s.notSentFailure()
	}
	defer s.release()
	return s.send(ctx, unit)
}

// notSentFailure is the failure of a unit whose stream was closed before the
// unit was sent.
func (s *ownerStream) notSentFailure() error {
	return s.owner.notRun(state.ReasonConnectionLost, "send to backend server", string(s.server.Database.ID), errStreamClosed)
}

func (s *ownerStream) send(ctx context.Context, unit Unit) error {
	inTransaction := s.txStatus != txIdle
	slot, err := s.server.Gate.AcquireSlot(ctx, s.request.Plan, inTransaction, s.request.QueueTimeout)
	if err != nil {
		return s.owner.asNotRun(err, "acquire slot", string(s.server.Database.ID))
	}
	if s.closed.Load() {
		slot.Release(false)
		return s.notSentFailure()
	}
	freshUntil, err := s.recheck(ctx, unit, inTransaction)
	if err != nil {
		slot.Release(false)
		return err
	}
	if err := s.applySettings(ctx, unit, inTransaction); err != nil {
		slot.Release(false)
		return s.settingsFailure(err)
	}
	s.unit = &runningUnit{
		unit: unit, slot: slot, positionBefore: s.conn.position, freshUntil: freshUntil,
		statusBefore: s.txStatus,
		silence:      startSilenceWatch(s.conn.backend, s.server.Probe, s.server.Terminate, s.owner.options.SilenceTimeout),
	}
	if unit.RequestID != "" {
		proceed, err := s.recordRequestID(ctx, inTransaction)
		if err != nil || !proceed {
			return err
		}
	}
	s.cancelling.Wait()
	s.setRunning(true)
	return s.write(ctx, unit)
}

// settingsFailure returns the failure of a unit before which the session's
// parameters could not be set, and marks the connection as not reusable.
// Nothing of the unit was sent.
func (s *ownerStream) settingsFailure(err error) error {
	s.broken = true
	failure := s.owner.notRun(state.ReasonConnectionLost, "apply settings", string(s.server.Database.ID), err)
	var refused *refusedError
	if errors.As(err, &refused) {
		failure.Reason = state.ReasonUnsupported
		failure.Message = "the backend server refused the session's parameters: " + refused.text
	}
	return failure
}

// recheck repeats the checks of Open for this unit: time has passed in the
// queue, and a later unit of the stream may need another access, position or
// age.
func (s *ownerStream) recheck(ctx context.Context, unit Unit, inTransaction bool) (freshUntil time.Time, err error) {
	if inTransaction {
		return time.Time{}, nil
	}
	request := s.request
	request.Access, request.MinPosition, request.MaxAge = unit.Access, unit.MinPosition, unit.MaxAge
	return s.owner.checkServable(ctx, s.group, request)
}

// write sends the unit and the messages that must precede it, in one write.
func (s *ownerStream) write(ctx context.Context, unit Unit) error {
	running := s.unit
	prefix := s.preparePrefix(running, unit)
	running.awaitedParses = append(running.awaitedParses, unit.Parses...)
	messages := unit.Messages
	if len(prefix) > 0 {
		messages = append(prefix, unit.Messages...)
	}
	running.onBackend = true
	if err := s.conn.backend.Write(ctx, messages); err != nil {
		return s.fail(err, "send to backend server")
	}
	return nil
}

// preparePrefix returns the messages that close replaced statements and
// prepare missing ones.
func (s *ownerStream) preparePrefix(running *runningUnit, unit Unit) []byte {
	var prefix []byte
	closeStatement := func(name string) {
		prefix = appendCloseStatement(prefix, name)
		running.droppedCloses++
	}
	for _, name := range unit.Parses {
		if s.conn.prepared.has(name) {
			s.conn.prepared.remove(name)
			closeStatement(name)
		}
	}
	for _, name := range s.conn.prepared.excess() {
		closeStatement(name)
	}
	for _, statement := range unit.Prepare {
		if s.conn.prepared.has(statement.Name) {
			continue
		}
		prefix = append(prefix, statement.Message...)
		running.awaitedParses = append(running.awaitedParses, statement.Name)
		running.injectedParses++
	}
	return prefix
}
