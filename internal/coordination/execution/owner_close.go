package execution

import "context"

// Cancel implements Stream. Once a cancel request was sent for it, the
// connection is not reused by another stream.
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

// Close implements Stream. It waits for a Send or Receive in progress to end:
// closing the backend connection ends a wait for the backend server; any other
// wait ends with the call's own context. The connection of a stream that is
// closed during such a call is not reused.
func (s *ownerStream) Close() {
	if s.closed.Swap(true) {
		return
	}
	select {
	case <-s.idle:
	default:
		s.conn.backend.Close()
		<-s.idle
		s.broken = true
	}
	defer s.release()
	s.close()
}

func (s *ownerStream) close() {
	if s.unit != nil {
		s.abortUnit()
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
