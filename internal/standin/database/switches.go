package database

import (
	"time"

	"github.com/rotisserie/eris"
)

// silencedTimeout is the time for which a silenced connection still counts against
// MaxConnections. Then it is closed, as after a keepalive timeout of the database.
const silencedTimeout = 30 * time.Second

// Kill closes the listener and all connections immediately. The log, the term and
// the role are kept. A second Kill does nothing.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return
	}
	s.current.stop()
	s.current = nil
	s.node.abortOpenWrite()
}

// Restart starts a killed database on the same address with its previous log,
// term and role. It does nothing if the database is running.
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

// SetFrozen suspends or resumes all work except accepting connections.
func (s *Server) SetFrozen(frozen bool) {
	s.gate.setFrozen(frozen)
}

// SilenceOpenConnections stops all replies on the connections that are open now,
// except replication, without closing them. New connections work.
func (s *Server) SilenceOpenConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil {
		s.current.silenceConnections()
	}
}

// SetReplicationLag sets the time for which a replica holds a received entry
// before it applies it.
func (s *Server) SetReplicationLag(lag time.Duration) {
	s.lag.Store(int64(lag))
}

// SetStatementTime sets the minimum time for which an ordinary statement holds its
// slot.
func (s *Server) SetStatementTime(duration time.Duration) {
	s.statementTime.Store(int64(duration))
}

// SetReplyDelay sets the time by which every reply is delayed, including those to
// control statements.
func (s *Server) SetReplyDelay(delay time.Duration) {
	s.replyDelay.Store(int64(delay))
}

// SetReplicationPartition stops or resumes replication between the database and
// the other databases of its group, in both directions.
func (s *Server) SetReplicationPartition(cut bool) {
	s.replicationPartitioned.Store(cut)
}
