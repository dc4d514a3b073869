package execution

import "sync"

// streamUse tells a Close whether a Send or Receive is running, and whichever
// of the two ends last to give back what the stream holds.
type streamUse struct {
	mu     sync.Mutex // a leaf lock over the rest
	inUse  bool
	closed bool
}

// begin notes the start of a Send or Receive. It reports false on a stream that
// was closed.
func (u *streamUse) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse = !u.closed
	return u.inUse
}

// end notes the end of a Send or Receive, and reports whether the stream was
// closed meanwhile.
func (u *streamUse) end() (closed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse = false
	return u.closed
}

// close marks the stream as closed. first is false where it was so already.
func (u *streamUse) close() (first, inUse bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	first = !u.closed
	u.closed = true
	return first, u.inUse
}

// Close implements Stream. It may be called while a Send or Receive runs: that
// fails, because its connection is closed, and then gives everything back.
func (s *ownerStream) Close() {
	first, inUse := s.use.close()
	switch {
	case !first:
	case inUse:
		s.conn.backend.Close()
	default:
		s.giveBack()
	}
}

// endUse ends a Send or Receive.
func (s *ownerStream) endUse() {
	if s.use.end() {
		s.broken = true
		s.giveBack()
	}
}

// giveBack ends the unit that runs, if any, and gives back the connection and
// its lease. Nothing else uses the stream at that time.
func (s *ownerStream) giveBack() {
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
