package freshness

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// skewedClock is ahead of true time by ahead. It bounds its offset from the
// shared clock, which shows true time, by below and above.
type skewedClock struct {
	truth        *time.Duration
	ahead        time.Duration
	below, above time.Duration
	unknown      bool
	era          uint64
}

func (c skewedClock) Now() state.Instant { return state.Instant(*c.truth + c.ahead) }

func (c skewedClock) at(truth time.Duration) state.Instant { return state.Instant(truth + c.ahead) }

func (c skewedClock) StoreOffsets() (offsets state.ClockOffsets, known bool) {
	return state.ClockOffsets{Lower: -c.ahead - c.below, Upper: -c.ahead + c.above, Era: c.era}, !c.unknown
}

// directMessenger delivers each message to the other exchange at once, and the
// response back.
type directMessenger struct {
	to, from func([]byte) []byte
	messages int
}

func (w *directMessenger) Send(_ string, message []byte) {
	w.messages++
	if response := w.to(message); response != nil && w.from != nil {
		w.from(response)
	}
}

// noPeers lists no other instance.
type noPeers struct{}

func (noPeers) Peers() []string                   { return nil }
func (noPeers) Neighbours(state.GroupID) []string { return nil }

// onePeer lists one other instance, in the same data centre.
type onePeer struct{}

func (onePeer) Peers() []string                   { return []string{"teller"} }
func (onePeer) Neighbours(state.GroupID) []string { return []string{"teller"} }

func exchangeBetween(requester, responder skewedClock) (from, to *Exchange, sent *directMessenger) {
	to = NewExchange(NewTracker(), responder, responder, noPeers{}, nil, zerolog.Nop())
	sent = &directMessenger{to: to.Receive}
	from = NewExchange(NewTracker(), requester, requester, onePeer{}, sent, zerolog.Nop())
	sent.from = func(response []byte) []byte { return from.Receive(response) }
	return from, to, sent
}

// Guards against a position received from another instance that lacks commits
// acknowledged before the requested time, for any skew of the clocks.
func TestReceivedPositionCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := time.Hour
		clock := func(name string) skewedClock {
			return skewedClock{
				truth: &truth, ahead: time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, name)),
				below: time.Duration(rapid.Int64Range(0, 1e8).Draw(t, name+" below")), above: time.Duration(rapid.Int64Range(0, 1e8).Draw(t, name+" above")),
			}
		}
		requester, responder := clock("asker"), clock("teller")
		from, to, _ := exchangeBetween(requester, responder)
		committed := map[uint64]time.Duration{}
		number := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			truth += time.Duration(rapid.Int64Range(0, 2e8).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "commit") {
				number++
				committed[number] = truth
				continue
			}
			to.Observe("g", responder.at(truth), state.Position{Term: 1, Offset: number})
		}
		notBefore := truth - time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "age"))
		from.RequestPosition("g", requester.at(notBefore))
		minPosition, known := from.MinPosition("g", requester.at(notBefore))
		if !known {
			return
		}
		for number, at := range committed {
			if at < notBefore {
				require.GreaterOrEqual(t, minPosition.Offset, number)
			}
		}
	})
}

func steadyClock(truth *time.Duration) skewedClock {
	return skewedClock{truth: truth, below: 10 * time.Millisecond, above: 10 * time.Millisecond}
}

func TestPositionIsReceivedWithinClockBounds(t *testing.T) {
	truth := time.Hour
	from, to, _ := exchangeBetween(steadyClock(&truth), steadyClock(&truth))
	to.Observe("g", state.Instant(truth), state.Position{Term: 1, Offset: 7})
	from.RequestPosition("g", state.Instant(truth-time.Second))
	minPosition, known := from.MinPosition("g", state.Instant(truth-time.Second))
	require.True(t, known)
	require.Equal(t, uint64(7), minPosition.Offset)
}

// Many concurrent reads that lack a position send a single request.
func TestRequestsAreNotRepeatedForEachRead(t *testing.T) {
	truth := time.Hour
	from, _, sent := exchangeBetween(steadyClock(&truth), steadyClock(&truth))
	for range 50 {
		from.RequestPosition("g", state.Instant(truth))
	}
	require.Equal(t, 1, sent.messages)
}

// An instance can't relate its clock to the others' before the store's first
// response, so it sends no request and no response.
func TestNothingIsExchangedWithoutTheSharedClock(t *testing.T) {
	truth := time.Hour
	unsynced := steadyClock(&truth)
	unsynced.unknown = true
	from, _, sent := exchangeBetween(unsynced, steadyClock(&truth))
	from.RequestPosition("g", state.Instant(truth))
	require.Zero(t, sent.messages)
	require.Nil(t, from.Receive([]byte{0x80}))
	require.Nil(t, from.Receive([]byte("no message")))
}

// An observation reaches the neighbours without a request, so that they know it when a
// read needs it.
func TestObservationIsSharedWithTheNeighbours(t *testing.T) {
	truth := time.Hour
	observer, neighbour, _ := exchangeBetween(steadyClock(&truth), steadyClock(&truth))
	observer.Observe("g", state.Instant(truth), state.Position{Term: 1, Offset: 7})
	_, known := neighbour.MinPosition("g", state.Instant(truth-time.Second))
	require.True(t, known)
}

// The store was restored, and only one of two instances has seen it. The store's clock
// may have been set, so their times are not comparable.
func TestPositionsOfAnotherEraAreIgnored(t *testing.T) {
	truth := time.Hour
	later := steadyClock(&truth)
	later.era = 1
	observer, neighbour, _ := exchangeBetween(later, steadyClock(&truth))
	observer.Observe("g", state.Instant(truth), state.Position{Term: 1, Offset: 7})
	_, known := neighbour.MinPosition("g", state.Instant(truth-time.Second))
	require.False(t, known)
}
