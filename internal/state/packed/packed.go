// Package packed decodes msgpack messages and rows that may come from anyone. The decoder
// that it uses allocates what the length of an array claims, so that eight bytes can end
// the process, and follows any nesting. Check refuses both first.
package packed

import (
	"encoding/binary"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// maxDepth is how deeply values may be nested. No message needs more than six.
const maxDepth = 32

// Unmarshal decodes a message whose lengths hold what they claim. The decoder panics when
// nothing stands in the place of some types, which is an error here.
func Unmarshal(data []byte, into any) (err error) {
	if err := Check(data); err != nil {
		return err
	}
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("packed value: the decoder panicked: %v", cause)
		}
	}()
	return msgpack.Unmarshal(data, into)
}

// Check reports an error unless the data begins with one complete value.
func Check(data []byte) error {
	r := reader{rest: data}
	return r.value(maxDepth)
}

// reader holds what is left to be read.
type reader struct{ rest []byte }

var errCutOff = eris.New("packed value: shorter than its lengths claim")

// skip passes over some bytes.
func (r *reader) skip(count uint64) error {
	if count > uint64(len(r.rest)) {
		return errCutOff
	}
	r.rest = r.rest[count:]
	return nil
}

// length reads a length of 1, 2 or 4 bytes.
func (r *reader) length(size int) (uint64, error) {
	bytes := r.rest
	if err := r.skip(uint64(size)); err != nil {
		return 0, err
	}
	switch size {
	case 1:
		return uint64(bytes[0]), nil
	case 2:
		return uint64(binary.BigEndian.Uint16(bytes)), nil
	default:
		return uint64(binary.BigEndian.Uint32(bytes)), nil
	}
}

// value passes over one value, in which others may be nested to a depth.
func (r *reader) value(depth int) error {
	if depth == 0 {
		return eris.Errorf("packed value: nested more than %d deep", maxDepth)
	}
	if len(r.rest) == 0 {
		return errCutOff
	}
	code := r.rest[0]
	r.rest = r.rest[1:]
	switch {
	case code <= 0x7f, code >= 0xe0: // a small number
		return nil
	case code <= 0x8f: // a small map
		return r.values(2*uint64(code&0x0f), depth)
	case code <= 0x9f: // a small array
		return r.values(uint64(code&0x0f), depth)
	case code <= 0xbf: // a short text
		return r.skip(uint64(code & 0x1f))
	default:
		return r.longValue(code, depth)
	}
}

// form is what follows a code: a length of some bytes if lengthBytes isn't 0, then fixed
// bytes, then as many bytes or values as the length says.
type form struct {
	lengthBytes int
	fixed       uint64
	// each is the number of values for each unit of the length, 0 for bytes.
	each uint64
}

// forms holds the forms of the codes from 0xc0 on.
var forms = [...]form{
	{}, {}, {}, {}, // nil, unused, false, true
	{lengthBytes: 1}, {lengthBytes: 2}, {lengthBytes: 4}, // bytes
	{lengthBytes: 1, fixed: 1}, {lengthBytes: 2, fixed: 1}, {lengthBytes: 4, fixed: 1}, // extensions
	{fixed: 4}, {fixed: 8}, // floating-point numbers
	{fixed: 1}, {fixed: 2}, {fixed: 4}, {fixed: 8}, // whole numbers
	{fixed: 1}, {fixed: 2}, {fixed: 4}, {fixed: 8}, // signed numbers
	{fixed: 2}, {fixed: 3}, {fixed: 5}, {fixed: 9}, {fixed: 17}, // short extensions
	{lengthBytes: 1}, {lengthBytes: 2}, {lengthBytes: 4}, // texts
	{lengthBytes: 2, each: 1}, {lengthBytes: 4, each: 1}, // arrays
	{lengthBytes: 2, each: 2}, {lengthBytes: 4, each: 2}, // maps
}

// firstForm is the code of the first of forms.
const firstForm = 0xc0

func (r *reader) longValue(code byte, depth int) error {
	form := forms[code-firstForm]
	var length uint64
	if form.lengthBytes > 0 {
		var err error
		if length, err = r.length(form.lengthBytes); err != nil {
			return err
		}
	}
	if form.each > 0 {
		return r.values(form.each*length, depth)
	}
	return r.skip(form.fixed + length)
}

// values passes over nested values. Each takes at least a byte.
func (r *reader) values(count uint64, depth int) error {
	if count > uint64(len(r.rest)) {
		return errCutOff
	}
	for range count {
		if err := r.value(depth - 1); err != nil {
			return err
		}
	}
	return nil
}
