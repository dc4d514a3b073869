package execution

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func TestReplyToRepeatedRequestWaitsForAcknowledgedRecord(t *testing.T) {
	for _, begin := range []string{"", "BEGIN"} {
		f := newFixture()
		unit := query("write order")
		unit.RequestID = "r-1"
		f.replication.acknowledge = func(state.Position) error { return errors.New("superseded") }
		_, _, err := runUnit(f.open(t, AccessWrite), unit)
		requireOutcome(t, err, state.OutcomeUnknown)

		stream := f.open(t, AccessWrite)
		if begin != "" {
			_, _, err = runUnit(stream, query(begin))
			require.NoError(t, err)
		}
		reply, _, err := runUnit(stream, unit)
		requireOutcome(t, err, state.OutcomeUnknown)
		require.Empty(t, reply)
		stream.Close()

		f.replication.acknowledge = nil
		_, event, err := runUnit(f.open(t, AccessWrite), unit)
		require.NoError(t, err)
		require.False(t, event.Position.IsZero(), "the session's minimum position must cover the recorded write")
	}
}

func TestPrimaryOfTermBeforeMinPositionRunsNothing(t *testing.T) {
	f := newFixture()
	f.replication.term = 1
	request := OpenRequest{Group: "group", Database: testDatabase, MinPosition: state.Position{Term: 2, Offset: 1}}
	_, err := f.owner.Open(context.Background(), request)
	requireOutcome(t, err, state.OutcomeNotRun)
	stream := f.open(t, AccessWrite)
	unit := query("BEGIN")
	unit.MinPosition = request.MinPosition
	_, _, err = runUnit(stream, unit)
	requireOutcome(t, err, state.OutcomeNotRun)
	f.replication.term = 2
	_, _, err = runUnit(f.open(t, AccessWrite), unit)
	require.NoError(t, err)
}

// delayedBackend delays its first message.
type delayedBackend struct {
	*fakeBackend
	delay time.Duration
}

func (b *delayedBackend) Receive(ctx context.Context) (Message, error) {
	time.Sleep(b.delay)
	b.delay = 0
	return b.fakeBackend.Receive(ctx)
}

func TestReadReplyThatStartsAfterMaxAgeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.replication.age = time.Second
		for _, delay := range []time.Duration{900 * time.Millisecond, 1100 * time.Millisecond} {
			stream := f.open(t, AccessRead).(*ownerStream)
			backend, _ := f.database.Dial(t.Context(), state.Database{})
			stream.conn.backend = &delayedBackend{fakeBackend: backend.(*fakeBackend), delay: delay}
			unit := query("read x")
			unit.Access, unit.MaxAge = AccessRead, 2*time.Second
			reply, _, err := runUnit(stream, unit)
			stream.Close()
			if delay < time.Second {
				require.NoError(t, err)
				continue
			}
			requireOutcome(t, err, state.OutcomeNotRun)
			require.Empty(t, reply)
		}
		require.Zero(t, f.gate.slots)
	})
}
