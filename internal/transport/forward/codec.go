// Package forward carries the calls of package forwarding between instances. All
// streams between two instances share one TCP connection, the link, which opens
// when it is needed and closes when it is idle. A link begins with a preamble that
// states the version; after that each side sends frames: a length, a kind, the
// number of a stream and a msgpack message. A malformed frame ends the link.
//
// Locks: those of link, Client and Server are leaves. No lock is held during I/O.
package forward

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// Preamble is the first byte of a link. It differs from that of a tunnel, which
// begins with the length of a short frame.
const Preamble byte = 'F'

// version is the version of the frames. Instances of different versions do not
// forward to each other.
const version byte = 1

const (
	// maxFrameBytes bounds a frame. A reply holds some rows of at most 1 MiB.
	maxFrameBytes = 16 << 20
	// headerBytes is the size of a frame's header: length, kind and stream.
	headerBytes = 4 + 1 + 4
	// readStepBytes is how much is read of a long frame before more memory is
	// taken for it.
	readStepBytes = 64 << 10
)

// kind is the kind of a frame.
type kind byte

const (
	kindCall kind = iota + 1
	kindAnswer
	kindClose
	kindPing
	kindPong
)

// frame is one decoded frame.
type frame struct {
	kind   kind
	stream uint32
	body   []byte
}

// appendFrame appends a frame to a buffer. message may be nil.
func appendFrame(buffer []byte, of kind, stream uint32, message any) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, 0, 0, 0, 0, byte(of))
	buffer = binary.BigEndian.AppendUint32(buffer, stream)
	if message != nil {
		w := bytes.NewBuffer(buffer)
		encoder := msgpack.NewEncoder(w)
		encoder.UseArrayEncodedStructs(true)
		if err := encoder.Encode(message); err != nil {
			return nil, eris.Wrap(err, "encode frame")
		}
		buffer = w.Bytes()
	}
	size := len(buffer) - start - headerBytes
	if size > maxFrameBytes {
		return nil, eris.Errorf("frame of %d bytes is too long", size)
	}
	binary.BigEndian.PutUint32(buffer[start:], uint32(size))
	return buffer, nil
}

// readFrame reads a frame. Memory for a long body is taken as it arrives.
func readFrame(r io.Reader) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, eris.Wrap(err, "read frame header")
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > maxFrameBytes {
		return frame{}, eris.Errorf("frame of %d bytes is too long", size)
	}
	f := frame{kind: kind(header[4]), stream: binary.BigEndian.Uint32(header[5:])}
	for len(f.body) < size {
		step := min(size-len(f.body), readStepBytes)
		from := len(f.body)
		f.body = append(f.body, make([]byte, step)...)
		if _, err := io.ReadFull(r, f.body[from:]); err != nil {
			return frame{}, eris.Wrap(err, "read frame body")
		}
	}
	return f, nil
}

// callMessage is a call on the wire, an array of its fields. Times are in
// milliseconds.
type callMessage struct {
	Operation uint8
	Group     string
	Database  string
	Born      int64
	Workspace string
	Priority  int
	Primary   bool
	Values    map[string]string
	Prepared  *preparedMessage
	ID        string
	Text      string
	After     positionMessage
	Wait      uint32
	Left      uint32
}

type preparedMessage struct {
	Name   string
	Shape  string
	Writes bool
}

type positionMessage struct {
	Term   uint64
	Offset uint64
}

// answerMessage is an answer on the wire, an array of its fields.
type answerMessage struct {
	Refusal     uint8
	Detail      string
	RetryAfter  uint32
	Rows        []string
	Proof       string
	Code        uint8
	CodeDetail  string
	Transaction uint8
	Position    positionMessage
}
