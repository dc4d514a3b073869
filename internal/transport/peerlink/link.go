package peerlink

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const writeBufferBytes = 64 << 10

// Errors that end a link.
var (
	errSilent   = errors.New("link is silent")
	errProtocol = errors.New("peer broke the protocol")
	errBacklog  = errors.New("peer does not read")
	errClosed   = errors.New("link closed by this side")
	errIdle     = errors.New("link closed after it carried nothing")
	errReplaced = errors.New("a later incarnation of the peer took its place")
)

// receiver takes the frames of a link, one at a time, and must not block. The
// frame's body is valid during the call only.
type receiver interface {
	receive(frame peerproto.Frame) error
	// linkDown is called once, after the last receive.
	linkDown(cause error)
}

// link is one authenticated connection.
type link struct {
	config    Config
	conn      net.Conn
	peer      state.Instance
	version   peerproto.Version
	agreement peerproto.HandshakeResult
	outbox    *outbox
	receiver  receiver
	probe     *prober
	done      chan struct{} // closed by fail
	goroutine sync.WaitGroup

	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64

	mu    sync.Mutex
	cause error // why the link ended; nil while it is up
}

func newLink(config Config, conn net.Conn, peer state.Instance, agreement peerproto.HandshakeResult) *link {
	l := &link{
		config: config, conn: conn, peer: peer, version: agreement.Version, agreement: agreement,
		outbox: newOutbox(), done: make(chan struct{}),
	}
	l.probe = newProber(l)
	return l
}

// start runs the link's reader and writer. The receiver is told of the end.
func (l *link) start(r receiver) {
	l.receiver = r
	l.probe.start()
	l.goroutine.Add(2)
	go l.read()
	go l.write()
}

// wait blocks until the goroutines of the link have ended.
func (l *link) wait() {
	l.goroutine.Wait()
}

func (l *link) name() string {
	return peerName(l.peer.ID, l.peer.PeerAddress)
}

// fail ends the link. The first cause counts.
func (l *link) fail(cause error) {
	l.mu.Lock()
	if l.cause != nil {
		l.mu.Unlock()
		return
	}
	l.cause = cause
	l.mu.Unlock()
	l.outbox.close()
	close(l.done)
	l.probe.stop()
	rawConn(l.conn).Close()
}

// failure returns the cause of the link's end, or nil.
func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// post queues a frame without waiting. It reports false, and ends the link if
// the peer does not read, when the frame was not queued.
func (l *link) post(frame *outgoing) bool {
	if l.outbox.put(frame) {
		return true
	}
	l.fail(errBacklog)
	return false
}

// send encodes and posts a frame. What cannot be sent ends the link, and so
// every stream that would have waited for it.
func (l *link) send(kind peerproto.Kind, stream uint64, body any) {
	frame, err := newOutgoing(kind, stream, body, l.config.MaxFrame)
	if err != nil {
		l.fail(err)
		return
	}
	l.post(frame)
}

func (l *link) read() {
	defer l.goroutine.Done()
	reader := peerproto.NewFrameReader(bufio.NewReader(l.conn), l.config.MaxFrame)
	for {
		frame, err := reader.Next()
		if err == nil {
			l.bytesIn.Add(uint64(peerproto.FrameOverhead + len(frame.Body)))
			l.probe.received()
			err = l.dispatch(frame)
		}
		if err != nil {
			l.fail(err)
			l.receiver.linkDown(l.failure())
			return
		}
	}
}

func (l *link) dispatch(frame peerproto.Frame) error {
	switch frame.Kind {
	case peerproto.KindPing:
		return l.pong(frame.Body)
	case peerproto.KindPong:
		return nil // any frame that arrives is progress
	default:
		return l.receiver.receive(frame)
	}
}

func (l *link) pong(body []byte) error {
	var ping peerproto.Ping
	if err := peerproto.Unmarshal(body, &ping); err != nil {
		return err
	}
	l.send(peerproto.KindPong, 0, &ping)
	return nil
}

// writers holds write buffers. A link has one only while frames wait, because
// an instance has many links of which few carry something at one moment.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func (l *link) write() {
	defer l.goroutine.Done()
	for {
		if frame := l.outbox.take(); frame != nil {
			if err := l.writeFrom(frame); err != nil {
				l.fail(eris.Wrap(err, "write link"))
				return
			}
		}
		select {
		case <-l.outbox.wake:
		case <-l.done:
			return
		}
	}
}

// writeFrom writes a frame and all that wait behind it.
func (l *link) writeFrom(frame *outgoing) error {
	writer := writers.Get().(*bufio.Writer)
	defer writers.Put(writer)
	writer.Reset(l.conn)
	defer writer.Reset(nil)
	for ; frame != nil; frame = l.outbox.take() {
		if _, err := writer.Write(frame.encoded); err != nil {
			return err
		}
		l.bytesOut.Add(uint64(len(frame.encoded)))
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	l.outbox.flushed()
	return nil
}

// lostReason maps the cause of a link's end to the reason of its failures.
func lostReason(cause error) state.Reason {
	if errors.Is(cause, errSilent) {
		return state.ReasonSilent
	}
	return state.ReasonConnectionLost
}

// retryAfterLost is when a caller may come back after a link ended.
const retryAfterLost = 100 * time.Millisecond
