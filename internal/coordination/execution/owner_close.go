package execution

import "context"

// Cancel implements Stream. The connection is not given to another stream
// after a cancel request was sent for it.
func (s *ownerStream) Cancel(ctx context.Context) error {
	s.cancelMu.Lock()
	if !s.running {
		s.cancelMu.Unlock()
		return nil
	}
	s.cancelUsed = true
	s.cancelling.Add(1)
	s.cancelMu.Unlock()
	defer s.cancelling.Done()
	return s.conn.backend.Cancel(ctx)
}

// Close implements Stream. A Send or Receive in progress ends first: closing
// the backend connection ends a wait for the backend server, and the end of
// its own context any other wait. Its connection is not used again.
func (s *ownerStream) Close() {
	if s.closed.Swap(true) {
		return
	}
	select {
	case <-s.using:
	default:
		s.conn.backend.Close()
		<-s.using
		s.broken = true
	}
	defer s.leave()
	s.close()
}

func (s *ownerStream) close() {
	if s.unit != nil {
		s.endUnit()
	}
	s.cancelMu.Lock()
	cancelUsed := s.cancelUsed
	s.cancelMu.Unlock()
	if s.broken || cancelUsed || s.pinned || s.txStatus != txIdle {
		s.server.pool.discard(s.conn)
	} else {
		s.server.pool.put(s.conn)
	}
	s.lease.Release()
}
