package main

import (
	"bufio"
	"net"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	dialTimeout = 2 * time.Second
	// replyTimeout is longer than the routes' timeouts.
	replyTimeout = 5 * time.Second
)

// session is a requester's side of a session.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openSession connects to a machine. The session's first message is its CONNECT.
func openSession(address string) (*session, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout) //nolint:gosec // a machine of the deployment
	if err != nil {
		return nil, err
	}
	return &session{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// exchange sends a message and returns the reply.
func (s *session) exchange(message string) (state.Reply, error) {
	_ = s.conn.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := s.conn.Write([]byte(message + "\r\n")); err != nil {
		return state.Reply{}, err
	}
	return standin.ReadReply(s.reader)
}

func (s *session) close() {
	_, _ = s.conn.Write([]byte("QUIT\r\n"))
	_ = s.conn.Close()
}
