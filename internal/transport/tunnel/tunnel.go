// Package tunnel carries connections to databases through another instance, for
// instances that can't reach a database themselves. It opens with one frame in
// each direction, a length and a msgpack message, and carries bytes from then
// on. Only databases that the other instance knows are connected to.
package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
)

const (
	// maxFrame bounds the opening frames, which hold an id or a reason.
	maxFrame = 1 << 10
	// openTimeout bounds the opening at the other instance: a connection to
	// the database, with a round trip between regions of 24 ms.
	openTimeout = 300 * time.Millisecond
	// maxTunnels bounds the tunnels through one instance. Each takes two
	// descriptors of the few hundred that are kept for other things than
	// clients.
	maxTunnels = 150
)

// request opens a tunnel.
type request struct {
	Database state.DatabaseID `msgpack:"database"`
}

// response answers it. An empty reason means that the database is connected.
type response struct {
	Reason string `msgpack:"reason"`
}

// RefusedError is the error of a tunnel that the other instance did not open.
type RefusedError struct {
	Peer     string
	Database state.DatabaseID
	Reason   string
}

// Error gives peer, database and reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tunnel to %s through %s refused: %s", e.Database, e.Peer, e.Reason)
}

// Open connects to a database through the instance at peer, host:port.
func Open(ctx context.Context, peer string, database state.DatabaseID) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", peer)
	if err != nil {
		return nil, eris.Wrapf(err, "tunnel to %s through %s", database, peer)
	}
	socket.SetUserTimeout(conn, socket.BackendUserTimeout)
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	answer, err := handshake(conn, database)
	if err == nil && answer.Reason != "" {
		err = &RefusedError{Peer: peer, Database: database, Reason: answer.Reason}
	}
	if err != nil {
		conn.Close()
		return nil, eris.Wrapf(err, "tunnel to %s through %s", database, peer)
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

func handshake(conn net.Conn, database state.DatabaseID) (response, error) {
	var answer response
	if err := writeFrame(conn, request{Database: database}); err != nil {
		return answer, err
	}
	return answer, readFrame(conn, &answer)
}

func writeFrame(w io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode a frame")
	}
	frame := binary.BigEndian.AppendUint16(nil, uint16(len(body)))
	_, err = w.Write(append(frame, body...))
	return eris.Wrap(err, "write a frame")
}

func readFrame(r io.Reader, message any) error {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return eris.Wrap(err, "read a frame's length")
	}
	size := binary.BigEndian.Uint16(length[:])
	if size > maxFrame {
		return eris.Errorf("a frame of %d bytes is too long", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return eris.Wrap(err, "read a frame")
	}
	return eris.Wrap(msgpack.Unmarshal(body, message), "decode a frame")
}

// Server carries connections of other instances to databases.
type Server struct {
	find func(id state.DatabaseID) (address string, known bool)
	log  zerolog.Logger
	open chan struct{}
}

// NewServer returns a server for the databases whose address find returns.
func NewServer(find func(id state.DatabaseID) (string, bool), log zerolog.Logger) *Server {
	return &Server{find: find, log: log, open: make(chan struct{}, maxTunnels)}
}

// Serve accepts tunnels until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.carry(conn)
	}
}

func (s *Server) carry(peer net.Conn) {
	defer peer.Close()
	socket.SetUserTimeout(peer, socket.BackendUserTimeout)
	peer.SetDeadline(time.Now().Add(2 * openTimeout))
	reader := bufio.NewReader(peer)
	var asked request
	if err := readFrame(reader, &asked); err != nil {
		s.log.Warn().Err(err).Stringer("peer", peer.RemoteAddr()).Msg("tunnel not opened")
		return
	}
	database, err := s.connect(asked.Database)
	var answer response
	if err != nil {
		answer.Reason = err.Error()
	} else {
		defer database.Close()
		defer func() { <-s.open }()
	}
	if err := writeFrame(peer, answer); err != nil || answer.Reason != "" {
		s.log.Warn().AnErr("error", err).Str("reason", answer.Reason).Str("database", string(asked.Database)).
			Stringer("peer", peer.RemoteAddr()).Msg("tunnel not opened")
		return
	}
	peer.SetDeadline(time.Time{})
	splice(peer, reader, database)
}

// connect connects to a database and counts the tunnel.
func (s *Server) connect(id state.DatabaseID) (net.Conn, error) {
	address, known := s.find(id)
	if !known {
		return nil, eris.Errorf("database %s is not registered", id)
	}
	select {
	case s.open <- struct{}{}:
	default:
		return nil, eris.Errorf("%d tunnels are open", maxTunnels)
	}
	conn, err := net.DialTimeout("tcp", address, openTimeout)
	if err != nil {
		<-s.open
		return nil, eris.Wrapf(err, "connect to %s", id)
	}
	socket.SetUserTimeout(conn, socket.BackendUserTimeout)
	return conn, nil
}

// splice copies both ways until either side ends. What is left of the other
// direction is of no use then: both ends speak in turn.
func splice(peer net.Conn, fromPeer io.Reader, database net.Conn) {
	done := make(chan struct{}, 2)
	copyTo := func(to io.Writer, from io.Reader) {
		_, _ = io.Copy(to, from)
		done <- struct{}{}
	}
	go copyTo(database, fromPeer)
	go copyTo(peer, database)
	<-done
	peer.Close()
	database.Close()
	<-done
}
