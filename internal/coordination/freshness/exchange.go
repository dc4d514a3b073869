package freshness

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// askedPeers is how many other instances are asked at a time. An instance
	// that serves writes of a group proves a position several times a second,
	// so that most of them know a recent one.
	askedPeers = 4
	// askPause is the least time between two rounds of questions about a
	// group: a round trip between regions is 24 ms.
	askPause = 40 * time.Millisecond
)

// SharedClock relates the local clock to one that all instances can read.
type SharedClock interface {
	// StoreOffsets bounds what the shared clock is ahead of the local one.
	StoreOffsets() (lower, upper time.Duration, known bool)
}

// Messenger sends datagrams to other instances. A message may be lost.
type Messenger interface {
	Send(address string, message []byte)
}

// Exchange asks other instances for the positions that they have proven, where
// this instance has not reached a primary itself. What a proof says of the
// group holds for every reader; only its time must be translated, with the
// bounds of both clocks taken at their worst.
type Exchange struct {
	*Tracker
	clock     SharedClock
	local     state.Clock
	peers     func() []string
	messenger Messenger
	log       zerolog.Logger

	// mu is a leaf.
	mu    sync.Mutex
	asked map[state.GroupID]state.Instant
}

// NewExchange returns an exchange that adds to a tracker.
func NewExchange(tracker *Tracker, clock SharedClock, local state.Clock, peers func() []string, messenger Messenger, log zerolog.Logger) *Exchange {
	return &Exchange{
		Tracker: tracker, clock: clock, local: local, peers: peers, messenger: messenger, log: log,
		asked: make(map[state.GroupID]state.Instant),
	}
}

// proofMessage is a question, or an answer where Offset and Term are set. Times
// are nanoseconds on the shared clock.
type proofMessage struct {
	Group state.GroupID `msgpack:"g"`
	// NotBefore is the time up to which commits must be covered.
	NotBefore int64 `msgpack:"n"`
	// CoveredAt is the time up to which they are.
	CoveredAt int64          `msgpack:"c"`
	Position  state.Position `msgpack:"p"`
}

// RequestPosition asks some instances for a position that covers every commit acknowledged
// before notBefore. Answers arrive at the tracker.
func (x *Exchange) RequestPosition(group state.GroupID, notBefore state.Instant) {
	_, upper, known := x.clock.StoreOffsets()
	if !known || !x.due(group) {
		return
	}
	question := x.encode(proofMessage{Group: group, NotBefore: int64(notBefore) + int64(upper)})
	peers := x.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(askedPeers, len(peers))] {
		x.messenger.Send(peer, question)
	}
}

func (x *Exchange) due(group state.GroupID) bool {
	now := x.local.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if last, ok := x.asked[group]; ok && now.Sub(last) < askPause {
		return false
	}
	x.asked[group] = now
	return true
}

func (x *Exchange) encode(message proofMessage) []byte {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		x.log.Error().Err(err).Str("group", string(message.Group)).Msg("question about a position not encoded")
		return nil
	}
	return encoded
}

// Receive handles a message of another instance and returns the answer, nil
// for none.
func (x *Exchange) Receive(datagram []byte) []byte {
	var message proofMessage
	if err := msgpack.Unmarshal(datagram, &message); err != nil {
		x.log.Warn().Err(err).Int("bytes", len(datagram)).Msg("message about a position can't be read")
		return nil
	}
	lower, upper, known := x.clock.StoreOffsets()
	if !known {
		return nil
	}
	if !message.Position.IsZero() {
		x.InsertObserved(message.Group, state.Instant(message.CoveredAt-int64(upper)), message.Position)
		return nil
	}
	asked, position, found := x.Earliest(message.Group, state.Instant(message.NotBefore-int64(lower)))
	if !found {
		return nil
	}
	message.CoveredAt, message.Position = int64(asked)+int64(lower), position
	return x.encode(message)
}
