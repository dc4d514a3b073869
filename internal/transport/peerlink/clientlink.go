package peerlink

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errDraining is the cause of a failure when the peer accepts no new streams.
var errDraining = errors.New("peer is leaving")

// pendingCall is a call that has no response yet.
type pendingCall struct {
	frame  *outgoing
	result chan callResult // buffered, capacity 1
}

type callResult struct {
	body    []byte
	failure *state.Failure
}

// clientLink is the dialling side of a link.
type clientLink struct {
	*link
	client *Client

	// startMu is held from the allocation of an id until its first frame is
	// queued, because the peer ends a link whose ids do not increase. It is
	// locked before mu.
	startMu sync.Mutex

	mu       sync.Mutex
	streams  map[uint64]*clientStream
	calls    map[uint64]*pendingCall
	lastID   uint64 // ids of streams and calls increase and are never reused
	draining bool
	endCause error
}

func newClientLink(client *Client, l *link) *clientLink {
	c := &clientLink{
		link: l, client: client,
		streams: make(map[uint64]*clientStream), calls: make(map[uint64]*pendingCall),
		draining: l.handshake.PeerLeaving,
	}
	l.prober.onIdle = c.closeIfUnused
	l.prober.check = func() { client.checkPeer(c) }
	return c
}

// open requests a stream from the peer and waits until the peer has opened it.
// The outcome of every error is OutcomeNotRun, because no unit is sent before
// that.
func (c *clientLink) open(ctx context.Context, request execution.OpenRequest) (*clientStream, *state.Failure) {
	stream, failure := c.startStream(request)
	if failure != nil {
		return nil, failure
	}
	for {
		opened, failure := stream.status()
		if failure != nil {
			return nil, asNotRun(failure)
		}
		if opened {
			return stream, nil
		}
		select {
		case <-stream.changed:
		case <-ctx.Done():
			return nil, asNotRun(stream.abandon(stepOpen, ctx.Err()))
		}
	}
}

// startStream adds a stream and queues its first frame.
func (c *clientLink) startStream(request execution.OpenRequest) (*clientStream, *state.Failure) {
	c.startMu.Lock()
	defer c.startMu.Unlock()
	stream, failure := c.addStream()
	if failure != nil {
		return nil, failure
	}
	frame, err := newOutgoing(peerproto.KindOpen, stream.id, &peerproto.Open{Request: request}, c.config.MaxFrame)
	if err != nil {
		stream.Close()
		return nil, state.NotRun(state.ReasonUnsupported, stepOpen, c.name(), 0, err)
	}
	c.post(frame) // on failure the link ends, and with it the stream
	return stream, nil
}

// asNotRun returns a copy of a failure to open a stream with OutcomeNotRun: the
// peer may have reported another outcome, but no unit was sent.
func asNotRun(failure *state.Failure) *state.Failure {
	notRun := *failure
	notRun.Outcome = state.OutcomeNotRun
	return &notRun
}

func (c *clientLink) addStream() (*clientStream, *state.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endCause != nil {
		return nil, state.NotRun(lostReason(c.endCause), stepOpen, c.name(), retryAfterLost, c.endCause)
	}
	if c.draining {
		return nil, state.NotRun(state.ReasonLeaving, stepOpen, c.name(), 0, errDraining)
	}
	c.lastID++
	stream := &clientStream{link: c, id: c.lastID, changed: make(chan struct{}, 1), awaiting: true}
	c.streams[stream.id] = stream
	c.prober.add(1, 1)
	return stream, nil
}

// remove deletes a stream or call. Frames that arrive for it later are dropped.
func (c *clientLink) remove(id uint64) {
	c.mu.Lock()
	delete(c.streams, id)
	delete(c.calls, id)
	done := c.draining && len(c.streams) == 0 && len(c.calls) == 0
	c.mu.Unlock()
	if done {
		c.finishDraining()
	}
}

// finishDraining closes the link, if it is still unused, after a delay in which
// the last Close frame is written.
func (c *clientLink) finishDraining() {
	time.AfterFunc(drainDelay, func() {
		if c.unused() {
			c.fail(errClosed)
		}
	})
}

// drainDelay leaves the writer time for the last frames of a draining link.
const drainDelay = 50 * time.Millisecond

func (c *clientLink) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) == 0 && len(c.calls) == 0
}

// closeIfUnused closes the link if it has no streams or calls. The link is
// marked as ended under mu first, so that no stream can be added meanwhile.
func (c *clientLink) closeIfUnused() {
	c.mu.Lock()
	if len(c.streams) > 0 || len(c.calls) > 0 || c.endCause != nil {
		c.mu.Unlock()
		return
	}
	c.endCause = errIdle
	c.mu.Unlock()
	c.fail(errIdle)
}

func (c *clientLink) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endCause == nil
}

// receive implements receiver.
func (c *clientLink) receive(frame peerproto.Frame) error {
	switch frame.Kind {
	case peerproto.KindOpened:
		if stream := c.stream(frame.Stream); stream != nil {
			return stream.receiveOpened()
		}
		return nil
	case peerproto.KindEvent:
		return c.receiveEvent(frame)
	case peerproto.KindFailure:
		return c.receiveFailure(frame)
	case peerproto.KindReply:
		return c.receiveReply(frame)
	case peerproto.KindGoAway:
		c.receiveGoAway()
		return nil
	default:
		return errProtocol
	}
}

func (c *clientLink) stream(id uint64) *clientStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[id]
}

func (c *clientLink) receiveEvent(frame peerproto.Frame) error {
	stream := c.stream(frame.Stream)
	if stream == nil {
		return nil
	}
	var event peerproto.Event
	if err := peerproto.Unmarshal(frame.Body, &event); err != nil {
		return err
	}
	return stream.deliver(event, len(frame.Body))
}

func (c *clientLink) receiveFailure(frame peerproto.Frame) error {
	failure, err := peerproto.UnmarshalFailure(frame.Body)
	if err != nil {
		return err
	}
	if stream := c.stream(frame.Stream); stream != nil {
		stream.receiveFailure(failure)
		c.remove(frame.Stream)
		return nil
	}
	c.finishCall(frame.Stream, callResult{failure: failure})
	return nil
}

func (c *clientLink) receiveReply(frame peerproto.Frame) error {
	var reply peerproto.Reply
	if err := peerproto.Unmarshal(frame.Body, &reply); err != nil {
		return err
	}
	c.finishCall(frame.Stream, callResult{body: reply.Body})
	return nil
}

func (c *clientLink) finishCall(id uint64, result callResult) {
	c.mu.Lock()
	call, found := c.calls[id]
	c.mu.Unlock()
	if !found {
		return
	}
	c.prober.add(-1, 0)
	c.remove(id)
	call.result <- result
}

func (c *clientLink) receiveGoAway() {
	c.mu.Lock()
	c.draining = true
	empty := len(c.streams) == 0 && len(c.calls) == 0
	c.mu.Unlock()
	c.client.markLeaving(c)
	if empty {
		c.finishDraining()
	}
}

// linkDown implements receiver.
func (c *clientLink) linkDown(cause error) {
	c.mu.Lock()
	if c.endCause == nil {
		c.endCause = cause
	}
	streams, calls := c.streams, c.calls
	c.streams, c.calls = map[uint64]*clientStream{}, map[uint64]*pendingCall{}
	c.mu.Unlock()
	for _, stream := range streams {
		stream.linkEnded(cause)
	}
	for _, call := range calls {
		call.result <- callResult{failure: c.callFailure(call, lostReason(cause), cause)}
	}
	c.client.removeLink(c, cause, len(streams)+len(calls) > 0)
}

// callFailure returns the failure of a call that got no response: not run if
// its frame could be withdrawn, else unknown.
func (c *clientLink) callFailure(call *pendingCall, reason state.Reason, cause error) *state.Failure {
	if c.outbox.withdraw(call.frame) {
		return state.NotRun(reason, stepCall, c.name(), retryAfterLost, cause)
	}
	return state.Unknown(reason, stepCall, c.name(), cause)
}

// call sends one request and waits for its response.
func (c *clientLink) call(ctx context.Context, method string, body []byte) ([]byte, *state.Failure) {
	request := &peerproto.Call{Method: method, Body: body}
	if deadline, found := ctx.Deadline(); found {
		request.Timeout = max(time.Until(deadline), time.Nanosecond)
	}
	id, call, failure := c.startCall(request)
	if failure != nil {
		return nil, failure
	}
	select {
	case result := <-call.result:
		return result.body, result.failure
	case <-ctx.Done():
		return c.abandonCall(id, call, ctx.Err())
	}
}

// startCall adds a call and queues its frame.
func (c *clientLink) startCall(request *peerproto.Call) (uint64, *pendingCall, *state.Failure) {
	c.startMu.Lock()
	defer c.startMu.Unlock()
	id, call, failure := c.addCall(request)
	if failure == nil {
		c.post(call.frame) // on failure the link ends, and linkDown completes the call
	}
	return id, call, failure
}

func (c *clientLink) abandonCall(id uint64, call *pendingCall, cause error) ([]byte, *state.Failure) {
	c.mu.Lock()
	_, waiting := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if !waiting { // the result is in the channel or about to be sent to it
		result := <-call.result
		return result.body, result.failure
	}
	c.prober.add(-1, 0)
	c.remove(id)
	return nil, c.callFailure(call, state.ReasonSilent, cause)
}

func (c *clientLink) addCall(request *peerproto.Call) (uint64, *pendingCall, *state.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endCause != nil {
		return 0, nil, state.NotRun(lostReason(c.endCause), stepCall, c.name(), retryAfterLost, c.endCause)
	}
	id := c.lastID + 1
	frame, err := newOutgoing(peerproto.KindCall, id, request, c.config.MaxFrame)
	if err != nil {
		return 0, nil, state.NotRun(state.ReasonUnsupported, stepCall, c.name(), 0, err)
	}
	c.lastID = id
	call := &pendingCall{frame: frame, result: make(chan callResult, 1)}
	c.calls[id] = call
	c.prober.add(1, 0)
	return id, call, nil
}
