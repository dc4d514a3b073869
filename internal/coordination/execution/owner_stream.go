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

// eventBytes is the size from which on a batch of messages goes out.
const eventBytes = 32 << 10

// ownerStream is the Stream on a backend connection of this instance.
//
// Lock order: the token of use, then cancelMu, a pool's or a gate's mutex.
type ownerStream struct {
	owner   *Owner
	group   *ownedGroup
	server  *server
	request OpenRequest
	lease   Lease
	conn    *connection

	// closing is set as soon as Close was called; nothing is sent from then on.
	closing atomic.Bool
	// use holds a token, which is taken while Send or Receive runs and while the
	// connection is given back. It guards the fields below, up to cancelMu.
	use      chan struct{}
	txStatus byte
	pinned   bool
	unit     *runningUnit
	// broken is set when the connection must not be used again.
	broken bool
	buffer []byte

	// replay is the recorded answer of a request that had run before.
	replay *Event

	// cancelMu is a leaf lock over running and cancelUsed.
	cancelMu   sync.Mutex
	running    bool
	cancelUsed bool
	// cancelling counts cancel requests on their way; a unit is sent only
	// when there are none, so that none can hit a later unit.
	cancelling sync.WaitGroup
	closeOnce  sync.Once
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
	// returnsRows is set when the answer holds rows.
	returnsRows bool
	errored     bool
	commandTag  string
}

// Send implements Stream.
func (s *ownerStream) Send(ctx context.Context, unit Unit) error {
	<-s.use
	defer func() { s.use <- struct{}{} }()
	inTransaction := s.txStatus != txIdle
	slot, err := s.server.Gate.AcquireSlot(ctx, s.request.Plan, inTransaction, s.request.QueueTimeout)
	if err != nil {
		return s.owner.asNotRun(err, "acquire slot", string(s.server.Database.ID))
	}
	if s.closing.Load() {
		slot.Release(false)
		return s.owner.notRun(state.ReasonConnectionLost, "send on closed stream", string(s.server.Database.ID), nil)
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
		silence: startSilenceWatch(s.conn.backend, s.server.Probe, s.owner.options.SilenceTimeout),
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
	request.Access, request.Floor, request.MaxAge = unit.Access, unit.Floor, unit.MaxAge
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

// Receive implements Stream.
func (s *ownerStream) Receive(ctx context.Context) (Event, error) {
	<-s.use
	defer func() { s.use <- struct{}{} }()
	if s.closing.Load() {
		s.endUnit()
		return Event{}, state.Unknown(state.ReasonConnectionLost, "receive on closed stream", string(s.server.Database.ID), nil)
	}
	s.buffer = s.buffer[:0]
	if s.replay != nil {
		event := *s.replay
		s.replay = nil
		return event, nil
	}
	for {
		s.unit.silence.await()
		message, err := s.conn.backend.Receive(ctx)
		if err != nil {
			return Event{}, s.fail(err, "receive from backend server")
		}
		s.unit.silence.progress()
		if err := s.checkFresh(); err != nil {
			return Event{}, err
		}
		done, err := s.handle(message)
		if err != nil {
			return Event{}, err
		}
		if done {
			return s.finish(ctx, message)
		}
		full := len(s.buffer) >= eventBytes
		if len(s.buffer) > 0 && (full || !s.conn.backend.Buffered()) {
			return Event{Messages: s.buffer}, nil
		}
	}
}

// checkFresh refuses a read's answer that begins when the data may be older
// than the read accepts, because this process or the path was held up after
// the check. Nothing of the answer has gone out, and a read leaves no effect.
func (s *ownerStream) checkFresh() error {
	running := s.unit
	if running.answered {
		return nil
	}
	running.answered = true
	if running.freshUntil.IsZero() || !time.Now().After(running.freshUntil) {
		return nil
	}
	s.endUnit()
	return s.owner.notRun(state.ReasonTooStale, "await answer", string(s.server.Database.ID), nil)
}

// handle takes one message into the buffer or the held messages, or swallows
// it. done is true for ReadyForQuery.
func (s *ownerStream) handle(message Message) (done bool, err error) {
	running := s.unit
	switch message.Type {
	case msgParameterStatus:
		if s.notePosition(message) {
			return false, nil
		}
	case msgParseComplete:
		if s.noteParsed(running) {
			return false, nil
		}
	case msgCloseComplete:
		if running.swallowedCloses > 0 {
			running.swallowedCloses--
			return false, nil
		}
	case msgRowDescription:
		running.returnsRows = true
	case msgErrorResponse:
		running.errored = true
	case msgCommandComplete:
		running.holding = true
		running.commandTag = parseCommandTag(message.Body())
	case msgReadyForQuery:
		return true, nil
	}
	if !running.holding {
		s.buffer = append(s.buffer, message.Raw...)
		return false, nil
	}
	running.held = append(running.held, message.Raw...)
	if len(running.held) > maxHeldBytes {
		return false, s.tooMuchHeld()
	}
	return false, nil
}

// notePosition reports whether the message tells a log position, and keeps it.
func (s *ownerStream) notePosition(message Message) bool {
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

// noteParsed reports whether the ParseComplete belongs to an injected Parse.
func (s *ownerStream) noteParsed(running *runningUnit) bool {
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

// finish ends the unit at its ReadyForQuery. A write's answer goes out only
// when a majority holds the write.
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
	if running.once {
		if err := s.endOnce(ctx); err != nil {
			return Event{}, s.fail(err, "commit request id")
		}
	}
	running.silence.stop()
	running.slot.Release(true)
	s.unit = nil

	event := Event{
		Messages: s.buffer, Done: true, Errored: running.errored,
		TxStatus: s.txStatus, Pinned: s.pinned,
	}
	if s.conn.position == running.positionBefore {
		return event, nil
	}
	if err := s.acknowledge(ctx, s.conn.position); err != nil {
		s.broken = true
		return Event{}, err
	}
	event.Position = s.conn.position
	event.Holders = s.group.replication.Holders(event.Position)
	return event, nil
}

func (s *ownerStream) acknowledge(ctx context.Context, position state.Position) error {
	waitCtx, cancel := context.WithTimeout(ctx, s.owner.options.AcknowledgeTimeout)
	defer cancel()
	err := s.group.replication.WaitAcknowledged(waitCtx, position)
	if err == nil {
		return nil
	}
	return state.Unknown(state.ReasonUnacknowledged, "acknowledge write", string(s.server.Database.ID), err)
}

func (s *ownerStream) tooMuchHeld() error {
	failure := state.Unknown(state.ReasonUnsupported, "hold answer", string(s.server.Database.ID), nil)
	failure.Message = "the results that follow the first completed statement of one request are too large"
	s.endUnit()
	return failure
}

// fail ends the unit because the connection failed in the middle of it.
func (s *ownerStream) fail(err error, step string) error {
	running := s.unit
	reason := state.ReasonConnectionLost
	if running != nil {
		reason = running.silence.reasonOf()
	}
	if reason == state.ReasonSilent {
		s.server.pool.doubt()
	}
	s.endUnit()
	peer := string(s.server.Database.ID)
	var refused *refusedError
	if running == nil || !running.onBackend || errors.As(err, &refused) {
		return s.owner.asNotRun(err, step, peer)
	}
	return state.Unknown(reason, step, peer, err)
}

func (s *ownerStream) endUnit() {
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

// Cancel implements Stream. The connection is not given to another stream
// after a cancel request was sent for it.
func (s *ownerStream) Cancel(ctx context.Context) error {
	s.cancelMu.Lock()
	if !s.running {
		s.cancelMu.Unlock()
		return nil
	}
	s.cancelUsed = true
	s.cancelling.Add(1)
	s.cancelMu.Unlock()
	defer s.cancelling.Done()
	return s.conn.backend.Cancel(ctx)
}

// Close implements Stream. A Send or Receive that runs is ended by the end of
// the backend connection, which is then given to nobody else.
func (s *ownerStream) Close() {
	s.closeOnce.Do(s.close)
}

func (s *ownerStream) close() {
	s.closing.Store(true)
	select {
	case <-s.use:
	default:
		s.conn.backend.Close()
		<-s.use
		s.broken = true
	}
	defer func() { s.use <- struct{}{} }()
	if s.unit != nil {
		s.endUnit()
	}
	s.cancelMu.Lock()
	cancelUsed := s.cancelUsed
	s.cancelMu.Unlock()
	if s.broken || cancelUsed || s.pinned || s.txStatus != txIdle {
		s.server.pool.discard(s.conn)
	} else {
		s.server.pool.put(s.conn)
	}
	s.lease.Release()
}
