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

// leavingBound is the time within which a leaving backend server must stop
// receiving new work. It covers one poll of the group records and a planned
// change of primary.
const leavingBound = 15 * time.Second

// TestLeavingPrimaryGetsNoNewWork marks the primary's backend server as leaving
// under load. Every write must either be acknowledged or fail with an error that
// rules out that it ran. No acknowledged write may be lost, and the server must
// stop serving requests.
func TestLeavingPrimaryGetsNoNewWork(t *testing.T) {
	ownStack, err := Start(t.Context(), Options{Log: io.Discard, LogLevel: "error"})
	require.NoError(t, err)
	defer ownStack.Close()
	conn, err := pgx.Connect(t.Context(), ownStack.URL(ownStack.Instances[0]))
	require.NoError(t, err)
	defer func() { _ = conn.Close(context.Background()) }()
	mustExec(t, conn, "CREATE TABLE moved (id bigint PRIMARY KEY)")

	leaving := ownStack.Group.Describe().Primary
	markLeaving(t, ownStack, leaving)
	acknowledged := 0
	deadline := time.Now().Add(leavingBound)
	for servedElsewhere := 0; servedElsewhere < 20; {
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
			servedElsewhere = 0
			continue
		}
		mustExec(t, conn, "SELECT count(*) FROM moved")
		if servedBy(t, conn) != leaving {
			servedElsewhere++
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

// markLeaving marks a database as leaving in the group's record at the platform,
// as an operator of the platform would.
func markLeaving(t *testing.T, ownStack *Stack, id state.DatabaseID) {
	t.Helper()
	group := ownStack.Group.Describe()
	for i := range group.Databases {
		group.Databases[i].Leaving = group.Databases[i].ID == id
	}
	record, err := json.Marshal(group)
	require.NoError(t, err, fmt.Sprint(group))
	ownStack.Platform.Put(configuration.GroupKey(GroupName), record)
}

func TestRestartAfterTheClockWasSetBackHasALaterIncarnation(t *testing.T) {
	ownStack, err := Start(t.Context(), Options{Log: io.Discard, LogLevel: "error"})
	require.NoError(t, err)
	defer ownStack.Close()
	client, err := platformclient.New(platformclient.Options{BaseURL: ownStack.platformURL}, zerolog.Nop())
	require.NoError(t, err)
	defer client.Close()
	earlier := state.Instance{
		ID: "dev-3", DataCentre: thirdDataCentre, PeerAddress: "127.0.0.1:1",
		Incarnation: state.Incarnation(time.Now().Add(time.Hour).UnixNano()),
	}
	require.NoError(t, client.Announce(t.Context(), earlier))
	restarted, err := ownStack.startInstance(t.Context(), 3, thirdDataCentre)
	require.NoError(t, err)
	ownStack.Instances = append(ownStack.Instances, restarted)
	require.Greater(t, restarted.Self().Incarnation, earlier.Incarnation)
}
