package freshness

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// skewedClock is ahead of true time by ahead, and knows the shared clock to
// within its bounds.
type skewedClock struct {
	truth        *time.Duration
	ahead        time.Duration
	below, above time.Duration
	unknown      bool
}

func (c skewedClock) Now() state.Instant { return state.Instant(*c.truth + c.ahead) }

func (c skewedClock) at(truth time.Duration) state.Instant { return state.Instant(truth + c.ahead) }

func (c skewedClock) StoreOffsets() (lower, upper time.Duration, known bool) {
	return -c.ahead - c.below, -c.ahead + c.above, !c.unknown
}

// wire hands each message to the other side and the answer back.
type wire struct {
	to, from func([]byte) []byte
	messages int
}

func (w *wire) Send(_ string, message []byte) {
	w.messages++
	if answer := w.to(message); answer != nil && w.from != nil {
		w.from(answer)
	}
}

func exchangeBetween(asker, teller skewedClock) (from, to *Exchange, sent *wire) {
	peers := func() []string { return []string{"teller"} }
	to = NewExchange(NewTracker(), teller, teller, peers, nil, zerolog.Nop())
	sent = &wire{to: to.Receive}
	from = NewExchange(NewTracker(), asker, asker, peers, sent, zerolog.Nop())
	sent.from = func(answer []byte) []byte { return from.Receive(answer) }
	return from, to, sent
}

// Whatever the clocks, a position told by another instance covers all that was
// acknowledged before the moment asked for.
func TestToldPositionCoversWhatWasAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := time.Hour
		clock := func(name string) skewedClock {
			return skewedClock{
				truth: &truth, ahead: time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, name)),
				below: time.Duration(rapid.Int64Range(0, 1e8).Draw(t, name+" below")), above: time.Duration(rapid.Int64Range(0, 1e8).Draw(t, name+" above")),
			}
		}
		asker, teller := clock("asker"), clock("teller")
		from, to, _ := exchangeBetween(asker, teller)
		committed := map[uint64]time.Duration{}
		number := uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			truth += time.Duration(rapid.Int64Range(0, 2e8).Draw(t, "pause"))
			if rapid.Bool().Draw(t, "commit") {
				number++
				committed[number] = truth
				continue
			}
			to.Observe("g", teller.at(truth), state.Position{Term: 1, Offset: number})
		}
		notBefore := truth - time.Duration(rapid.Int64Range(0, 3e9).Draw(t, "age"))
		from.RequestPosition("g", asker.at(notBefore))
		floor, known := from.MinPosition("g", asker.at(notBefore))
		if !known {
			return
		}
		for number, at := range committed {
			if at < notBefore {
				require.GreaterOrEqual(t, floor.Offset, number)
			}
		}
	})
}

func steadyClock(truth *time.Duration) skewedClock {
	return skewedClock{truth: truth, below: 10 * time.Millisecond, above: 10 * time.Millisecond}
}

func TestPositionIsToldWithinTheClocksBounds(t *testing.T) {
	truth := time.Hour
	from, to, _ := exchangeBetween(steadyClock(&truth), steadyClock(&truth))
	to.Observe("g", state.Instant(truth), state.Position{Term: 1, Offset: 7})
	from.RequestPosition("g", state.Instant(truth-time.Second))
	floor, known := from.MinPosition("g", state.Instant(truth-time.Second))
	require.True(t, known)
	require.Equal(t, uint64(7), floor.Offset)
}

// Pattern: many reads at once lack a position. They ask once.
func TestQuestionsAreNotRepeatedForEachRead(t *testing.T) {
	truth := time.Hour
	from, _, sent := exchangeBetween(steadyClock(&truth), steadyClock(&truth))
	for range 50 {
		from.RequestPosition("g", state.Instant(truth))
	}
	require.Equal(t, 1, sent.messages)
}

// Before the first answer of the store no instance can relate its clock to the
// others'.
func TestNothingIsAskedOrToldWithoutTheSharedClock(t *testing.T) {
	truth := time.Hour
	lost := steadyClock(&truth)
	lost.unknown = true
	from, _, sent := exchangeBetween(lost, steadyClock(&truth))
	from.RequestPosition("g", state.Instant(truth))
	require.Zero(t, sent.messages)
	require.Nil(t, from.Receive([]byte{0x80}))
	require.Nil(t, from.Receive([]byte("no message")))
}
