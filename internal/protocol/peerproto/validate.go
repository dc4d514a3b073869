package peerproto

import (
	"encoding/binary"
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// maxDepth is the maximum nesting depth of the values in a body.
	maxDepth = 32
	// maxElements is the maximum number of elements of an array or map in a body.
	maxElements = 1 << 16
)

// ErrMalformed reports a body that is not exactly one well-formed msgpack value
// within maxDepth and maxElements.
var ErrMalformed = errors.New("malformed msgpack body")

// validateBody verifies that body is exactly one msgpack value and that it
// contains as many bytes and elements as its lengths state. It must run before
// decoding, because the msgpack library allocates slices of the length that the
// sender states.
func validateBody(body []byte) error {
	rest, err := skipValue(body, maxDepth)
	if err != nil {
		return err
	}
	if len(rest) != 0 {
		return ErrMalformed
	}
	return nil
}

// skipValue skips the first value of body and returns the remaining bytes. depth
// is the number of nesting levels that are still allowed.
func skipValue(body []byte, depth int) ([]byte, error) {
	if len(body) == 0 || depth == 0 {
		return nil, ErrMalformed
	}
	code, rest := body[0], body[1:]
	switch {
	case msgpcode.IsFixedNum(code), code == msgpcode.Nil, code == msgpcode.False, code == msgpcode.True:
		return rest, nil
	case msgpcode.IsFixedString(code):
		return skipBytes(rest, uint64(code&msgpcode.FixedStrMask))
	case msgpcode.IsFixedArray(code):
		return skipElements(rest, uint64(code&msgpcode.FixedArrayMask), 1, depth)
	case msgpcode.IsFixedMap(code):
		return skipElements(rest, uint64(code&msgpcode.FixedMapMask), 2, depth)
	}
	return skipSized(code, rest, depth)
}

// skipSized skips a value whose type code is followed by a number or a length.
func skipSized(code byte, rest []byte, depth int) ([]byte, error) {
	switch code {
	case msgpcode.Uint8, msgpcode.Int8:
		return skipBytes(rest, 1)
	case msgpcode.Uint16, msgpcode.Int16:
		return skipBytes(rest, 2)
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return skipBytes(rest, 4)
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return skipBytes(rest, 8)
	}
	width, elements := lengthPrefix(code)
	if width == 0 || len(rest) < width {
		return nil, ErrMalformed
	}
	var wide [8]byte
	copy(wide[8-width:], rest[:width])
	length := binary.BigEndian.Uint64(wide[:])
	if elements == 0 {
		return skipBytes(rest[width:], length)
	}
	return skipElements(rest[width:], length, elements, depth)
}

// lengthPrefix returns the width in bytes of the length that follows code, and
// the number of values per element: 0 for text and bytes, 1 for arrays, 2 for
// maps. A width of zero means that the code is not allowed.
func lengthPrefix(code byte) (width, elements int) {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8:
		return 1, 0
	case msgpcode.Str16, msgpcode.Bin16:
		return 2, 0
	case msgpcode.Str32, msgpcode.Bin32:
		return 4, 0
	case msgpcode.Array16:
		return 2, 1
	case msgpcode.Array32:
		return 4, 1
	case msgpcode.Map16:
		return 2, 2
	case msgpcode.Map32:
		return 4, 2
	default:
		return 0, 0
	}
}

func skipBytes(rest []byte, count uint64) ([]byte, error) {
	if count > uint64(len(rest)) {
		return nil, ErrMalformed
	}
	return rest[count:], nil
}

func skipElements(rest []byte, count uint64, valuesPerElement, depth int) ([]byte, error) {
	if count > maxElements {
		return nil, ErrMalformed
	}
	var err error
	for range count * uint64(valuesPerElement) {
		rest, err = skipValue(rest, depth-1)
		if err != nil {
			return nil, err
		}
	}
	return rest, nil
}
