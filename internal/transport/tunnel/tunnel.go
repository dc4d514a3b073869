// Package tunnel forwards connections to databases through another instance,
// for instances that cannot reach a database themselves. A tunnel begins with one
// frame in each direction, a length followed by a msgpack message; after that it
// copies bytes unchanged. The other instance connects only to databases that are
// registered with it.
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
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/socket"
)

const (
	// maxFrameBytes is the maximum size of an opening frame, which holds an id
	// or a reason.
	maxFrameBytes = 1 << 10
	// openTimeout bounds the time in which the other instance connects to the
	// database. A round trip between regions takes 24 ms.
	openTimeout = 300 * time.Millisecond
	// maxTunnels is the maximum number of tunnels through one instance. Each
	// takes two of the few hundred file descriptors that are reserved for
	// purposes other than clients.
	maxTunnels = 150
)

// request is the message that requests a tunnel to a database.
type request struct {
	Database state.DatabaseID `msgpack:"database"`
}

// response is the reply to a request. An empty reason means that the database
// is connected.
type response struct {
	Reason string `msgpack:"reason"`
}

// RefusedError reports that the other instance did not open a tunnel.
type RefusedError struct {
	Peer     string
	Database state.DatabaseID
	Reason   string
}

// Error returns a message with the peer, the database and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("tunnel to %s through %s refused: %s", e.Database, e.Peer, e.Reason)
}

// Open connects to a database through the instance at peer, given as host:port.
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
	result, err := handshake(conn, database)
	if err == nil && result.Reason != "" {
		err = &RefusedError{Peer: peer, Database: database, Reason: result.Reason}
	}
	if err != nil {
		conn.Close()
		return nil, eris.Wrapf(err, "tunnel to %s through %s", database, peer)
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

func handshake(conn net.Conn, database state.DatabaseID) (response, error) {
	var result response
	if err := writeFrame(conn, request{Database: database}); err != nil {
		return result, err
	}
	return result, readFrame(conn, &result)
}

func writeFrame(w io.Writer, message any) error {
	body, err := msgpack.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	frame := binary.BigEndian.AppendUint16(nil, uint16(len(body)))
	_, err = w.Write(append(frame, body...))
	return eris.Wrap(err, "write frame")
}

func readFrame(r io.Reader, message any) error {
	var length [2]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return eris.Wrap(err, "read frame length")
	}
	size := binary.BigEndian.Uint16(length[:])
	if size > maxFrameBytes {
		return eris.Errorf("frame of %d bytes is too long", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return eris.Wrap(err, "read frame body")
	}
	return eris.Wrap(packed.Unmarshal(body, message), "decode frame")
}

// Server forwards connections of other instances to databases.
type Server struct {
	lookup func(id state.DatabaseID) (address string, known bool)
	log    zerolog.Logger
	// slots holds one element for each open tunnel.
	slots chan struct{}
	// Others serves connections that begin with a byte of at least OtherProtocols.
	// They are not tunnels, whose first byte is that of a short length.
	Others func(conn net.Conn, r *bufio.Reader)
}

// OtherProtocols is the least first byte of connections that are not tunnels.
const OtherProtocols byte = 'A'

// NewServer returns a server that finds the addresses of databases with lookup.
func NewServer(lookup func(id state.DatabaseID) (string, bool), log zerolog.Logger) *Server {
	return &Server{lookup: lookup, log: log, slots: make(chan struct{}, maxTunnels)}
}

// Serve accepts tunnels until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveTunnel(conn)
	}
}

func (s *Server) serveTunnel(peer net.Conn) {
	defer peer.Close()
	socket.SetUserTimeout(peer, socket.BackendUserTimeout)
	peer.SetDeadline(time.Now().Add(2 * openTimeout))
	reader := bufio.NewReader(peer)
	if first, err := reader.Peek(1); err == nil && first[0] >= OtherProtocols && s.Others != nil {
		s.Others(peer, reader)
		return
	}
	var opening request
	if err := readFrame(reader, &opening); err != nil {
		s.log.Warn().Err(err).Stringer("peer", peer.RemoteAddr()).Msg("tunnel not opened")
		return
	}
	database, err := s.connect(opening.Database)
	var result response
	if err != nil {
		result.Reason = err.Error()
	} else {
		defer database.Close()
		defer func() { <-s.slots }()
	}
	if err := writeFrame(peer, result); err != nil || result.Reason != "" {
		s.log.Warn().AnErr("error", err).Str("reason", result.Reason).Str("database", string(opening.Database)).
			Stringer("peer", peer.RemoteAddr()).Msg("tunnel not opened")
		return
	}
	peer.SetDeadline(time.Time{})
	splice(peer, reader, database)
}

// connect connects to a database and takes one of the slots for tunnels.
func (s *Server) connect(id state.DatabaseID) (net.Conn, error) {
	address, known := s.lookup(id)
	if !known {
		return nil, eris.Errorf("database %s is not registered", id)
	}
	select {
	case s.slots <- struct{}{}:
	default:
		return nil, eris.Errorf("%d tunnels are open", maxTunnels)
	}
	conn, err := net.DialTimeout("tcp", address, openTimeout)
	if err != nil {
		<-s.slots
		return nil, eris.Wrapf(err, "connect to %s", id)
	}
	socket.SetUserTimeout(conn, socket.BackendUserTimeout)
	return conn, nil
}

// splice copies both ways until either side closes its connection, and then
// closes both. The protocol alternates requests and replies, so no data of the
// other direction can still be needed.
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
