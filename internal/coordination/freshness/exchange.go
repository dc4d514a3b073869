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
	// requestFanOut is how many other instances receive a request. An instance
	// that serves writes of a group observes its position several times a
	// second, so most instances hold a recent one.
	requestFanOut = 4
	// minRequestInterval is the least time between two rounds of requests for
	// a group: a round trip between regions takes 24 ms.
	minRequestInterval = 40 * time.Millisecond
)

// SharedClock relates the local clock to one that all instances can read, the
// store's.
type SharedClock interface {
	// StoreOffsets returns bounds of how far the shared clock is ahead of the
	// local one. known is false before the first measurement.
	StoreOffsets() (lower, upper time.Duration, known bool)
}

// Messenger sends datagrams to other instances. Datagrams may be lost.
type Messenger interface {
	Send(address string, message []byte)
}

// Exchange requests from other instances the positions that they have observed
// at a primary which this instance has not reached itself. Such an observation
// is valid for readers at any instance. Only its time must be converted: from
// the observer's clock to the shared one and from there to the local clock,
// each with the bound that makes the observation look older. Requested times
// are converted with the bounds that make them later.
type Exchange struct {
	*Tracker
	clock     SharedClock
	local     state.Clock
	peers     func() []string
	messenger Messenger
	log       zerolog.Logger

	// mu is a leaf.
	mu          sync.Mutex
	lastRequest map[state.GroupID]state.Instant
}

// NewExchange returns an exchange that adds received observations to a tracker.
func NewExchange(tracker *Tracker, clock SharedClock, local state.Clock, peers func() []string, messenger Messenger, log zerolog.Logger) *Exchange {
	return &Exchange{
		Tracker: tracker, clock: clock, local: local, peers: peers, messenger: messenger, log: log,
		lastRequest: make(map[state.GroupID]state.Instant),
	}
}

// positionMessage is a response if Position is set, else a request. Times are
// nanoseconds on the shared clock.
type positionMessage struct {
	Group state.GroupID `msgpack:"g"`
	// NotBefore is the requested time: the position must cover every commit
	// acknowledged before it.
	NotBefore int64 `msgpack:"n"`
	// CoveredAt is the time before which Position covers every commit.
	CoveredAt int64          `msgpack:"c"`
	Position  state.Position `msgpack:"p"`
}

// RequestPosition requests from some instances a position that covers every
// commit acknowledged before notBefore. Receive adds the responses to the
// tracker.
func (x *Exchange) RequestPosition(group state.GroupID, notBefore state.Instant) {
	_, upper, known := x.clock.StoreOffsets()
	if !known || !x.reserveRequest(group) {
		return
	}
	request := x.encode(positionMessage{Group: group, NotBefore: int64(notBefore) + int64(upper)})
	peers := x.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(requestFanOut, len(peers))] {
		x.messenger.Send(peer, request)
	}
}

// reserveRequest records a request for the group at the present time. It returns
// false, without recording one, if the last request is less than
// minRequestInterval ago.
func (x *Exchange) reserveRequest(group state.GroupID) bool {
	now := x.local.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	if last, ok := x.lastRequest[group]; ok && now.Sub(last) < minRequestInterval {
		return false
	}
	x.lastRequest[group] = now
	return true
}

func (x *Exchange) encode(message positionMessage) []byte {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		x.log.Error().Err(err).Str("group", string(message.Group)).Msg("encoding a position message failed")
		return nil
	}
	return encoded
}

// Receive handles a message from another instance and returns the response, or
// nil if there is none to send.
func (x *Exchange) Receive(datagram []byte) []byte {
	var message positionMessage
	if err := msgpack.Unmarshal(datagram, &message); err != nil {
		x.log.Warn().Err(err).Int("bytes", len(datagram)).Msg("undecodable position message ignored")
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
	coveredAt, position, found := x.Earliest(message.Group, state.Instant(message.NotBefore-int64(lower)))
	if !found {
		return nil
	}
	message.CoveredAt, message.Position = int64(coveredAt)+int64(lower), position
	return x.encode(message)
}
