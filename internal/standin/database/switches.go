package database

import (
	"time"

	"github.com/rotisserie/eris"
)

// silencedTimeout is how long a silenced connection still counts against
// MaxConnections, as if the database's keepalive gave it up then.
const silencedTimeout = 30 * time.Second

// Kill closes every connection at once and refuses new ones. Log, term and
// role stay. A second Kill does nothing.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	s.current.stop()
	s.current = nil
	s.node.killed()
}

// Restart starts a killed database again on the same address, with the log,
// term and role it had. It does nothing to a running one.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		return nil
	}
	current, err := newRun(s, s.address)
	if err != nil {
		return eris.Wrapf(err, "start database %s at %s", s.options.ID, s.address)
	}
	s.address = current.listener.Addr().String()
	s.current = current
	current.start()
	return nil
}

// SetFrozen stops or resumes everything but the acceptance of connections.
func (s *Server) SetFrozen(frozen bool) {
	s.gate.setFrozen(frozen)
}

// SilenceOpenConnections makes the connections that are open now, replication
// excepted, get no more answers. New connections work.
func (s *Server) SilenceOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.silenceConnections()
	}
}

// SetReplicationLag sets how long after its arrival an entry is applied.
func (s *Server) SetReplicationLag(lag time.Duration) {
	s.lag.Store(int64(lag))
}

// SetStatementTime sets how long an ordinary statement holds its slot.
func (s *Server) SetStatementTime(duration time.Duration) {
	s.statementTime.Store(int64(duration))
}

// SetReplyDelay sets how long every answer, control included, is held back.
func (s *Server) SetReplyDelay(delay time.Duration) {
	s.answerDelay.Store(int64(delay))
}

// SetReplicationPartition cuts the database off from the other databases of its
// group, in both directions, or connects it again.
func (s *Server) SetReplicationPartition(cut bool) {
	s.replicationCut.Store(cut)
}
