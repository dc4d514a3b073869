package ratelimit

import (
	"bytes"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

const messageVersion = 1

// kind is what a message is.
type kind uint8

const (
	// kindAsk asks a home for permits, returns others and pledges its sender.
	kindAsk kind = iota + 1
	// kindGrant is the home's answer.
	kindGrant
	// kindLeave tells that a home is leaving and holds no pledges any more.
	kindLeave
	// kindForget tells that its sender's earlier runs have ended, and kindForgotten
	// that no pledge of theirs counts any more. Earlier builds answer neither.
	kindForget
	kindForgotten
)

// nonce is a time on the clock of one run of a home.
type nonce struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Run int64
	At  state.Instant
}

// pledge lends its sender's weight to a home.
type pledge struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	// Denominator is one over the weight; 0 withdraws the pledge.
	Denominator int
	// Length is how long the pledge lasts from when the home sent the nonce.
	Length time.Duration
}

// item is about one workspace.
type item struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Workspace state.WorkspaceID
	// Count is how many permits are asked for or granted.
	Count int
	// Back is how many unused permits are returned.
	Back int
	// Limit is the sender's, if its configuration is newer than the home's.
	Limit *limit
	// WaitMillis is the time until the bucket holds another permit, rounded up.
	WaitMillis int
}

// limit is a state.RateLimit.
type limit struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	PerSecond, Burst float64
}

type message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by msgpack

	Version uint8
	Kind    kind
	Shard   uint8
	// From is empty in answers.
	From state.InstanceID
	// Run and Sequence number the messages of one run of an asking instance. The
	// answer repeats them.
	Run      int64
	Sequence uint64
	// Configuration is the version of the sender's configuration.
	Configuration uint64
	// Pledge is the sender's, if it makes or withdraws one.
	Pledge *pledge
	// Nonce is the home's; messages to it repeat the last one received.
	Nonce nonce
	// Weight is the sum of the pledges that the home holds.
	Weight float32
	Items  []item
}

func (m *message) encode() ([]byte, error) {
	m.Version = messageVersion
	var encoded bytes.Buffer
	encoder := msgpack.NewEncoder(&encoded)
	encoder.UseCompactInts(true)
	err := encoder.Encode(m)
	return encoded.Bytes(), eris.Wrapf(err, "encode a message on limits of shard %d", m.Shard)
}

func decodeMessage(datagram []byte) (*message, error) {
	var m message
	if err := packed.Unmarshal(datagram, &m); err != nil {
		return nil, eris.Wrap(err, "decode a message on limits")
	}
	if m.Version != messageVersion || m.Shard >= shardCount || len(m.Items) > maxItems {
		return nil, eris.Errorf("message on limits from %s: version %d, shard %d, %d items", m.From, m.Version, m.Shard, len(m.Items))
	}
	return &m, nil
}
