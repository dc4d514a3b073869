package peerlink

import (
	"slices"
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
)

// outgoing is a frame that waits for the link's writer.
type outgoing struct {
	stream  uint64
	encoded []byte
	// taken is closed when the writer takes the frame; nil where nobody waits.
	taken chan struct{}
	// paced frames are sent one at a time a stream, and do not count towards
	// what a peer may leave unread.
	paced bool
	// started is set, under the outbox's mutex, when the writer takes it.
	started bool
}

// newOutgoing encodes a frame; body is nil where the kind has none. The error
// is a *peerproto.FrameSizeError where the body is above limit bytes.
func newOutgoing(kind peerproto.Kind, stream uint64, body any, limit int) (*outgoing, error) {
	var encoded []byte
	if body != nil {
		var err error
		encoded, err = peerproto.Marshal(body)
		if err != nil {
			return nil, err
		}
	}
	if len(encoded) > limit {
		return nil, &peerproto.FrameSizeError{Size: len(encoded), Limit: limit}
	}
	frame := peerproto.Frame{Kind: kind, Stream: stream, Body: encoded}
	size := peerproto.FrameOverhead + len(encoded)
	return &outgoing{stream: stream, encoded: peerproto.AppendFrame(make([]byte, 0, size), frame)}, nil
}

// bodySize is the size of the frame's body in bytes.
func (f *outgoing) bodySize() int {
	return len(f.encoded) - peerproto.FrameOverhead
}

// turn is the queue of one stream.
type turn struct {
	stream uint64
	frames []*outgoing
	listed bool // in the outbox's list of turns
}

// outbox holds the frames of one link that wait to be written. Frames of one
// stream keep their order, and streams take turns frame by frame. Frames of
// stream zero, which concern the link itself, go first.
type outbox struct {
	mu      sync.Mutex
	link    []*outgoing // frames of stream zero
	queues  map[uint64]*turn
	turns   []*turn // next turn first
	bytes   int     // of the frames that wait
	unpaced int     // of those, bytes of frames that are not paced
	frames  int
	closed  bool
	writing bool          // the writer took a frame and has not flushed since
	wake    chan struct{} // holds one token while frames wait or after close
}

func newOutbox() *outbox {
	return &outbox{queues: make(map[uint64]*turn), wake: make(chan struct{}, 1)}
}

// put queues a frame. It reports false, with the frame not queued, when the
// outbox is closed or holds too much.
func (o *outbox) put(frame *outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || (!frame.paced && o.unpaced > maxQueuedBytes) {
		return false
	}
	if frame.stream == 0 {
		o.link = append(o.link, frame)
	} else {
		o.queue(frame)
	}
	o.count(frame, 1)
	o.signal()
	return true
}

// queue appends to the frame's stream. Called with mu held.
func (o *outbox) queue(frame *outgoing) {
	queue, found := o.queues[frame.stream]
	if !found {
		queue = &turn{stream: frame.stream}
		o.queues[frame.stream] = queue
	}
	queue.frames = append(queue.frames, frame)
	if !queue.listed {
		queue.listed = true
		o.turns = append(o.turns, queue)
	}
}

// withdraw takes a stream's frame back. It reports false when the writer has
// it already; otherwise the frame will never be written.
func (o *outbox) withdraw(frame *outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if frame.started {
		return false
	}
	queue, found := o.queues[frame.stream]
	if !found {
		return true
	}
	at := slices.Index(queue.frames, frame)
	if at >= 0 {
		queue.frames = slices.Delete(queue.frames, at, at+1)
		o.count(frame, -1)
	}
	return true
}

// take returns the next frame to write, or nil where none waits.
func (o *outbox) take() *outgoing {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil
	}
	if len(o.link) > 0 {
		frame := o.link[0]
		o.link = o.link[1:]
		return o.start(frame)
	}
	for len(o.turns) > 0 {
		queue := o.turns[0]
		o.turns = o.turns[1:]
		if len(queue.frames) == 0 {
			delete(o.queues, queue.stream)
			continue
		}
		frame := queue.frames[0]
		queue.frames = queue.frames[1:]
		if len(queue.frames) > 0 {
			o.turns = append(o.turns, queue)
		} else {
			delete(o.queues, queue.stream)
		}
		return o.start(frame)
	}
	return nil
}

// start hands a frame to the writer. Called with mu held.
func (o *outbox) start(frame *outgoing) *outgoing {
	o.count(frame, -1)
	o.writing = true
	frame.started = true
	if frame.taken != nil {
		close(frame.taken)
	}
	return frame
}

// flushed notes that all frames taken so far are with the connection.
func (o *outbox) flushed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
}

// empty reports whether nothing waits to be written.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frames == 0 && !o.writing
}

// close drops the frames that wait. None of them will be written.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	clear(o.queues)
	o.link, o.turns = nil, nil
	o.bytes, o.unpaced, o.frames = 0, 0, 0
	o.signal()
}

// count adds or removes a frame from the totals. Called with mu held.
func (o *outbox) count(frame *outgoing, sign int) {
	o.frames += sign
	o.bytes += sign * len(frame.encoded)
	if !frame.paced {
		o.unpaced += sign * len(frame.encoded)
	}
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) depth() (frames, bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frames, o.bytes
}
