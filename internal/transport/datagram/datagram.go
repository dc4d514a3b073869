// Package datagram exchanges short messages between instances over UDP. The
// messages are requests that may be repeated and responses that may be lost. TCP
// would bring no advantage here, and a connection can stop delivering unnoticed.
package datagram

import (
	"errors"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

const (
	// maxMessageBytes is the maximum size of a message; larger ones are not sent.
	maxMessageBytes = 32 << 10
	// readRetryDelay is the pause after a failed read. It prevents a busy loop
	// while the socket keeps failing.
	readRetryDelay = 50 * time.Millisecond
)

// Topic is the first byte of a datagram. It selects the handler of the message.
type Topic byte

// Socket is a UDP socket that sends and receives messages of several topics.
type Socket struct {
	conn *net.UDPConn
	log  zerolog.Logger
}

// Sender sends the messages of one topic.
type Sender struct {
	socket *Socket
	topic  Topic
}

// Sender returns a sender for a topic.
func (s *Socket) Sender(topic Topic) Sender {
	return Sender{socket: s, topic: topic}
}

// Send sends a message to host:port. Delivery is not guaranteed, and failures
// are only logged.
func (s Sender) Send(address string, message []byte) {
	to, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		s.socket.log.Warn().Err(err).Str("peer", address).Msg("datagram not sent")
		return
	}
	s.socket.write(to, s.topic, message)
}

// Listen opens a UDP socket at host:port.
func Listen(address string, log zerolog.Logger) (*Socket, error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve datagram address %s", address)
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
	if len(message) > maxMessageBytes {
		s.log.Error().Int("bytes", len(message)).Stringer("peer", to).Msg("datagram too large, not sent")
		return
	}
	if _, err := s.conn.WriteToUDP(append([]byte{byte(topic)}, message...), to); err != nil {
		s.log.Debug().Err(err).Stringer("peer", to).Msg("datagram not sent")
	}
}

// Serve passes each message to its topic's handler and sends back what the
// handler returns, unless that is empty. It returns when the socket is closed.
func (s *Socket) Serve(handlers map[Topic]func(message []byte) []byte) {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := s.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			s.log.Debug().Err(err).Msg("receive datagram failed")
			time.Sleep(readRetryDelay)
			continue
		}
		if n == 0 {
			continue
		}
		topic := Topic(buffer[0])
		handle, known := handlers[topic]
		if !known {
			s.log.Warn().Uint8("topic", buffer[0]).Stringer("peer", from).Msg("datagram with unknown topic dropped")
			continue
		}
		s.write(from, topic, handle(buffer[1:n]))
	}
}

// Close closes the socket.
func (s *Socket) Close() error {
	return s.conn.Close()
}
