package backend

import (
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
)

const (
	headerBytes       = 5 // type byte and length
	lengthBytes       = 4
	initialBufferSize = 16 << 10
	// keptBufferSize is the largest buffer that is kept after a large message.
	keptBufferSize = 256 << 10
)

// messageReader splits a stream into protocol messages. A read that exceeds its
// deadline loses no data: the next call continues where it stopped.
type messageReader struct {
	source io.Reader
	limit  int // size in bytes of the largest accepted message
	buffer []byte
	start  int // first byte not yet returned
	end    int // end of the bytes received
}

func newMessageReader(source io.Reader, limit, bufferBytes int) *messageReader {
	return &messageReader{source: source, limit: limit, buffer: make([]byte, bufferBytes)}
}

// next returns the next whole message, which is valid until the next call.
func (r *messageReader) next() ([]byte, error) {
	if err := r.fill(headerBytes); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(r.buffer[r.start+1:])
	if length < lengthBytes {
		return nil, eris.Errorf("message length %d is too small", length)
	}
	if uint64(length)+1 > uint64(r.limit) {
		return nil, eris.Errorf("message of %d bytes is over the limit of %d", uint64(length)+1, r.limit)
	}
	size := int(length) + 1
	if err := r.fill(size); err != nil {
		return nil, err
	}
	message := r.buffer[r.start : r.start+size : r.start+size]
	r.start += size
	return message, nil
}

// buffered reports whether next would return without reading.
func (r *messageReader) buffered() bool {
	have := r.end - r.start
	if have < headerBytes {
		return false
	}
	return have > int(binary.BigEndian.Uint32(r.buffer[r.start+1:]))
}

// fill makes count bytes available past start.
func (r *messageReader) fill(count int) error {
	if r.end-r.start >= count {
		return nil
	}
	r.makeRoom(count)
	for r.end-r.start < count {
		n, err := r.source.Read(r.buffer[r.end:])
		r.end += n
		if err != nil && r.end-r.start < count {
			return err
		}
	}
	return nil
}

// makeRoom moves the unread bytes to the front of a buffer that can hold count
// bytes. It replaces a buffer above keptBufferSize once a small one is enough.
func (r *messageReader) makeRoom(count int) {
	left := r.buffer[r.start:r.end]
	switch {
	case count > len(r.buffer):
		r.buffer = make([]byte, max(count, 2*len(r.buffer)))
	case len(r.buffer) > keptBufferSize && max(count, len(left)) <= initialBufferSize:
		r.buffer = make([]byte, initialBufferSize)
	}
	copy(r.buffer, left)
	r.start, r.end = 0, len(left)
}
