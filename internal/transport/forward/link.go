package forward

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// outboxFrames bounds the frames that wait to be written on a link. Those who
	// send more wait.
	outboxFrames = 128
	// bufferBytes is the size of a link's buffers, a few usual frames.
	bufferBytes = 2048
	// writeTimeout bounds a write to a peer that reads nothing.
	writeTimeout = 2 * time.Second
	// userTimeout is the TCP user timeout of links. Answers to pings show a silent
	// link earlier.
	userTimeout = time.Second
)

// quietLimits says when a link on which an answer is awaited is asked for a sign of
// life, and when it is given up.
type quietLimits struct {
	ping, dead time.Duration
}

var (
	// senderLimits let a sender notice a silent holder within half a second.
	senderLimits = quietLimits{ping: 150 * time.Millisecond, dead: 500 * time.Millisecond}
	// holderLimits let a holder roll back a silent sender's transactions. They are
	// longer, because a sender that was held up may go on with them.
	holderLimits = quietLimits{ping: 500 * time.Millisecond, dead: 2 * time.Second}
)

var (
	errLinkClosed = errors.New("link closed")
	errSilent     = errors.New("the peer is silent")
)

// link is one side of a connection between two instances.
type link struct {
	conn   net.Conn
	outbox chan []byte
	done   chan struct{}
	limits quietLimits
	// waiting reports whether a sign of life is expected. It is called without
	// link.mu.
	waiting func() bool
	// unusedAfter is after how long without a frame the link is closed; 0 if the
	// other side closes it.
	unusedAfter time.Duration

	mu       sync.Mutex
	err      error
	received time.Time
	watching bool
}

func newLink(conn net.Conn, limits quietLimits, waiting func() bool) *link {
	return &link{conn: conn, outbox: make(chan []byte, outboxFrames), done: make(chan struct{}), limits: limits, waiting: waiting, received: time.Now()}
}

// close ends the link. Only the first cause counts.
func (l *link) close(cause error) {
	l.mu.Lock()
	first := l.err == nil
	if first {
		l.err = cause
		close(l.done)
	}
	l.mu.Unlock()
	if first {
		l.conn.Close()
	}
}

// cause returns why the link ended, nil while it is open.
func (l *link) cause() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// send queues a frame. It waits while the outbox is full, until deadline.
func (l *link) send(of kind, stream uint32, message any, deadline time.Time) error {
	data, err := appendFrame(nil, of, stream, message)
	if err != nil {
		return err
	}
	select {
	case <-l.done:
		return l.cause()
	default:
	}
	select {
	case l.outbox <- data:
		return nil
	default:
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case l.outbox <- data:
		return nil
	case <-l.done:
		return l.cause()
	case <-timer.C:
		return eris.New("the link's outbox is full")
	}
}

// write writes the queued frames until the link ends.
func (l *link) write() {
	w := bufio.NewWriterSize(l.conn, bufferBytes)
	for {
		select {
		case <-l.done:
			return
		case data := <-l.outbox:
			l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if err := l.writeBatch(w, data); err != nil {
				l.close(eris.Wrap(err, "write to link"))
				return
			}
		}
	}
}

// writeBatch writes a frame and those queued behind it.
func (l *link) writeBatch(w *bufio.Writer, data []byte) error {
	for {
		if _, err := w.Write(data); err != nil {
			return err
		}
		select {
		case data = <-l.outbox:
		default:
			return w.Flush()
		}
	}
}

// read passes the received frames to handle until the link ends. Pings are
// answered here.
func (l *link) read(r *bufio.Reader, handle func(frame) error) {
	for {
		if l.unusedAfter > 0 {
			l.conn.SetReadDeadline(time.Now().Add(l.unusedAfter))
		}
		f, err := readFrame(r)
		if err != nil {
			l.close(err)
			return
		}
		l.mu.Lock()
		l.received = time.Now()
		l.mu.Unlock()
		switch f.kind {
		case kindPing:
			err = l.send(kindPong, 0, nil, time.Now().Add(writeTimeout))
		case kindPong:
		default:
			err = handle(f)
		}
		if err != nil {
			l.close(err)
			return
		}
	}
}

// watch starts to watch for a silent peer, until nothing is awaited any more.
func (l *link) watch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watching || l.err != nil {
		return
	}
	l.watching = true
	l.received = time.Now()
	time.AfterFunc(l.limits.ping, l.check)
}

// check closes the link if the peer is silent, and pings it if it is quiet.
func (l *link) check() {
	expected := l.waiting()
	l.mu.Lock()
	if l.err != nil || !expected {
		l.watching = false
		l.mu.Unlock()
		return
	}
	quiet := time.Since(l.received)
	l.mu.Unlock()
	switch {
	case quiet >= l.limits.dead:
		l.close(errSilent)
		return
	case quiet >= l.limits.ping:
		// A full outbox shows that nothing is acknowledged; the ping is left out.
		if data, err := appendFrame(nil, kindPing, 0, nil); err == nil {
			select {
			case l.outbox <- data:
			default:
			}
		}
	}
	next := l.limits.ping
	if left := l.limits.dead - quiet; left < next {
		next = max(left, time.Millisecond)
	}
	time.AfterFunc(next, l.check)
}
