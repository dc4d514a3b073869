package peerlink

import (
	"context"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maxCallsPerLink bounds the calls of one link that are queued or running.
const maxCallsPerLink = 256

// callJob is a call to be run by a worker.
type callJob struct {
	link    *serverLink
	id      uint64
	request peerproto.Call
	ctx     context.Context
	cancel  context.CancelFunc
}

func (s *serverLink) receiveCall(frame peerproto.Frame) error {
	var request peerproto.Call
	if err := peerproto.Unmarshal(frame.Body, &request); err != nil {
		return err
	}
	if err := s.claimID(frame.Stream); err != nil {
		return err
	}
	job := callJob{link: s, id: frame.Stream, request: request}
	if request.Timeout > 0 {
		job.ctx, job.cancel = context.WithTimeout(s.ctx, request.Timeout)
	} else {
		job.ctx, job.cancel = context.WithCancel(s.ctx)
	}
	if !s.enqueue(job) {
		job.cancel()
		self := peerName(s.config.Self.ID, s.config.Self.PeerAddress)
		refusal := state.NotRun(state.ReasonOverloaded, stepCall, self, retryAfterLost, nil)
		s.send(peerproto.KindFailure, job.id, peerproto.PortableFailure(refusal))
	}
	return nil
}

// enqueue queues the call for the workers. It returns false if the link has too
// many calls or the queue is full.
func (s *serverLink) enqueue(job callJob) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls >= maxCallsPerLink {
		return false
	}
	select {
	case s.server.callQueue <- job:
		s.calls++
		return true
	default:
		return false
	}
}

// runCalls is the loop of one call worker.
func (s *Server) runCalls() {
	defer s.goroutines.Done()
	for {
		select {
		case job := <-s.callQueue:
			s.runCall(job)
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) runCall(job callJob) {
	defer job.cancel()
	defer job.link.callDone()
	if job.ctx.Err() != nil {
		self := peerName(s.config.Self.ID, s.config.Self.PeerAddress)
		expired := state.NotRun(state.ReasonOverloaded, stepCall, self, retryAfterLost, job.ctx.Err())
		job.link.send(peerproto.KindFailure, job.id, peerproto.PortableFailure(expired))
		return
	}
	result, err := s.handler.HandleCall(job.ctx, job.link.peer.ID, job.request.Method, job.request.Body)
	if err == nil {
		err = job.sendReply(result)
	}
	if err != nil {
		job.link.send(peerproto.KindFailure, job.id, portableError(err, state.OutcomeUnknown))
	}
}

func (j callJob) sendReply(result any) error {
	body, err := peerproto.Marshal(result)
	if err != nil {
		return err
	}
	frame, err := newOutgoing(peerproto.KindReply, j.id, &peerproto.Reply{Body: body}, j.link.config.MaxFrame)
	if err != nil {
		return err
	}
	j.link.post(frame)
	return nil
}

func (s *serverLink) callDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
}
