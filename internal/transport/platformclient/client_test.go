package platformclient_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/tables"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

// largeBudget is a rate and burst that no test exhausts.
const largeBudget = 1e6

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startClient returns a stand-in of the platform and a client of it. Budgets
// that options leave at zero are large.
func startClient(t *testing.T, options platformclient.Options) (*platform.Server, *platformclient.Client) {
	server := platform.NewServer()
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	options.BaseURL = listener.URL
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond, options.ReadBurst = largeBudget, largeBudget
	}
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond, options.WriteBurst = largeBudget, largeBudget
	}
	client, err := platformclient.New(options, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return server, client
}

// putTransaction returns a transaction that writes a record if its version is
// the given one.
func putTransaction(id, key, value string, version uint64) tables.Transaction {
	return tables.Transaction{
		ID:         id,
		Conditions: []tables.Condition{{Key: key, Version: version}},
		Writes:     []tables.Write{{Key: key, Value: []byte(value)}},
	}
}

// Each transaction writes a counter on condition of the version that the one
// before left. Responses are lost, calls fail and the platform is down at
// random. A committed result must mean that the write took effect once and must
// carry the record's version. OutcomeNotRun must mean that nothing changed.
func TestTransactionsTakeEffectAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		server := platform.NewServer()
		listener := httptest.NewServer(server.Handler())
		defer listener.Close()
		client, err := platformclient.New(platformclient.Options{
			BaseURL: listener.URL, ResolveTimeout: time.Second, RetryWait: time.Millisecond,
			WritesPerSecond: largeBudget, WriteBurst: largeBudget,
		}, zerolog.Nop())
		require.NoError(rt, err)
		defer client.Close()
		for i := range rapid.IntRange(1, 6).Draw(rt, "transactions") {
			server.DropNextResponses(rapid.IntRange(0, 2).Draw(rt, "lost"))
			server.SetErrorShare(rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "errors"))
			server.SetDown(rapid.IntRange(0, 9).Draw(rt, "down") == 0)
			before := server.Record("counter")
			want := fmt.Sprint(i)
			result, err := client.Transact(rt.Context(), putTransaction(fmt.Sprintf("t%d", i), "counter", want, before.Version))
			after := server.Record("counter")
			failure, failed := state.AsFailure(err)
			switch {
			case !failed:
				require.NoError(rt, err)
				require.True(rt, result.Committed)
				require.Equal(rt, want, string(after.Value))
				require.Equal(rt, after.Version, result.Records[0].Version)
			case failure.Outcome == state.OutcomeNotRun:
				require.Equal(rt, before, after)
			}
			require.LessOrEqual(rt, after.Version, before.Version+1)
		}
	})
}

func TestConflictReturnsCurrentRecords(t *testing.T) {
	server, client := startClient(t, platformclient.Options{})
	server.Put("a", []byte("1"))
	result, err := client.Transact(t.Context(), putTransaction("t", "a", "2", tables.VersionAbsent))
	require.NoError(t, err)
	require.False(t, result.Committed)
	require.Equal(t, []tables.Record{server.Record("a")}, result.Records)
}

func TestBreakerRejectsCallsWhilePlatformIsDownOrSlow(t *testing.T) {
	for name, fail := range map[string]func(*platform.Server){
		"down": func(s *platform.Server) { s.SetDown(true) },
		"slow": func(s *platform.Server) { s.SetSlow(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			server, client := startClient(t, platformclient.Options{Timeout: 20 * time.Millisecond, ResolveTimeout: time.Minute})
			fail(server)
			_, err := client.Transact(t.Context(), putTransaction("t", "a", "1", tables.VersionAbsent))
			failure, _ := state.AsFailure(err)
			require.Equal(t, state.OutcomeUnknown, failure.Outcome, "the breaker opened before the result was learnt")
			require.False(t, client.Available())
			arrived := server.Counts()
			_, err = client.Transact(t.Context(), putTransaction("u", "a", "1", tables.VersionAbsent))
			failure, _ = state.AsFailure(err)
			require.Equal(t, state.OutcomeNotRun, failure.Outcome)
			require.Equal(t, state.ReasonPlatform, failure.Reason)
			require.Positive(t, failure.RetryAfter)
			_, err = client.Get(t.Context(), "a")
			require.Error(t, err)
			require.Equal(t, arrived, server.Counts())
		})
	}
}

func TestUnreachablePlatformIsNotRun(t *testing.T) {
	listener := httptest.NewServer(http.NotFoundHandler())
	listener.Close()
	client, err := platformclient.New(platformclient.Options{BaseURL: listener.URL}, zerolog.Nop())
	require.NoError(t, err)
	_, err = client.Transact(t.Context(), putTransaction("t", "a", "1", tables.VersionAbsent))
	failure, _ := state.AsFailure(err)
	require.Equal(t, state.OutcomeNotRun, failure.Outcome)
}

func TestExhaustedReadBudgetDoesNotBlockWrites(t *testing.T) {
	server, client := startClient(t, platformclient.Options{ReadsPerSecond: 1e-9, ReadBurst: 2})
	for range 2 {
		_, err := client.Get(t.Context(), "a")
		require.NoError(t, err)
	}
	_, err := client.Get(t.Context(), "a")
	failure, _ := state.AsFailure(err)
	require.Equal(t, state.OutcomeNotRun, failure.Outcome)
	require.Positive(t, failure.RetryAfter)
	require.Equal(t, 2, server.Counts().Reads)
	_, err = client.Transact(t.Context(), putTransaction("t", "a", "1", tables.VersionAbsent))
	require.NoError(t, err)
}

func TestBudgetIsDividedAmongInstances(t *testing.T) {
	_, client := startClient(t, platformclient.Options{ReadsPerSecond: largeBudget, ReadBurst: 1})
	client.DivideBudget(1_000_000)
	_, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	_, err = client.Get(t.Context(), "b")
	failure, _ := state.AsFailure(err)
	require.Greater(t, failure.RetryAfter, 10*time.Minute)
	client.DivideBudget(1)
	require.Eventually(t, func() bool {
		_, err = client.Get(t.Context(), "c")
		return err == nil
	}, 10*time.Second, time.Millisecond)
}

func TestIdenticalReadsShareOneCall(t *testing.T) {
	server, client := startClient(t, platformclient.Options{})
	server.SetSlow(200 * time.Millisecond)
	var reads sync.WaitGroup
	for range 20 {
		reads.Go(func() { _, _ = client.Scan(t.Context(), "p") })
	}
	reads.Wait()
	require.Less(t, server.Counts().Reads, 20)
}

func TestInstanceListKeepsTheLaterIncarnation(t *testing.T) {
	_, client := startClient(t, platformclient.Options{})
	ctx := t.Context()
	require.NoError(t, client.Announce(ctx, state.Instance{ID: "i", Incarnation: 1}))
	require.NoError(t, client.Announce(ctx, state.Instance{ID: "i", Incarnation: 2}))
	require.NoError(t, client.Leave(ctx, "i", 1))
	instances, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Equal(t, []state.Instance{{ID: "i", Incarnation: 2}}, instances)
	require.NoError(t, client.Leave(ctx, "i", 2))
	instances, err = client.Instances(ctx)
	require.NoError(t, err)
	require.Empty(t, instances)
}

func TestObjectsAndStaleReads(t *testing.T) {
	server, client := startClient(t, platformclient.Options{})
	ctx := t.Context()
	_, found, err := client.GetObject(ctx, "a/b")
	require.NoError(t, err)
	require.False(t, found)
	require.NoError(t, client.PutObject(ctx, "a/b", []byte(`{"x":1}`)))
	object, found, err := client.GetObject(ctx, "a/b")
	require.NoError(t, err)
	require.True(t, found)
	require.JSONEq(t, `{"x":1}`, string(object))

	server.SetStaleReads(true)
	server.Put("k", []byte("new"))
	records, err := client.Get(ctx, "k")
	require.NoError(t, err)
	require.False(t, records[0].Exists())
	records, err = tables.ReadLatest(ctx, client, "latest", "k")
	require.NoError(t, err)
	require.Equal(t, "new", string(records[0].Value))
}
