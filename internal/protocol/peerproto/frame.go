package peerproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kind identifies the type of a frame and of its body.
type Kind uint8

// The kinds of frames, each with the type of its body. Numbers are never
// reused.
const (
	KindHello     Kind = 1  // Hello, first frame of the dialling side
	KindChallenge Kind = 2  // Challenge, the accepting side's reply to Hello
	KindProof     Kind = 3  // Proof, last handshake frame of the dialling side
	KindWelcome   Kind = 4  // Welcome, last frame of the handshake
	KindRefuse    Kind = 5  // Refuse, ends a handshake that cannot succeed
	KindOpen      Kind = 16 // Open, requests a stream
	KindOpened    Kind = 17 // no body, the requested stream is open
	KindUnit      Kind = 18 // Unit, starts a unit on a stream
	KindEvent     Kind = 19 // Event, one event of the reply to a unit
	KindCancel    Kind = 20 // Cancel, cancels one unit
	KindClose     Kind = 21 // no body, ends a stream
	KindCredit    Kind = 22 // Credit, allows the peer to send more event bytes
	KindFailure   Kind = 23 // state.Failure, ends a stream or a call
	KindCall      Kind = 24 // Call, one unary request
	KindReply     Kind = 25 // Reply, the response to a Call
	KindPing      Kind = 32 // Ping, requests an immediate Pong
	KindPong      Kind = 33 // Ping, with the number of the received Ping
	KindGoAway    Kind = 34 // no body, the sender accepts no new streams
)

const (
	lengthBytes = 4
	// headerBytes is the size of the header after the length: kind, flags and
	// stream id.
	headerBytes = 1 + 1 + 8
	// FrameOverhead is the size of a frame without its body, in bytes.
	FrameOverhead = lengthBytes + headerBytes
	// DefaultMaxFrame is the largest frame body after the handshake, in bytes.
	DefaultMaxFrame = 16 << 20
	// MaxHandshakeFrame is the largest frame body in the handshake, in bytes.
	MaxHandshakeFrame = 4 << 10
	// readChunk is the first step, in bytes, by which a body's buffer grows. It
	// limits the memory that a peer claims with a length whose bytes it does
	// not send.
	readChunk = 64 << 10
)

// Frame is one decoded frame. Stream is zero on frames that apply to the whole
// connection.
type Frame struct {
	Kind   Kind
	Flags  uint8
	Stream uint64
	Body   []byte
}

// FrameSizeError reports a frame whose body exceeds the size limit.
type FrameSizeError struct {
	Size  int
	Limit int
}

// Error returns a message with the size and the limit in bytes.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d", e.Size, e.Limit)
}

// ErrShortFrame reports a frame whose length is too small for its header.
var ErrShortFrame = errors.New("frame shorter than its header")

// AppendFrame appends the encoded frame to dst.
func AppendFrame(dst []byte, frame Frame) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(headerBytes+len(frame.Body)))
	dst = append(dst, byte(frame.Kind), frame.Flags)
	dst = binary.BigEndian.AppendUint64(dst, frame.Stream)
	return append(dst, frame.Body...)
}

// FrameReader reads frames from a byte stream. It is not safe for concurrent
// use.
type FrameReader struct {
	source io.Reader
	limit  int
	head   [FrameOverhead]byte
	body   []byte
}

// NewFrameReader returns a reader that rejects bodies larger than limit bytes.
func NewFrameReader(source io.Reader, limit int) *FrameReader {
	return &FrameReader{source: source, limit: limit}
}

// Next reads one frame. Its body is valid until the next call. The error is
// io.EOF only if the source ended between frames.
func (r *FrameReader) Next() (Frame, error) {
	if _, err := io.ReadFull(r.source, r.head[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(r.head[:lengthBytes])
	if length < headerBytes {
		return Frame{}, ErrShortFrame
	}
	size := int(length) - headerBytes
	if size > r.limit {
		return Frame{}, &FrameSizeError{Size: size, Limit: r.limit}
	}
	if err := r.readBody(size); err != nil {
		return Frame{}, err
	}
	return Frame{
		Kind:   Kind(r.head[4]),
		Flags:  r.head[5],
		Stream: binary.BigEndian.Uint64(r.head[6:]),
		Body:   r.body,
	}, nil
}

// readBody fills r.body with size bytes. The buffer grows by readChunk or by the
// number of bytes received so far, whichever is larger, so that allocation
// stays in proportion to the data received. A buffer larger than readChunk is
// not kept for the next frame.
func (r *FrameReader) readBody(size int) error {
	if cap(r.body) > readChunk {
		r.body = nil
	}
	r.body = r.body[:0]
	for len(r.body) < size {
		start := len(r.body)
		step := min(size-start, max(readChunk, start))
		r.body = append(r.body, make([]byte, step)...)
		if _, err := io.ReadFull(r.source, r.body[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}
