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

const plenty = 1e6

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// start returns a stand-in and a client of it that has a large budget.
func start(t *testing.T, options platformclient.Options) (*platform.Server, *platformclient.Client) {
	server := platform.NewServer()
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	options.BaseURL = listener.URL
	if options.ReadsPerSecond == 0 {
		options.ReadsPerSecond, options.ReadBurst = plenty, plenty
	}
	if options.WritesPerSecond == 0 {
		options.WritesPerSecond, options.WriteBurst = plenty, plenty
	}
	client, err := platformclient.New(options, zerolog.Nop())
	require.NoError(t, err)
	t.Cleanup(client.Close)
	return server, client
}

func put(id, key, value string, version uint64) tables.Transaction {
	return tables.Transaction{
		ID:         id,
		Conditions: []tables.Condition{{Key: key, Version: version}},
		Writes:     []tables.Write{{Key: key, Value: []byte(value)}},
	}
}

// Each transaction adds one to a counter, on the version that the one before
// left. Whatever is lost, slow or failing, a committed answer means that it
// took effect once, a not-run one that it did not, and the reported version is
// the record's.
func TestTransactionsTakeEffectOnceWhateverIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		server := platform.NewServer()
		listener := httptest.NewServer(server.Handler())
		defer listener.Close()
		client, err := platformclient.New(platformclient.Options{
			BaseURL: listener.URL, ResolveTimeout: time.Second, RetryWait: time.Millisecond,
			WritesPerSecond: plenty, WriteBurst: plenty,
		}, zerolog.Nop())
		require.NoError(rt, err)
		defer client.Close()
		for i := range rapid.IntRange(1, 6).Draw(rt, "transactions") {
			server.DropNextResponses(rapid.IntRange(0, 2).Draw(rt, "lost"))
			server.SetErrorShare(rapid.SampledFrom([]float64{0, 0.3}).Draw(rt, "errors"))
			server.SetDown(rapid.IntRange(0, 9).Draw(rt, "down") == 0)
			before := server.Record("counter")
			want := fmt.Sprint(i)
			result, err := client.Transact(rt.Context(), put(fmt.Sprintf("t%d", i), "counter", want, before.Version))
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

func TestConflictShowsPresentRecords(t *testing.T) {
	server, client := start(t, platformclient.Options{})
	server.Put("a", []byte("1"))
	result, err := client.Transact(t.Context(), put("t", "a", "2", tables.VersionAbsent))
	require.NoError(t, err)
	require.False(t, result.Committed)
	require.Equal(t, []tables.Record{server.Record("a")}, result.Records)
}

func TestBreakerRefusesAtOnceWhenPlatformIsDownOrSlow(t *testing.T) {
	for name, fail := range map[string]func(*platform.Server){
		"down": func(s *platform.Server) { s.SetDown(true) },
		"slow": func(s *platform.Server) { s.SetSlow(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			server, client := start(t, platformclient.Options{Timeout: 20 * time.Millisecond, ResolveTimeout: time.Minute})
			fail(server)
			_, err := client.Transact(t.Context(), put("t", "a", "1", tables.VersionAbsent))
			failure, _ := state.AsFailure(err)
			require.Equal(t, state.OutcomeUnknown, failure.Outcome, "the breaker opened before the result was learnt")
			require.False(t, client.Available())
			arrived := server.Counts()
			_, err = client.Transact(t.Context(), put("u", "a", "1", tables.VersionAbsent))
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
	_, err = client.Transact(t.Context(), put("t", "a", "1", tables.VersionAbsent))
	failure, _ := state.AsFailure(err)
	require.Equal(t, state.OutcomeNotRun, failure.Outcome)
}

func TestBudgetOfReadsLeavesThatOfWrites(t *testing.T) {
	server, client := start(t, platformclient.Options{ReadsPerSecond: 1e-9, ReadBurst: 2})
	for range 2 {
		_, err := client.Get(t.Context(), "a")
		require.NoError(t, err)
	}
	_, err := client.Get(t.Context(), "a")
	failure, _ := state.AsFailure(err)
	require.Equal(t, state.OutcomeNotRun, failure.Outcome)
	require.Positive(t, failure.RetryAfter)
	require.Equal(t, 2, server.Counts().Reads)
	_, err = client.Transact(t.Context(), put("t", "a", "1", tables.VersionAbsent))
	require.NoError(t, err)
}

func TestBudgetIsThePartOfAllInstances(t *testing.T) {
	_, client := start(t, platformclient.Options{ReadsPerSecond: plenty, ReadBurst: 1})
	client.ShareAmong(1_000_000)
	_, err := client.Get(t.Context(), "a")
	require.NoError(t, err)
	_, err = client.Get(t.Context(), "b")
	failure, _ := state.AsFailure(err)
	require.Greater(t, failure.RetryAfter, 10*time.Minute)
	client.ShareAmong(1)
	require.Eventually(t, func() bool {
		_, err = client.Get(t.Context(), "c")
		return err == nil
	}, 10*time.Second, time.Millisecond)
}

func TestIdenticalReadsShareOneCall(t *testing.T) {
	server, client := start(t, platformclient.Options{})
	server.SetSlow(200 * time.Millisecond)
	var reads sync.WaitGroup
	for range 20 {
		reads.Go(func() { _, _ = client.Scan(t.Context(), "p") })
	}
	reads.Wait()
	require.Less(t, server.Counts().Reads, 20)
}

func TestInstanceListKeepsTheLaterIncarnation(t *testing.T) {
	_, client := start(t, platformclient.Options{})
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
	server, client := start(t, platformclient.Options{})
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
