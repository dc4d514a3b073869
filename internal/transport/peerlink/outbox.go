package peerlink

import (
	"slices"
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
)

// outgoing is an encoded frame to be written by the link's writer.
type outgoing struct {
	stream  uint64
	encoded []byte
	// taken is closed when the writer takes the frame; nil if no goroutine
	// waits for that.
	taken chan struct{}
	// paced is set if the sender queues at most one such frame per stream at a
	// time. Paced frames do not count towards maxQueuedBytes.
	paced bool
	// withWriter is set, under the outbox's mutex, when the writer takes the
	// frame.
	withWriter bool
}

// newOutgoing encodes a frame; body is nil for kinds without a body. The error
// is a *peerproto.FrameSizeError if the body is larger than limit bytes.
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

// bodySize returns the size of the frame's body in bytes.
func (f *outgoing) bodySize() int {
	return len(f.encoded) - peerproto.FrameOverhead
}

// streamQueue holds the queued frames of one stream.
type streamQueue struct {
	stream uint64
	frames []*outgoing
	listed bool // whether the queue is in outbox.roundRobin
}

// outbox holds the frames of one link that wait to be written. Frames of one
// stream keep their order, and streams are served round robin, one frame each.
// Frames of stream zero, which concern the link itself, are written first.
type outbox struct {
	mu         sync.Mutex
	linkFrames []*outgoing // frames of stream zero
	queues     map[uint64]*streamQueue
	roundRobin []*streamQueue // queues to serve, next one first
	bytes      int            // size of all queued frames
	unpaced    int            // size of the queued frames that are not paced
	frames     int
	closed     bool
	writing    bool          // the writer has taken a frame since its last flush
	wake       chan struct{} // holds one token while frames are queued or after close
}

func newOutbox() *outbox {
	return &outbox{queues: make(map[uint64]*streamQueue), wake: make(chan struct{}, 1)}
}

// put queues a frame. It returns false, without queuing the frame, if the
// outbox is closed or holds too many bytes.
func (o *outbox) put(frame *outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed || (!frame.paced && o.unpaced > maxQueuedBytes) {
		return false
	}
	if frame.stream == 0 {
		o.linkFrames = append(o.linkFrames, frame)
	} else {
		o.queue(frame)
	}
	o.updateTotals(frame, 1)
	o.signal()
	return true
}

// queue appends the frame to the queue of its stream. The caller must hold mu.
func (o *outbox) queue(frame *outgoing) {
	queue, found := o.queues[frame.stream]
	if !found {
		queue = &streamQueue{stream: frame.stream}
		o.queues[frame.stream] = queue
	}
	queue.frames = append(queue.frames, frame)
	if !queue.listed {
		queue.listed = true
		o.roundRobin = append(o.roundRobin, queue)
	}
}

// withdraw removes a frame of a stream from the outbox. It returns false if the
// writer has already taken the frame; otherwise the frame will never be
// written.
func (o *outbox) withdraw(frame *outgoing) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if frame.withWriter {
		return false
	}
	queue, found := o.queues[frame.stream]
	if !found {
		return true
	}
	at := slices.Index(queue.frames, frame)
	if at >= 0 {
		queue.frames = slices.Delete(queue.frames, at, at+1)
		o.updateTotals(frame, -1)
	}
	return true
}

// take returns the next frame to write, or nil if none is queued.
func (o *outbox) take() *outgoing {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil
	}
	if len(o.linkFrames) > 0 {
		frame := o.linkFrames[0]
		o.linkFrames = o.linkFrames[1:]
		return o.handToWriter(frame)
	}
	for len(o.roundRobin) > 0 {
		queue := o.roundRobin[0]
		o.roundRobin = o.roundRobin[1:]
		if len(queue.frames) == 0 {
			delete(o.queues, queue.stream)
			continue
		}
		frame := queue.frames[0]
		queue.frames = queue.frames[1:]
		if len(queue.frames) > 0 {
			o.roundRobin = append(o.roundRobin, queue)
		} else {
			delete(o.queues, queue.stream)
		}
		return o.handToWriter(frame)
	}
	return nil
}

// handToWriter marks a frame as taken by the writer and returns it. The caller
// must hold mu.
func (o *outbox) handToWriter(frame *outgoing) *outgoing {
	o.updateTotals(frame, -1)
	o.writing = true
	frame.withWriter = true
	if frame.taken != nil {
		close(frame.taken)
	}
	return frame
}

// flushed records that all frames taken so far have been written to the
// connection.
func (o *outbox) flushed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
}

// empty reports whether no frame is queued or being written.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.frames == 0 && !o.writing
}

// close drops all queued frames. None of them will be written.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	clear(o.queues)
	o.linkFrames, o.roundRobin = nil, nil
	o.bytes, o.unpaced, o.frames = 0, 0, 0
	o.signal()
}

// updateTotals adds a frame to the totals if sign is 1 and subtracts it if sign
// is -1. The caller must hold mu.
func (o *outbox) updateTotals(frame *outgoing, sign int) {
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
