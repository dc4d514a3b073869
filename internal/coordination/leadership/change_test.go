package leadership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Two instances start a change of the same primary. If the first one's record
// reaches the second between its decision and its announcement, the second must
// not announce a change of a database that no longer leads.
func TestChangeOfAPrimaryThatNoLongerLeadsIsNotAnnounced(t *testing.T) {
	clock := &manualClock{now: state.Instant(time.Minute)}
	for name, test := range map[string]struct {
		record Record
		why    cause
	}{
		"another leads":                 {Record{Epoch: 1, Primary: "d2", Term: 2}, causeUnreachable},
		"another's change is under way": {Record{Epoch: 1, Primary: "d1", Changing: true, Promoter: "b#1"}, causeUnreachable},
		"the change has ended":          {Record{Epoch: 1, Primary: "d2", Term: 2}, causeTakeOver},
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{clock: clock, version: 10, rows: map[string]uint64{}}
			m, _ := newTestManager(clock, store)
			m.applyRecord("g", test.record, 9, clock.now)
			err := m.announceChange(t.Context(), &changeAttempt{group: "g", old: "d1"}, test.why)
			require.ErrorIs(t, err, errSuperseded)
			require.Equal(t, uint64(10), store.version, "nothing was written")
		})
	}
}

// A database that leads in the recorded term or a later one is the successor,
// unless it is the old primary itself.
func TestLeaderOfTheRecordedTermIsTheSuccessor(t *testing.T) {
	attempt := &changeAttempt{old: "d1", oldTerm: 2}
	require.True(t, attempt.isSuccessor(candidate{server: server("d2"), status: state.ServerStatus{Role: state.RolePrimary, Term: 2}}))
	require.False(t, attempt.isSuccessor(candidate{server: server("d1"), status: state.ServerStatus{Role: state.RolePrimary, Term: 2}}))
	require.False(t, attempt.isSuccessor(candidate{server: server("d2"), status: state.ServerStatus{Role: state.RolePrimary, Term: 1}}))
	require.True(t, attempt.isSuccessor(candidate{server: server("d2"), status: state.ServerStatus{Role: state.RolePrimary, Term: 3}}))
}

func server(id state.DatabaseID) state.Server {
	return state.Server{Database: state.Database{ID: id}}
}
