package peerproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kind tells what a frame carries.
type Kind uint8

// The kinds of frames. Numbers are never reused.
const (
	KindHello     Kind = 1  // Hello, first frame of the dialling side
	KindChallenge Kind = 2  // Challenge, answer of the accepting side
	KindProof     Kind = 3  // Proof, last frame of the dialling side's handshake
	KindWelcome   Kind = 4  // Welcome, last frame of the handshake
	KindRefuse    Kind = 5  // Refuse, ends a handshake that cannot succeed
	KindOpen      Kind = 16 // Open, asks for a stream
	KindOpened    Kind = 17 // no body, a stream is held
	KindUnit      Kind = 18 // Unit, starts a unit on a stream
	KindEvent     Kind = 19 // Event, one step of a unit's answer
	KindCancel    Kind = 20 // Cancel, cancels one unit
	KindClose     Kind = 21 // no body, ends a stream
	KindCredit    Kind = 22 // Credit, lets the peer send more event bytes
	KindFailure   Kind = 23 // state.Failure, ends a stream or a call
	KindCall      Kind = 24 // Call, one unary request
	KindReply     Kind = 25 // Reply, the answer to a Call
	KindPing      Kind = 32 // Ping, asks for a Pong at once
	KindPong      Kind = 33 // Ping, with the number of the Ping
	KindGoAway    Kind = 34 // no body, the sender accepts no new streams
)

const (
	lengthBytes = 4
	// headerBytes is the part of a frame that its length counts, but the body.
	headerBytes = 1 + 1 + 8
	// FrameOverhead is what a frame takes beyond its body, in bytes.
	FrameOverhead = lengthBytes + headerBytes
	// DefaultMaxFrame bounds a frame's body after the handshake, in bytes.
	DefaultMaxFrame = 16 << 20
	// MaxHandshakeFrame bounds a frame's body in the handshake, in bytes.
	MaxHandshakeFrame = 4 << 10
	// readStep bounds what is allocated ahead of the bytes that arrived.
	readStep = 64 << 10
)

// Frame is one frame. Stream is zero on frames that concern the whole link.
type Frame struct {
	Kind   Kind
	Flags  uint8
	Stream uint64
	Body   []byte
}

// FrameSizeError says that a frame's body is above the limit.
type FrameSizeError struct {
	Size  int
	Limit int
}

// Error names the size and the limit in bytes.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes is above the limit of %d", e.Size, e.Limit)
}

// ErrShortFrame says that a frame's length does not cover its own header.
var ErrShortFrame = errors.New("frame shorter than its header")

// AppendFrame appends the encoded frame to dst.
func AppendFrame(dst []byte, frame Frame) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(headerBytes+len(frame.Body)))
	dst = append(dst, byte(frame.Kind), frame.Flags)
	dst = binary.BigEndian.AppendUint64(dst, frame.Stream)
	return append(dst, frame.Body...)
}

// FrameReader reads frames from a byte stream. It is for one goroutine.
type FrameReader struct {
	source io.Reader
	limit  int
	head   [FrameOverhead]byte
	body   []byte
}

// NewFrameReader returns a reader that refuses bodies above limit bytes.
func NewFrameReader(source io.Reader, limit int) *FrameReader {
	return &FrameReader{source: source, limit: limit}
}

// Next reads one frame. Its body is valid until the next call. The error is
// io.EOF only where the source ended between frames.
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

// readBody fills r.body with size bytes, allocating no more than readStep
// ahead of what has arrived.
func (r *FrameReader) readBody(size int) error {
	if cap(r.body) > readStep {
		r.body = nil
	}
	r.body = r.body[:0]
	for len(r.body) < size {
		start := len(r.body)
		step := min(size-start, max(readStep, start))
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
