package peerlink

import (
	"context"
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
)

// serverLink is the accepting side of a link.
type serverLink struct {
	*link
	server *Server
	ctx    context.Context // cancelled when the link ends
	cancel context.CancelFunc

	mu      sync.Mutex
	streams map[uint64]*serverStream
	lastID  uint64 // ids increase, so a late frame cannot reach a newer stream
	calls   int    // calls queued or running
}

func newServerLink(server *Server, l *link) *serverLink {
	ctx, cancel := context.WithCancel(server.ctx)
	return &serverLink{
		link: l, server: server, ctx: ctx, cancel: cancel,
		streams: make(map[uint64]*serverStream),
	}
}

// receive implements receiver. Frames for a stream that has ended are dropped.
func (s *serverLink) receive(frame peerproto.Frame) error {
	switch frame.Kind {
	case peerproto.KindOpen:
		return s.receiveOpen(frame)
	case peerproto.KindCall:
		return s.receiveCall(frame)
	case peerproto.KindUnit, peerproto.KindCancel, peerproto.KindCredit, peerproto.KindClose:
		if stream := s.stream(frame.Stream); stream != nil {
			return stream.receive(frame)
		}
		return nil
	default:
		return errProtocol
	}
}

func (s *serverLink) stream(id uint64) *serverStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[id]
}

// claimID records the id of a new stream or call. An id that is not above all
// earlier ones is a protocol error.
func (s *serverLink) claimID(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id <= s.lastID {
		return errProtocol
	}
	s.lastID = id
	return nil
}

func (s *serverLink) receiveOpen(frame peerproto.Frame) error {
	var open peerproto.Open
	if err := peerproto.Unmarshal(frame.Body, &open); err != nil {
		return err
	}
	if err := s.claimID(frame.Stream); err != nil {
		return err
	}
	if failure := s.server.addStream(); failure != nil {
		s.send(peerproto.KindFailure, frame.Stream, peerproto.PortableFailure(failure))
		return nil
	}
	stream := newServerStream(s, frame.Stream)
	s.mu.Lock()
	s.streams[stream.id] = stream
	s.mu.Unlock()
	s.prober.add(0, 1)
	go stream.run(open.Request)
	return nil
}

func (s *serverLink) removeStream(stream *serverStream) {
	s.mu.Lock()
	delete(s.streams, stream.id)
	s.mu.Unlock()
	s.prober.add(0, -1)
	s.server.removeStream()
}

// linkDown implements receiver. It ends all streams of the link.
func (s *serverLink) linkDown(cause error) {
	s.server.config.Logger.Info().Err(cause).Str("peer", s.name()).Msg("peer link ended")
	s.cancel()
	s.server.removeLink(s)
}

// busy reports whether a call is queued or running or a frame has to be
// written.
func (s *serverLink) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls > 0 || !s.outbox.empty()
}
