package peerproto

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// InitialWindow is how many bytes of event bodies may be sent on a stream
// before the first Credit.
const InitialWindow = 256 << 10

// Open asks for a stream on a backend server.
type Open struct {
	Request execution.OpenRequest `msgpack:"request"`
}

// Unit starts the unit with the given number on a stream. Numbers start at 1
// and go up by 1.
type Unit struct {
	Number uint64         `msgpack:"n"`
	Unit   execution.Unit `msgpack:"u"`
}

// Event is one step of the answer to the unit with the given number.
type Event struct {
	Number uint64          `msgpack:"n"`
	Event  execution.Event `msgpack:"e"`
}

// Cancel cancels the unit with the given number and no other.
type Cancel struct {
	Number uint64 `msgpack:"n"`
}

// Credit lets the peer send that many more bytes of event bodies on a stream.
type Credit struct {
	Bytes uint64 `msgpack:"b"`
}

// Ping asks for a Pong with the same number.
type Ping struct {
	Number uint64 `msgpack:"n"`
}

// Call is one unary request. Body is the encoded request.
type Call struct {
	Method string `msgpack:"method"`
	Body   []byte `msgpack:"body"`
	// Timeout is how long the caller goes on waiting, from when it sent the
	// call; zero means no bound.
	Timeout time.Duration `msgpack:"timeout"`
}

// Reply is the answer to a Call. Body is the encoded answer.
type Reply struct {
	Body []byte `msgpack:"body"`
}

// Marshal encodes a frame body or the request or answer of a call.
func Marshal(body any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(body); err != nil {
		return nil, eris.Wrapf(err, "encode %T", body)
	}
	return buffer.Bytes(), nil
}

// Unmarshal decodes what Marshal encoded into target, a pointer. It allocates
// in proportion to the size of data.
func Unmarshal(data []byte, target any) error {
	if err := checkShape(data); err != nil {
		return eris.Wrapf(err, "decode %T", target)
	}
	if err := msgpack.Unmarshal(data, target); err != nil {
		return eris.Wrapf(err, "decode %T", target)
	}
	return nil
}

// PortableFailure returns a copy of failure that loses nothing readable when
// it is encoded: the cause's text, which has no encoding, joins the message.
func PortableFailure(failure *state.Failure) *state.Failure {
	portable := *failure
	portable.Cause = nil
	switch {
	case failure.Cause == nil:
	case portable.Message == "":
		portable.Message = failure.Cause.Error()
	default:
		portable.Message += ": " + failure.Cause.Error()
	}
	return &portable
}

// UnmarshalFailure decodes a Failure. An outcome that this release does not
// know becomes unknown, because nothing less is proved.
func UnmarshalFailure(data []byte) (*state.Failure, error) {
	failure := &state.Failure{}
	if err := Unmarshal(data, failure); err != nil {
		return nil, err
	}
	if failure.Outcome != state.OutcomeNotRun {
		failure.Outcome = state.OutcomeUnknown
	}
	return failure, nil
}
