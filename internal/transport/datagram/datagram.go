// Package datagram exchanges short messages between instances over UDP. They
// are questions that may be repeated and answers that may be lost, so that a
// connection, which can go silent, would add nothing.
package datagram

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const (
	// maxBytes bounds a message; larger ones are not sent.
	maxBytes = 32 << 10
	// readPause keeps a failing socket from spinning.
	readPause = 50 * time.Millisecond
)

// Socket sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	log  zerolog.Logger
}

// Listen opens a socket at host:port.
func Listen(address string, log zerolog.Logger) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "datagram address %s", address)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for datagrams at %s", address)
	}
	return &Socket{conn: conn, log: log}, nil
}

// Send sends a message to host:port. It may be lost.
func (s *Socket) Send(address string, message []byte) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		s.log.Warn().Err(err).Str("peer", address).Msg("datagram not sent")
		return
	}
	s.write(to, message)
}

func (s *Socket) write(to *net.UDPAddr, message []byte) {
	if len(message) == 0 {
		return
	}
	if len(message) > maxBytes {
		s.log.Error().Int("bytes", len(message)).Stringer("peer", to).Msg("datagram too large, not sent")
		return
	}
	if _, err := s.conn.WriteToUDP(message, to); err != nil {
		s.log.Debug().Err(err).Stringer("peer", to).Msg("datagram not sent")
	}
}

// Serve answers messages with what receive returns, until the socket is
// closed.
func (s *Socket) Serve(receive func(message []byte) []byte) {
	buffer := make([]byte, maxBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Debug().Err(err).Msg("datagram not received")
			time.Sleep(readPause)
			continue
		}
		s.write(from, receive(buffer[:n]))
	}
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}
