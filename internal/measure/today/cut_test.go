package today

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/standin/network"
)

const (
	// cutSite is the data centre that is cut off; the primary of group 0 is
	// in the first.
	cutSite = 1
	// atOnce bounds a refusal. It is longer than the timeouts of one attempt.
	atOnce = 3 * time.Second
	// shortPrimaryWait is how long writes wait where a test cuts their path.
	shortPrimaryWait = 2 * time.Second
	// cutBound bounds every wait of the test.
	cutBound = 30 * time.Second
)

// cutOff cuts a data centre from all others and from the platform.
func (in *installation) cutOff(site int) {
	for _, other := range in.othersOf(site) {
		in.network.Partition(network.Place(in.deployment.DataCentres[site]), other)
	}
	for number, group := range in.groups {
		group.Servers()[(site-number+databases)%databases].SetReplicationPartition(true)
	}
}

func (in *installation) heal(site int) {
	for _, other := range in.othersOf(site) {
		in.network.Heal(network.Place(in.deployment.DataCentres[site]), other)
	}
	for number, group := range in.groups {
		group.Servers()[(site-number+databases)%databases].SetReplicationPartition(false)
	}
}

func (in *installation) othersOf(site int) []network.Place {
	places := []network.Place{platformPlace}
	for other, dataCentre := range in.deployment.DataCentres {
		if other != site {
			places = append(places, network.Place(dataCentre))
		}
	}
	return places
}

func TestCutDataCentreGoesOnReading(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*cutBound)
	defer cancel()
	in, err := startInstallation(ctx, installationOptions{
		deployment: Waitaha(), plans: 1, statementTime: readStatement, lag: failoverLag,
	})
	require.NoError(t, err)
	defer in.close()
	inside := open(ctx, t, in, cutSite)
	stale := open(ctx, t, in, cutSite)
	_, err = stale.Exec(ctx, "SET cyclamenpin.max_staleness = '5s'")
	require.NoError(t, err)
	require.NoError(t, putNote(ctx, inside, 1, 1))
	require.Equal(t, int64(1), mustGet(ctx, t, inside))
	require.Equal(t, int64(1), mustGet(ctx, t, stale))
	time.Sleep(time.Second) // the local replica holds the write by now

	in.cutOff(cutSite)
	began := time.Now()
	require.Equal(t, int64(1), mustGet(ctx, t, stale), "a read of stated staleness")
	require.Less(t, time.Since(began), atOnce)
	require.Equal(t, int64(1), mustGet(ctx, t, inside), "the local replica covers the session's floor")
	began = time.Now()
	newcomer := open(ctx, t, in, cutSite)
	_, err = getNote(ctx, newcomer, 1)
	requireNotRun(t, err, "a new session can't know what was acknowledged")
	require.Less(t, time.Since(began), atOnce)

	// Outside, writes go on. What was written there must be seen after the
	// healing by a session that begins then, inside.
	outside := open(ctx, t, in, 0)
	require.Eventually(t, func() bool { return putNote(ctx, outside, 1, 2) == nil }, cutBound, time.Second)
	require.Equal(t, int64(1), mustGet(ctx, t, inside), "the session's own view has not moved")

	in.heal(cutSite)
	require.Eventually(t, func() bool {
		version, err := getNote(ctx, newcomer, 1)
		require.True(t, err != nil || version == 2, "read version %d after the healing", version)
		return err == nil
	}, cutBound, 100*time.Millisecond)
	require.Eventually(t, func() bool { return putNote(ctx, inside, 1, 3) == nil }, cutBound, 100*time.Millisecond)
	require.Equal(t, int64(3), mustGet(ctx, t, inside))
}

func TestWriteFromACutDataCentreIsRefusedInBoundedTime(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*cutBound)
	defer cancel()
	in, err := startInstallation(ctx, installationOptions{
		deployment: Waitaha(), plans: 1, statementTime: readStatement, lag: failoverLag,
		primaryWait: shortPrimaryWait,
	})
	require.NoError(t, err)
	defer in.close()
	first, second := open(ctx, t, in, cutSite), open(ctx, t, in, cutSite)
	in.cutOff(cutSite)
	// The first may have been sent already and is then of unknown outcome.
	began := time.Now()
	err = putNote(ctx, first, 1, 1)
	require.Error(t, err)
	t.Logf("first write after the cut: %v after %s", err, time.Since(began).Round(time.Millisecond))
	require.Less(t, time.Since(began), shortPrimaryWait+queueTimeout+atOnce/2)
	began = time.Now()
	requireNotRun(t, putNote(ctx, second, 2, 1), "the primary is known to be out of reach")
	t.Logf("second write after the cut: refused after %s", time.Since(began).Round(time.Millisecond))
	require.Less(t, time.Since(began), shortPrimaryWait+queueTimeout+atOnce/2)
}

// open opens a session on the instance of a data centre.
func open(ctx context.Context, t *testing.T, in *installation, site int) *pgx.Conn {
	t.Helper()
	conn, err := in.connect(ctx, site, 0, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func mustGet(ctx context.Context, t *testing.T, conn *pgx.Conn) int64 {
	t.Helper()
	version, err := getNote(ctx, conn, 1)
	require.NoError(t, err, "%s", detailOf(err))
	return version
}

func detailOf(err error) string {
	var answer *pgconn.PgError
	if errors.As(err, &answer) {
		return answer.Detail
	}
	return ""
}

// requireNotRun wants a refusal that says when to come back.
func requireNotRun(t *testing.T, err error, why string) {
	t.Helper()
	require.Error(t, err, why)
	require.Contains(t, detailOf(err), `"outcome":"not_run"`, why)
	require.Contains(t, detailOf(err), `"retry_after_ms"`, why)
}
