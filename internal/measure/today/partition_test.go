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
	// partitionedSite is the index of the data centre that is partitioned from
	// the others. The primary of group 0 is in the first data centre.
	partitionedSite = 1
	// refusalBound is the time within which a request must be served or refused.
	// It is longer than the timeouts of one attempt.
	refusalBound = 3 * time.Second
	// shortPrimaryWait is how long writes wait for a primary in the test in which
	// they can't reach it.
	shortPrimaryWait = 2 * time.Second
	// testTimeout bounds each wait of a test.
	testTimeout = 30 * time.Second
)

// partition separates a data centre from all others and from the platform, and
// stops replication to its databases.
func (in *installation) partition(site int) {
	for _, other := range in.placesOutside(site) {
		in.network.Partition(network.Place(in.deployment.DataCentres[site]), other)
	}
	for number, group := range in.groups {
		group.Servers()[(site-number+databases)%databases].SetReplicationPartition(true)
	}
}

func (in *installation) heal(site int) {
	for _, other := range in.placesOutside(site) {
		in.network.Heal(network.Place(in.deployment.DataCentres[site]), other)
	}
	for number, group := range in.groups {
		group.Servers()[(site-number+databases)%databases].SetReplicationPartition(false)
	}
}

func (in *installation) placesOutside(site int) []network.Place {
	places := []network.Place{platformPlace}
	for other, dataCentre := range in.deployment.DataCentres {
		if other != site {
			places = append(places, network.Place(dataCentre))
		}
	}
	return places
}

func TestPartitionedDataCentreServesReads(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	in, err := startInstallation(ctx, installationOptions{
		deployment: Waitaha(), plans: 1, statementTime: readStatementTime, lag: defaultLag,
	})
	require.NoError(t, err)
	defer in.close()
	insideSession := open(ctx, t, in, partitionedSite)
	staleSession := open(ctx, t, in, partitionedSite)
	_, err = staleSession.Exec(ctx, "SET cyclamenpin.max_staleness = '5s'")
	require.NoError(t, err)
	require.NoError(t, putNote(ctx, insideSession, 1, 1))
	require.Equal(t, int64(1), mustGetNote(ctx, t, insideSession))
	require.Equal(t, int64(1), mustGetNote(ctx, t, staleSession))
	time.Sleep(time.Second) // for the local replica to receive the write

	in.partition(partitionedSite)
	began := time.Now()
	require.Equal(t, int64(1), mustGetNote(ctx, t, staleSession), "a read of stated staleness")
	require.Less(t, time.Since(began), refusalBound)
	require.Equal(t, int64(1), mustGetNote(ctx, t, insideSession), "the local replica has reached the session's minimum position")
	began = time.Now()
	newSession := open(ctx, t, in, partitionedSite)
	_, err = getNote(ctx, newSession, 1)
	requireNotRun(t, err, "a new session can't know what was acknowledged")
	require.Less(t, time.Since(began), refusalBound)

	// Writes continue outside the partition. After it heals, a session inside
	// that has not read before must see what was written outside.
	outsideSession := open(ctx, t, in, 0)
	require.Eventually(t, func() bool { return putNote(ctx, outsideSession, 1, 2) == nil }, testTimeout, time.Second)
	require.Equal(t, int64(1), mustGetNote(ctx, t, insideSession), "the session's own view has not moved")

	in.heal(partitionedSite)
	require.Eventually(t, func() bool {
		version, err := getNote(ctx, newSession, 1)
		require.True(t, err != nil || version == 2, "read version %d after the healing", version)
		return err == nil
	}, testTimeout, 100*time.Millisecond)
	require.Eventually(t, func() bool { return putNote(ctx, insideSession, 1, 3) == nil }, testTimeout, 100*time.Millisecond)
	require.Equal(t, int64(3), mustGetNote(ctx, t, insideSession))
}

func TestWriteInPartitionedDataCentreIsRefusedInBoundedTime(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	in, err := startInstallation(ctx, installationOptions{
		deployment: Waitaha(), plans: 1, statementTime: readStatementTime, lag: defaultLag,
		primaryWait: shortPrimaryWait,
	})
	require.NoError(t, err)
	defer in.close()
	first, second := open(ctx, t, in, partitionedSite), open(ctx, t, in, partitionedSite)
	in.partition(partitionedSite)
	// The first write may have been sent before the partition is detected; its
	// outcome is then unknown.
	began := time.Now()
	err = putNote(ctx, first, 1, 1)
	require.Error(t, err)
	t.Logf("first write after the partition: %v after %s", err, time.Since(began).Round(time.Millisecond))
	require.Less(t, time.Since(began), shortPrimaryWait+queueTimeout+refusalBound/2)
	began = time.Now()
	requireNotRun(t, putNote(ctx, second, 2, 1), "the primary is known to be out of reach")
	t.Logf("second write after the partition: refused after %s", time.Since(began).Round(time.Millisecond))
	require.Less(t, time.Since(began), shortPrimaryWait+queueTimeout+refusalBound/2)
}

// open opens a session on an instance in the given data centre.
func open(ctx context.Context, t *testing.T, in *installation, site int) *pgx.Conn {
	t.Helper()
	conn, err := in.connect(ctx, site, 0, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func mustGetNote(ctx context.Context, t *testing.T, conn *pgx.Conn) int64 {
	t.Helper()
	version, err := getNote(ctx, conn, 1)
	require.NoError(t, err, "%s", errorDetail(err))
	return version
}

func errorDetail(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Detail
	}
	return ""
}

// requireNotRun requires an error with outcome not_run and a time after which to
// retry.
func requireNotRun(t *testing.T, err error, why string) {
	t.Helper()
	require.Error(t, err, why)
	require.Contains(t, errorDetail(err), `"outcome":"not_run"`, why)
	require.Contains(t, errorDetail(err), `"retry_after_ms"`, why)
}
