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

// receiver handles the frames of a link. It is called with one frame at a time
// and must not block. The frame's body is valid only during the call.
type receiver interface {
	receive(frame peerproto.Frame) error
	// linkDown is called once, after the last call of receive.
	linkDown(cause error)
}

// link is one authenticated connection with its reader and writer goroutines.
type link struct {
	config     Config
	conn       net.Conn
	peer       state.Instance
	version    peerproto.Version
	handshake  peerproto.HandshakeResult
	outbox     *outbox
	receiver   receiver
	prober     *prober
	done       chan struct{} // closed by fail
	goroutines sync.WaitGroup

	bytesIn  atomic.Uint64
	bytesOut atomic.Uint64

	mu    sync.Mutex
	cause error // why the link ended; nil while it is up
}

func newLink(config Config, conn net.Conn, peer state.Instance, handshake peerproto.HandshakeResult) *link {
	l := &link{
		config: config, conn: conn, peer: peer, version: handshake.Version, handshake: handshake,
		outbox: newOutbox(), done: make(chan struct{}),
	}
	l.prober = newProber(l)
	return l
}

// start runs the link's reader and writer. The receiver is notified when the
// link ends.
func (l *link) start(r receiver) {
	l.receiver = r
	l.prober.start()
	l.goroutines.Add(2)
	go l.read()
	go l.write()
}

// wait blocks until the goroutines of the link have ended.
func (l *link) wait() {
	l.goroutines.Wait()
}

func (l *link) name() string {
	return peerName(l.peer.ID, l.peer.PeerAddress)
}

// fail ends the link. Only the first call has an effect; its cause is kept.
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
	l.prober.stop()
	rawConn(l.conn).Close()
}

// failure returns the cause of the link's end, or nil while the link is up.
func (l *link) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cause
}

// post queues a frame without blocking. If the frame cannot be queued, because
// the link has ended or the peer does not read, post ends the link and returns
// false.
func (l *link) post(frame *outgoing) bool {
	if l.outbox.put(frame) {
		return true
	}
	l.fail(errBacklog)
	return false
}

// send encodes and queues a frame. A frame that cannot be sent ends the link,
// and with it every stream that would wait for the frame.
func (l *link) send(kind peerproto.Kind, stream uint64, body any) {
	frame, err := newOutgoing(kind, stream, body, l.config.MaxFrame)
	if err != nil {
		l.fail(err)
		return
	}
	l.post(frame)
}

func (l *link) read() {
	defer l.goroutines.Done()
	reader := peerproto.NewFrameReader(bufio.NewReader(l.conn), l.config.MaxFrame)
	for {
		frame, err := reader.Next()
		if err == nil {
			l.bytesIn.Add(uint64(peerproto.FrameOverhead + len(frame.Body)))
			l.prober.frameReceived()
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
		return nil // every frame that arrives counts as progress
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

// writeBuffers pools write buffers. A link has a buffer only while it writes,
// because an instance has many links and few of them are active at any moment.
var writeBuffers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}

func (l *link) write() {
	defer l.goroutines.Done()
	for {
		if frame := l.outbox.take(); frame != nil {
			if err := l.writeQueued(frame); err != nil {
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

// writeQueued writes a frame and all frames queued after it.
func (l *link) writeQueued(frame *outgoing) error {
	writer := writeBuffers.Get().(*bufio.Writer)
	defer writeBuffers.Put(writer)
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

// lostReason returns the reason of failures that result from the end of a link.
func lostReason(cause error) state.Reason {
	if errors.Is(cause, errSilent) {
		return state.ReasonSilent
	}
	return state.ReasonConnectionLost
}

// retryAfterLost is how long a caller is advised to wait before a retry after a
// link has ended or a peer was overloaded.
const retryAfterLost = 100 * time.Millisecond
