package freshness

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

const (
	// requestFanOut is how many other instances receive a request. An instance
	// that serves writes of a group observes its position several times a
	// second, so most instances hold a recent one.
	requestFanOut = 4
	// minRequestInterval is the least time between two rounds of requests for
	// a group: a round trip between regions takes 24 ms.
	minRequestInterval = 40 * time.Millisecond
	// neighbourWait is how long a read waits for a position from the same data
	// centre, several round trips.
	neighbourWait = 5 * time.Millisecond
	// shareInterval is the least time between two positions of a group that are
	// sent to the neighbours.
	shareInterval = 250 * time.Millisecond
)

// SharedClock relates the local clock to one that all instances can read, the
// store's.
type SharedClock interface {
	// StoreOffsets returns bounds of how far the shared clock is ahead of the
	// local one. known is false before the first measurement.
	StoreOffsets() (offsets state.ClockOffsets, known bool)
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
	peers     Peers
	messenger Messenger
	log       zerolog.Logger

	// mu is a leaf.
	mu          sync.Mutex
	lastRequest map[state.GroupID]state.Instant
	// lastShared is the time of the last observation that was sent to the
	// neighbours.
	lastShared map[state.GroupID]state.Instant
	// received holds a channel for each group that a read waits for; it is closed
	// when a position is received.
	received map[state.GroupID]chan struct{}
}

// Peers lists the addresses of other instances.
type Peers interface {
	Peers() []string
	// Neighbours returns those of this data centre that are asked first about a
	// group.
	Neighbours(group state.GroupID) []string
}

// NewExchange returns an exchange that adds received observations to a tracker.
func NewExchange(tracker *Tracker, clock SharedClock, local state.Clock, peers Peers, messenger Messenger, log zerolog.Logger) *Exchange {
	return &Exchange{
		Tracker: tracker, clock: clock, local: local, peers: peers, messenger: messenger, log: log,
		lastRequest: make(map[state.GroupID]state.Instant), received: make(map[state.GroupID]chan struct{}),
		lastShared: make(map[state.GroupID]state.Instant),
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
	// Era is the era of the shared clock that the times refer to.
	Era uint64 `msgpack:"e"`
}

// Observe records an observation and sends it to the neighbours that are asked
// about the group.
func (x *Exchange) Observe(group state.GroupID, requestedAt state.Instant, position state.Position) {
	x.Tracker.Observe(group, requestedAt, position)
	offsets, known := x.clock.StoreOffsets()
	if !known || position.IsZero() || !x.reserveShare(group, requestedAt) {
		return
	}
	message := x.encode(positionMessage{Group: group, CoveredAt: int64(requestedAt) + int64(offsets.Lower), Position: position, Era: offsets.Era})
	for _, neighbour := range x.peers.Neighbours(group) {
		x.messenger.Send(neighbour, message)
	}
}

// reserveShare records that an observation is sent to the neighbours. It returns
// false, without recording it, if the last one is less than shareInterval older.
func (x *Exchange) reserveShare(group state.GroupID, requestedAt state.Instant) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if last, ok := x.lastShared[group]; ok && requestedAt < last.Add(shareInterval) {
		return false
	}
	x.lastShared[group] = requestedAt
	return true
}

// RequestPosition requests from some instances a position that covers every
// commit acknowledged before notBefore. Receive adds the responses to the
// tracker.
func (x *Exchange) RequestPosition(group state.GroupID, notBefore state.Instant) {
	if !x.reserveRequest(group) {
		return
	}
	peers := x.peers.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	x.send(peers[:min(requestFanOut, len(peers))], group, notBefore)
}

// send sends a request. It returns false if the shared clock is not known yet.
func (x *Exchange) send(peers []string, group state.GroupID, notBefore state.Instant) bool {
	offsets, known := x.clock.StoreOffsets()
	if !known {
		return false
	}
	request := x.encode(positionMessage{Group: group, NotBefore: int64(notBefore) + int64(offsets.Upper), Era: offsets.Era})
	for _, peer := range peers {
		x.messenger.Send(peer, request)
	}
	return true
}

// AwaitPosition requests a position that covers every commit acknowledged before
// notBefore from instances of this data centre, and waits briefly for a response.
// It returns at once if there are no such instances. A neighbour answers within a
// millisecond and for nothing, so that the read need not go to the primary, which
// may be far away and has the writes of all instances to serve.
func (x *Exchange) AwaitPosition(ctx context.Context, group state.GroupID, notBefore state.Instant) {
	neighbours := x.peers.Neighbours(group)
	if len(neighbours) == 0 {
		return
	}
	received := x.nextReceived(group)
	if x.send(neighbours, group, notBefore) {
		state.PauseOrWake(ctx, neighbourWait, received)
	}
}

// nextReceived returns a channel that is closed when a position of the group is
// received.
func (x *Exchange) nextReceived(group state.GroupID) <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	received, ok := x.received[group]
	if !ok {
		received = make(chan struct{})
		x.received[group] = received
	}
	return received
}

// wakeWaiting wakes the reads that wait for a position of the group.
func (x *Exchange) wakeWaiting(group state.GroupID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if received, ok := x.received[group]; ok {
		close(received)
		delete(x.received, group)
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
	if err := packed.Unmarshal(datagram, &message); err != nil {
		x.log.Warn().Err(err).Int("bytes", len(datagram)).Msg("undecodable position message ignored")
		return nil
	}
	offsets, known := x.clock.StoreOffsets()
	if !known || message.Era != offsets.Era {
		return nil
	}
	if !message.Position.IsZero() {
		x.InsertObserved(message.Group, state.Instant(message.CoveredAt-int64(offsets.Upper)), message.Position)
		x.wakeWaiting(message.Group)
		return nil
	}
	coveredAt, position, found := x.Earliest(message.Group, state.Instant(message.NotBefore-int64(offsets.Lower)))
	if !found {
		return nil
	}
	message.CoveredAt, message.Position = int64(coveredAt)+int64(offsets.Lower), position
	return x.encode(message)
}
