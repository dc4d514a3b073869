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

// errDraining says that the peer accepts no new streams.
var errDraining = errors.New("peer is leaving")

// pendingCall is a call that awaits its answer.
type pendingCall struct {
	frame  *outgoing
	answer chan callAnswer // holds one
}

type callAnswer struct {
	body    []byte
	failure *state.Failure
}

// clientLink is the dialling side of a link.
type clientLink struct {
	*link
	client *Client

	// posting is held from taking an id until the frame with it is in the
	// outbox, since the peer wants ids in order. It is taken before mu.
	posting sync.Mutex

	mu       sync.Mutex
	streams  map[uint64]*clientStream
	calls    map[uint64]*pendingCall
	lastID   uint64 // ids of streams and calls go up and are never reused
	draining bool
	ended    error
}

func newClientLink(client *Client, l *link) *clientLink {
	c := &clientLink{
		link: l, client: client,
		streams: make(map[uint64]*clientStream), calls: make(map[uint64]*pendingCall),
		draining: l.agreement.PeerLeaving,
	}
	l.probe.onIdle = c.closeIfUnused
	return c
}

// open asks the peer for a stream and waits for its answer. Every error is not
// run, because no unit is sent before the stream is held.
func (c *clientLink) open(ctx context.Context, request execution.OpenRequest) (*clientStream, *state.Failure) {
	stream, failure := c.postOpen(request)
	if failure != nil {
		return nil, failure
	}
	for {
		opened, failure := stream.status()
		if failure != nil {
			return nil, notRunOpen(failure)
		}
		if opened {
			return stream, nil
		}
		select {
		case <-stream.changed:
		case <-ctx.Done():
			return nil, notRunOpen(stream.abandon(stepOpen, ctx.Err()))
		}
	}
}

// postOpen adds a stream and asks the peer for it.
func (c *clientLink) postOpen(request execution.OpenRequest) (*clientStream, *state.Failure) {
	c.posting.Lock()
	defer c.posting.Unlock()
	stream, failure := c.addStream()
	if failure != nil {
		return nil, failure
	}
	frame, err := newOutgoing(peerproto.KindOpen, stream.id, &peerproto.Open{Request: request}, c.config.MaxFrame)
	if err != nil {
		stream.Close()
		return nil, state.NotRun(state.ReasonUnsupported, stepOpen, c.name(), 0, err)
	}
	c.post(frame) // where it fails, the end of the link ends the stream
	return stream, nil
}

// notRunOpen holds a peer's answer to an Open to what is proved of it.
func notRunOpen(failure *state.Failure) *state.Failure {
	proved := *failure
	proved.Outcome = state.OutcomeNotRun
	return &proved
}

func (c *clientLink) addStream() (*clientStream, *state.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		return nil, state.NotRun(lostReason(c.ended), stepOpen, c.name(), retryAfterLost, c.ended)
	}
	if c.draining {
		return nil, state.NotRun(state.ReasonLeaving, stepOpen, c.name(), 0, errDraining)
	}
	c.lastID++
	stream := &clientStream{link: c, id: c.lastID, changed: make(chan struct{}, 1), flight: true}
	c.streams[stream.id] = stream
	c.probe.add(1, 1)
	return stream, nil
}

// forget drops a stream or call; frames for it that still arrive are dropped.
func (c *clientLink) forget(id uint64) {
	c.mu.Lock()
	delete(c.streams, id)
	delete(c.calls, id)
	done := c.draining && len(c.streams) == 0 && len(c.calls) == 0
	c.mu.Unlock()
	if done {
		c.finishDraining()
	}
}

// finishDraining closes the link once the last Close frame is written.
func (c *clientLink) finishDraining() {
	time.AfterFunc(drainPause, func() {
		if c.unused() {
			c.fail(errClosed)
		}
	})
}

// drainPause gives the writer time for the last frames of a draining link.
const drainPause = 50 * time.Millisecond

func (c *clientLink) unused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams) == 0 && len(c.calls) == 0
}

// closeIfUnused closes an idle link. No stream can slip onto it: the link is
// marked ended first.
func (c *clientLink) closeIfUnused() {
	c.mu.Lock()
	if len(c.streams) > 0 || len(c.calls) > 0 || c.ended != nil {
		c.mu.Unlock()
		return
	}
	c.ended = errIdle
	c.mu.Unlock()
	c.fail(errIdle)
}

func (c *clientLink) alive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended == nil
}

// receive implements receiver.
func (c *clientLink) receive(frame peerproto.Frame) error {
	switch frame.Kind {
	case peerproto.KindOpened:
		if stream := c.stream(frame.Stream); stream != nil {
			return stream.accepted()
		}
		return nil
	case peerproto.KindEvent:
		return c.receiveEvent(frame)
	case peerproto.KindFailure:
		return c.receiveFailure(frame)
	case peerproto.KindReply:
		return c.receiveReply(frame)
	case peerproto.KindGoAway:
		c.goAway()
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
		stream.refused(failure)
		c.forget(frame.Stream)
		return nil
	}
	c.answer(frame.Stream, callAnswer{failure: failure})
	return nil
}

func (c *clientLink) receiveReply(frame peerproto.Frame) error {
	var reply peerproto.Reply
	if err := peerproto.Unmarshal(frame.Body, &reply); err != nil {
		return err
	}
	c.answer(frame.Stream, callAnswer{body: reply.Body})
	return nil
}

func (c *clientLink) answer(id uint64, answer callAnswer) {
	c.mu.Lock()
	call, found := c.calls[id]
	c.mu.Unlock()
	if !found {
		return
	}
	c.probe.add(-1, 0)
	c.forget(id)
	call.answer <- answer
}

func (c *clientLink) goAway() {
	c.mu.Lock()
	c.draining = true
	empty := len(c.streams) == 0 && len(c.calls) == 0
	c.mu.Unlock()
	c.client.leaving(c)
	if empty {
		c.finishDraining()
	}
}

// linkDown implements receiver.
func (c *clientLink) linkDown(cause error) {
	c.mu.Lock()
	if c.ended == nil {
		c.ended = cause
	}
	streams, calls := c.streams, c.calls
	c.streams, c.calls = map[uint64]*clientStream{}, map[uint64]*pendingCall{}
	c.mu.Unlock()
	for _, stream := range streams {
		stream.down(cause)
	}
	for _, call := range calls {
		call.answer <- callAnswer{failure: c.callFailure(call, lostReason(cause), cause)}
	}
	c.client.linkDown(c, cause, len(streams)+len(calls) > 0)
}

// callFailure says what became of a call without an answer.
func (c *clientLink) callFailure(call *pendingCall, reason state.Reason, cause error) *state.Failure {
	if c.outbox.withdraw(call.frame) {
		return state.NotRun(reason, stepCall, c.name(), retryAfterLost, cause)
	}
	return state.Unknown(reason, stepCall, c.name(), cause)
}

// call sends one request and waits for its answer.
func (c *clientLink) call(ctx context.Context, method string, body []byte) ([]byte, *state.Failure) {
	request := &peerproto.Call{Method: method, Body: body}
	if deadline, found := ctx.Deadline(); found {
		request.Timeout = max(time.Until(deadline), time.Nanosecond)
	}
	id, call, failure := c.postCall(request)
	if failure != nil {
		return nil, failure
	}
	select {
	case answer := <-call.answer:
		return answer.body, answer.failure
	case <-ctx.Done():
		return c.abandonCall(id, call, ctx.Err())
	}
}

func (c *clientLink) abandonCall(id uint64, call *pendingCall, cause error) ([]byte, *state.Failure) {
	c.mu.Lock()
	_, waiting := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if !waiting { // the answer is there, or about to be
		answer := <-call.answer
		return answer.body, answer.failure
	}
	c.probe.add(-1, 0)
	c.forget(id)
	return nil, c.callFailure(call, state.ReasonSilent, cause)
}

// postCall adds a call and sends it.
func (c *clientLink) postCall(request *peerproto.Call) (uint64, *pendingCall, *state.Failure) {
	c.posting.Lock()
	defer c.posting.Unlock()
	id, call, failure := c.addCall(request)
	if failure == nil {
		c.post(call.frame) // where it fails, the end of the link answers the call
	}
	return id, call, failure
}

func (c *clientLink) addCall(request *peerproto.Call) (uint64, *pendingCall, *state.Failure) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		return 0, nil, state.NotRun(lostReason(c.ended), stepCall, c.name(), retryAfterLost, c.ended)
	}
	id := c.lastID + 1
	frame, err := newOutgoing(peerproto.KindCall, id, request, c.config.MaxFrame)
	if err != nil {
		return 0, nil, state.NotRun(state.ReasonUnsupported, stepCall, c.name(), 0, err)
	}
	c.lastID = id
	call := &pendingCall{frame: frame, answer: make(chan callAnswer, 1)}
	c.calls[id] = call
	c.probe.add(1, 0)
	return id, call, nil
}
