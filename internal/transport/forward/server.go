package forward

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
)

const (
	// maxLinks bounds the links of other instances to this one.
	maxLinks = 2048
	// unusedTime is after how long a link without frames is closed. It exceeds the
	// time after which the sender closes an idle one.
	unusedTime = 3 * idleTime
)

// Session is a holder's side of a stream.
type Session interface {
	Call(call forwarding.Call) forwarding.Answer
	Close()
}

// Server accepts links of other instances.
type Server struct {
	newSession func() Session
	log        zerolog.Logger
	// slots holds one element for each open link.
	slots chan struct{}
}

// NewServer returns a server that runs each stream in a new session.
func NewServer(newSession func() Session, log zerolog.Logger) *Server {
	return &Server{newSession: newSession, log: log, slots: make(chan struct{}, maxLinks)}
}

// Links returns the number of open links.
func (s *Server) Links() int { return len(s.slots) }

// Serve serves a link whose preamble has not been read, until it ends.
func (s *Server) Serve(conn net.Conn, r *bufio.Reader) {
	defer conn.Close()
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.log.Warn().Int("links", maxLinks).Stringer("peer", conn.RemoteAddr()).Msg("link refused, too many are open")
		return
	}
	socket.SetUserTimeout(conn, userTimeout)
	var preamble [2]byte
	for n := range preamble {
		b, err := r.ReadByte()
		if err != nil {
			return
		}
		preamble[n] = b
	}
	if preamble != [2]byte{Preamble, version} {
		s.log.Warn().Hex("preamble", preamble[:]).Stringer("peer", conn.RemoteAddr()).Msg("link of another version refused")
		return
	}
	l := &serverLink{server: s, streams: make(map[uint32]*serverStream)}
	l.link = newLink(conn, holderLimits, l.awaits)
	l.unusedAfter = unusedTime
	conn.SetDeadline(time.Time{})
	go l.write()
	l.read(r, l.handle)
	l.endStreams()
}

// serverLink is the holder's side of a link.
type serverLink struct {
	*link
	server *Server

	mu      sync.Mutex
	streams map[uint32]*serverStream
	ended   bool
}

// serverStream is an open stream. running is set while a call runs; closed if the
// sender ended the stream meanwhile.
type serverStream struct {
	session Session
	running bool
}

// awaits reports whether a stream is open. While calls run or transactions are
// open, a silent sender must be noticed.
func (l *serverLink) awaits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.streams) > 0
}

func (l *serverLink) handle(f frame) error {
	switch f.kind {
	case kindCall:
		call, err := decodeCall(f.body)
		if err != nil {
			return err
		}
		return l.call(f.stream, call)
	case kindClose:
		l.mu.Lock()
		s := l.streams[f.stream]
		delete(l.streams, f.stream)
		l.mu.Unlock()
		if s != nil {
			go s.session.Close()
		}
		return nil
	default:
		return eris.Errorf("unexpected frame of kind %d", f.kind)
	}
}

// call starts a call of a stream.
func (l *serverLink) call(id uint32, call forwarding.Call) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.streams[id]
	switch {
	case l.ended:
		return errLinkClosed
	case s == nil && len(l.streams) >= maxStreams:
		return eris.Errorf("%d streams are open on the link", maxStreams)
	case s == nil:
		s = &serverStream{session: l.server.newSession()}
		l.streams[id] = s
	case s.running:
		return eris.Errorf("two calls at a time on stream %d", id)
	}
	s.running = true
	go l.run(id, s, call)
	return nil
}

// run runs a call and sends the answer. The stream ends with an answer that leaves
// no transaction open.
func (l *serverLink) run(id uint32, s *serverStream, call forwarding.Call) {
	l.watch()
	answer := l.answer(s.session, call)
	l.mu.Lock()
	s.running = false
	current := l.streams[id] == s
	ended := !answer.Pinned()
	if ended && current {
		delete(l.streams, id)
	}
	l.mu.Unlock()
	if ended {
		s.session.Close()
	}
	if !current {
		return
	}
	if err := l.send(kindAnswer, id, encodeAnswer(answer), time.Now().Add(writeTimeout)); err != nil {
		l.close(eris.Wrap(err, "send answer"))
	}
}

// answer runs a call. One that can't be sent to a database ends its stream.
func (l *serverLink) answer(session Session, call forwarding.Call) forwarding.Answer {
	if err := checkCall(call); err != nil {
		l.server.log.Warn().Err(err).Stringer("peer", l.conn.RemoteAddr()).Msg("forwarded statement refused")
		return forwarding.Answer{Refusal: forwarding.RefusedLost, Detail: err.Error()}
	}
	return session.Call(call)
}

// endStreams ends all streams when the link has ended.
func (l *serverLink) endStreams() {
	l.mu.Lock()
	l.ended = true
	streams := l.streams
	l.streams = make(map[uint32]*serverStream)
	l.mu.Unlock()
	for _, s := range streams {
		go s.session.Close()
	}
}
