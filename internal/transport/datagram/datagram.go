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

// Topic is the first byte of a datagram, which tells who it is for.
type Topic byte

// Socket sends and receives datagrams.
type Socket struct {
	conn *net.UDPConn
	log  zerolog.Logger
}

// Sender sends the messages of one topic.
type Sender struct {
	socket *Socket
	topic  Topic
}

// Sender returns the sender of a topic.
func (s *Socket) Sender(topic Topic) Sender {
	return Sender{socket: s, topic: topic}
}

// Send sends a message to host:port. It may be lost.
func (s Sender) Send(address string, message []byte) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		s.socket.log.Warn().Err(err).Str("peer", address).Msg("datagram not sent")
		return
	}
	s.socket.write(to, s.topic, message)
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

func (s *Socket) write(to *net.UDPAddr, topic Topic, message []byte) {
	if len(message) == 0 {
		return
	}
	if len(message) > maxBytes {
		s.log.Error().Int("bytes", len(message)).Stringer("peer", to).Msg("datagram too large, not sent")
		return
	}
	if _, err := s.conn.WriteToUDP(append([]byte{byte(topic)}, message...), to); err != nil {
		s.log.Debug().Err(err).Stringer("peer", to).Msg("datagram not sent")
	}
}

// Serve answers the messages of each topic with what its receiver returns,
// until the socket is closed.
func (s *Socket) Serve(receivers map[Topic]func(message []byte) []byte) {
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
		if n == 0 {
			continue
		}
		topic := Topic(buffer[0])
		receive, known := receivers[topic]
		if !known {
			s.log.Warn().Uint8("topic", buffer[0]).Stringer("peer", from).Msg("datagram of an unknown topic")
			continue
		}
		s.write(from, topic, receive(buffer[1:n]))
	}
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}
