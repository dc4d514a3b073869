package peerproto

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

// InitialWindow is how many bytes of event bodies may be sent on a stream
// before the first Credit.
const InitialWindow = 256 << 10

// Open requests a stream on a backend server.
type Open struct {
	Request execution.OpenRequest `msgpack:"request"`
}

// Unit starts a unit on a stream. The units of a stream are numbered
// consecutively from 1.
type Unit struct {
	Number uint64         `msgpack:"n"`
	Unit   execution.Unit `msgpack:"u"`
}

// Event is one event of the reply to the unit with the given number.
type Event struct {
	Number uint64          `msgpack:"n"`
	Event  execution.Event `msgpack:"e"`
}

// Cancel cancels only the unit with the given number.
type Cancel struct {
	Number uint64 `msgpack:"n"`
}

// Credit allows the peer to send the given number of further bytes of event
// bodies on a stream.
type Credit struct {
	Bytes uint64 `msgpack:"b"`
}

// Ping is the body of KindPing and of KindPong, which repeats the number.
type Ping struct {
	Number uint64 `msgpack:"n"`
}

// Call is one unary request. Body is the encoded request.
type Call struct {
	Method string `msgpack:"method"`
	Body   []byte `msgpack:"body"`
	// Timeout is how long the caller waits for the reply, counted from when it
	// sent the call. Zero means no limit.
	Timeout time.Duration `msgpack:"timeout"`
}

// Reply is the response to a Call. Body is the encoded response.
type Reply struct {
	Body []byte `msgpack:"body"`
}

// Marshal encodes a frame body, or the request or response of a call.
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

// Unmarshal decodes data that Marshal encoded into target, a pointer. The
// memory that it allocates is proportional to the size of data.
func Unmarshal(data []byte, target any) error {
	if err := validateBody(data); err != nil {
		return eris.Wrapf(err, "decode %T", target)
	}
	if err := packed.Unmarshal(data, target); err != nil {
		return eris.Wrapf(err, "decode %T", target)
	}
	return nil
}

// PortableFailure returns a copy of failure that can be encoded without losing
// text. The cause cannot be encoded, so its text is appended to the message.
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
// recognise becomes state.OutcomeUnknown, because the request may have run.
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
