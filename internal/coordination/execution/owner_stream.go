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

// maxHeldBytes bounds the messages of one unit that are held back until its
// write is acknowledged.
const maxHeldBytes = 1 << 20

const (
	// eventBytes is the size from which on a batch of messages goes out.
	eventBytes = 32 << 10
	// maxEventBytes bounds one event; a larger message goes out in parts.
	maxEventBytes = 1 << 20
)

// errStreamClosed is the cause of a failure to use a stream after Close.
var errStreamClosed = errors.New("stream is closed")

// ownerStream is the Stream on a backend connection of this instance.
//
// Lock order: the token of using, then cancelMu, a pool's or a gate's mutex.
type ownerStream struct {
	// using holds a token while nobody sends, receives or closes. It guards
	// all fields but those of cancelMu, and is taken before cancelMu.
	using chan struct{}
	// closed is set as soon as Close was called; nothing is sent from then on.
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
	// rest is the part of buffer that is yet to go out.
	rest []byte

	// replay is the recorded answer of a request that had run before.
	replay *Event

	// cancelMu is a leaf lock over running and cancelUsed.
	cancelMu   sync.Mutex
	running    bool
	cancelUsed bool
	// cancelling counts cancel requests on their way; a unit is sent only
	// when there are none, so that none can hit a later unit.
	cancelling sync.WaitGroup
}

// runningUnit is the unit that was sent and whose answer is being received.
type runningUnit struct {
	unit    Unit
	slot    Slot
	silence *silenceWatch
	// awaitedParses are the statements whose ParseComplete is yet to come, in
	// order. The first injectedParses of them are not the caller's.
	awaitedParses   []string
	injectedParses  int
	swallowedCloses int
	held            []byte
	holding         bool
	positionBefore  state.Position
	// onBackend is set once bytes of the unit may have reached the backend.
	onBackend bool
	// freshUntil, when not zero, is when the data would be older than the unit
	// accepts. The first message of the answer must arrive by then.
	freshUntil time.Time
	answered   bool
	// once is set when the unit runs inside a transaction of the proxy's own
	// that records its request id.
	once bool
	// statusBefore is the transaction status when the unit was sent.
	statusBefore byte
	// delivered is set once a part of the answer has gone out.
	delivered bool
	// demoted is set when the database refused the unit as not the primary.
	demoted bool
	// returnsRows is set when the answer holds rows.
	returnsRows bool
	errored     bool
	commandTag  string
}

// enter takes the stream for one call. It returns false after Close.
func (s *ownerStream) enter() bool {
	<-s.using
	if s.closed.Load() {
		s.leave()
		return false
	}
	return true
}

func (s *ownerStream) leave() {
	s.using <- struct{}{}
}

// Send implements Stream.
func (s *ownerStream) Send(ctx context.Context, unit Unit) error {
	if !s.enter() {
		return s.notSent()
	}
	defer s.leave()
	return s.send(ctx, unit)
}

// notSent is the failure of a unit on a stream that was closed before it.
func (s *ownerStream) notSent() error {
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
		return s.notSent()
	}
	freshUntil, err := s.recheck(ctx, unit, inTransaction)
	if err != nil {
		slot.Release(false)
		return err
	}
	if err := s.applySettings(ctx, unit, inTransaction); err != nil {
		slot.Release(false)
		return s.settingsFailed(err)
	}
	s.unit = &runningUnit{
		unit: unit, slot: slot, positionBefore: s.conn.position, freshUntil: freshUntil,
		statusBefore: s.txStatus,
		silence:      startSilenceWatch(s.conn.backend, s.server.Probe, s.server.Terminate, s.owner.options.SilenceTimeout),
	}
	if unit.RequestID != "" {
		proceed, err := s.beginOnce(ctx, inTransaction)
		if err != nil || !proceed {
			return err
		}
	}
	s.cancelling.Wait()
	s.setRunning(true)
	return s.write(ctx, unit)
}

// settingsFailed ends a unit before which the session's parameters could not
// be set. Nothing of the unit was sent.
func (s *ownerStream) settingsFailed(err error) error {
	s.broken = true
	failure := s.owner.notRun(state.ReasonConnectionLost, "apply settings", string(s.server.Database.ID), err)
	var refused *refusedError
	if errors.As(err, &refused) {
		failure.Reason = state.ReasonUnsupported
		failure.Message = "the backend server refused the session's parameters: " + refused.text
	}
	return failure
}

// recheck repeats what Open checked, for this unit: time has passed in the
// queue, and a stream that is kept may serve units of other needs.
func (s *ownerStream) recheck(ctx context.Context, unit Unit, inTransaction bool) (freshUntil time.Time, err error) {
	if inTransaction {
		return time.Time{}, nil
	}
	request := s.request
	request.Access, request.MinPosition, request.MaxAge = unit.Access, unit.MinPosition, unit.MaxAge
	return s.owner.mayServe(ctx, s.group, request)
}

// write sends the unit with what must go before it, in one write.
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
		running.swallowedCloses++
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
