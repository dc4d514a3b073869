package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

// leavingBound is how soon a leaving backend server must get no new work: the
// poll of the groups and a planned change of primary.
const leavingBound = 15 * time.Second

// TestLeavingPrimaryGetsNoNewWork marks the primary's backend server as leaving
// under load. Every write must be acknowledged or surely not have run, none
// that was acknowledged may be lost, and in the end nothing is served there.
func TestLeavingPrimaryGetsNoNewWork(t *testing.T) {
	own, err := Start(t.Context(), Options{Log: io.Discard, LogLevel: "error"})
	require.NoError(t, err)
	defer own.Close()
	conn, err := pgx.Connect(t.Context(), own.URL(own.Instances[0]))
	require.NoError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()
	mustExec(t, conn, "CREATE TABLE moved (id bigint PRIMARY KEY)")

	leaving := own.Group.Describe().Primary
	markLeaving(t, own, leaving)
	acknowledged := 0
	deadline := time.Now().Add(leavingBound)
	for calm := 0; calm < 20; {
		require.True(t, time.Now().Before(deadline), "%s still serves", leaving)
		_, err := conn.Exec(t.Context(), "INSERT INTO moved VALUES ($1)", acknowledged)
		var pgErr *pgconn.PgError
		if errors.As(err, &pgErr) {
			require.NotEqual(t, "08007", pgErr.Code, "a planned change left an outcome unknown: %s", pgErr.Detail)
			continue
		}
		require.NoError(t, err)
		acknowledged++
		if servedBy(t, conn) == leaving {
			calm = 0
			continue
		}
		mustExec(t, conn, "SELECT count(*) FROM moved")
		if servedBy(t, conn) != leaving {
			calm++
		}
	}
	var count int
	require.NoError(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM moved").Scan(&count))
	require.Equal(t, acknowledged, count)
}

func servedBy(t *testing.T, conn *pgx.Conn) state.DatabaseID {
	t.Helper()
	value, err := show(t.Context(), conn, "cyclamenpin.served_by")
	require.NoError(t, err)
	return state.DatabaseID(value)
}

// markLeaving changes the group's record as an operator of the platform would.
func markLeaving(t *testing.T, own *Stack, id state.DatabaseID) {
	t.Helper()
	group := own.Group.Describe()
	for i := range group.Databases {
		group.Databases[i].Leaving = group.Databases[i].ID == id
	}
	record, err := json.Marshal(group)
	require.NoError(t, err, fmt.Sprint(group))
	own.Platform.Put(configuration.GroupKey(GroupName), record)
}

func TestRestartAfterTheClockWasSetBackHasALaterIncarnation(t *testing.T) {
	own, err := Start(t.Context(), Options{Log: io.Discard, LogLevel: "error"})
	require.NoError(t, err)
	defer own.Close()
	client, err := platformclient.New(platformclient.Options{BaseURL: own.platformURL}, zerolog.Nop())
	require.NoError(t, err)
	defer client.Close()
	earlier := state.Instance{
		ID: "dev-3", DataCentre: thirdSite, PeerAddress: "127.0.0.1:1",
		Incarnation: state.Incarnation(time.Now().Add(time.Hour).UnixNano()),
	}
	require.NoError(t, client.Announce(t.Context(), earlier))
	restarted, err := own.startInstance(t.Context(), 3, thirdSite)
	require.NoError(t, err)
	own.Instances = append(own.Instances, restarted)
	require.Greater(t, restarted.Self().Incarnation, earlier.Incarnation)
}
