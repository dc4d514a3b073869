package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/standin/platform"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/admin"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/platformclient"
)

const testToken = "operators"

// singlePeer gives a follower one other follower as its only peer.
type singlePeer struct {
	other *configuration.Follower
}

func (p *singlePeer) Sample(n int) []state.InstanceID { return p.All()[:min(n, 1)] }
func (p *singlePeer) All() []state.InstanceID         { return []state.InstanceID{"peer"} }
func (p *singlePeer) Exchange(ctx context.Context, _ state.InstanceID, message configuration.Exchange) (configuration.Exchange, error) {
	return p.other.HandleExchange(ctx, message), nil
}

// testCluster runs the followers of two instances on one stand-in of the
// platform. The first instance has an admin server.
type testCluster struct {
	t        *testing.T
	platform *platform.Server
	follower *configuration.Follower
	adminURL string
}

func newTestCluster(t *testing.T) *testCluster {
	tc := &testCluster{t: t, platform: platform.NewServer()}
	services := httptest.NewServer(tc.platform.Handler())
	t.Cleanup(services.Close)
	client, err := platformclient.New(platformclient.Options{BaseURL: services.URL, WriteBurst: 1000, ReadBurst: 1000}, zerolog.Nop())
	require.NoError(t, err)
	store := configuration.NewStore(client)
	peers := [2]*singlePeer{{}, {}}
	tc.follower = configuration.NewFollower(store, peers[0], nil, configuration.FollowerOptions{}, zerolog.Nop())
	peers[0].other = configuration.NewFollower(store, peers[1], nil, configuration.FollowerOptions{}, zerolog.Nop())
	peers[1].other = tc.follower
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go tc.follower.Run(ctx)
	go peers[0].other.Run(ctx)

	mux := http.NewServeMux()
	groups := func() []state.GroupID { return []state.GroupID{"orders"} }
	admin.NewConfigurationHandler(store, tc.follower, groups, zerolog.Nop()).Register(mux)
	server := httptest.NewServer(admin.RequireToken(testToken, false)(mux))
	t.Cleanup(server.Close)
	tc.adminURL = server.URL
	return tc
}

// run executes a command line and returns its exit code and output.
func (tc *testCluster) run(arguments ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	commands := map[string]*ffcli.Command{
		"plans": PlansCommand(&stdout, &stderr), "limits": LimitsCommand(&stdout, &stderr),
	}
	full := append(arguments[1:], "--admin", tc.adminURL, "--admin-token", testToken)
	err := commands[arguments[0]].ParseAndRun(tc.t.Context(), full)
	text := stderr.String()
	if err != nil {
		text += err.Error()
	}
	return ExitCode(err), stdout.String(), text
}

func (tc *testCluster) mustRun(arguments ...string) string {
	code, stdout, stderr := tc.run(arguments...)
	require.Equal(tc.t, ExitOK, code, stderr)
	return stdout
}

func (tc *testCluster) writeFile(content string) string {
	path := filepath.Join(tc.t.TempDir(), "file")
	require.NoError(tc.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestOperatorsEditBothLists(t *testing.T) {
	tc := newTestCluster(t)
	password := tc.writeFile("correct horse\n")
	out := tc.mustRun("plans", "edit", "portal", "--user", "portal", "--password-file", password, "--wait")
	require.Equal(t, "accepted as revision 1\nin force on 2 of 2\n", out)
	tc.mustRun("limits", "edit", "portal", "--max-connections", "5", "--databases", "orders")
	require.Contains(t, tc.mustRun("limits", "list"), "portal  5")

	listed := tc.mustRun("plans", "list", "--output", "json")
	require.NotContains(t, listed, "SCRAM")
	require.Contains(t, tc.mustRun("plans", "apply", "-f", tc.writeFile(listed)), "nothing to change at revision 2")
	require.Contains(t, tc.follower.Current().Plans[0].PasswordVerifier, "SCRAM-SHA-256$4096:")

	renamed := strings.Replace(listed, `"user": "portal"`, `"user": "portal2"`, 1)
	require.Contains(t, tc.mustRun("plans", "diff", "-f", tc.writeFile(renamed)), `+ plans/portal {"id":"portal","user":"portal2"`)
	require.Equal(t, "accepted as revision 3\n", tc.mustRun("plans", "apply", "-f", tc.writeFile(renamed)))
	require.Contains(t, tc.follower.Current().Plans[0].PasswordVerifier, "SCRAM-SHA-256$4096:")

	code, _, stderr := tc.run("plans", "apply", "-f", tc.writeFile(listed))
	require.Equal(t, ExitFailed, code, "the lists of revision 2 are no longer the current ones")
	require.Contains(t, stderr, "changed since: plans/portal")
	other := strings.Replace(listed, `"user": "portal"`, `"user": "portal3"`, 1)
	code, _, stderr = tc.run("plans", "apply", "--rebase", "-f", tc.writeFile(other))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "conflicting with the edit: plans/portal")

	tc.mustRun("plans", "edit", "portal", "--remove")
	require.Empty(t, tc.follower.Current().Plans)
	require.Empty(t, tc.follower.Current().Limits)
	var history []historyEntry
	require.NoError(t, json.Unmarshal([]byte(tc.mustRun("limits", "history", "--output", "json")), &history))
	require.Len(t, history, 4)
	require.Equal(t, []configuration.Entry{{List: configuration.ListLimits, Plan: "portal"}}, history[0].Changed)
}

func TestRepeatedEditIDReturnsFirstResult(t *testing.T) {
	tc := newTestCluster(t)
	password := tc.writeFile("secret")
	arguments := []string{"plans", "edit", "a", "--user", "a", "--password-file", password, "--edit-id", "edit-1"}
	tc.mustRun(arguments...)
	require.Contains(t, tc.mustRun(arguments...), "accepted before as revision 1")
	tc.platform.SetDown(true)
	code, _, stderr := tc.run(arguments...)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "edit-1, whose outcome is still unknown")
}

func TestInvalidEditsChangeNothing(t *testing.T) {
	tc := newTestCluster(t)
	for _, test := range []struct {
		arguments []string
		code      int
		message   string
	}{
		{[]string{"plans", "edit"}, ExitUsage, "want a plan"},
		{[]string{"plans", "list", "extra"}, ExitUsage, "unexpected argument"},
		{[]string{"plans", "apply"}, ExitUsage, "want -f FILE"},
		{[]string{"plans", "get", "a"}, ExitFailed, "no entry of plan a"},
		{[]string{"plans", "edit", "a", "--user", "a"}, ExitFailed, "no earlier password"},
		{[]string{"limits", "edit", "a", "--max-connections", "1"}, ExitFailed, `there is no plan "a"`},
		{[]string{"plans", "apply", "-f", tc.writeFile("{\n\"plans\": [{\"idd\": 1}]}")}, ExitFailed, "line 2: plans[0].idd: unknown key"},
		{[]string{"limits", "apply", "-f", tc.writeFile("{\n\"limits\": [{\"plan\": \"a\"}]}")}, ExitFailed, "line 2: limits[0].plan"},
	} {
		code, _, stderr := tc.run(test.arguments...)
		require.Equal(t, test.code, code, "%v: %s", test.arguments, stderr)
		require.Contains(t, stderr, test.message)
	}
	require.False(t, tc.platform.Record(configuration.KeyCurrent).Exists())
}

func TestAdminServerRequiresToken(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	for _, test := range []struct {
		token, given, from string
		exempt             bool
		status             int
	}{
		{"t", "Bearer t", "192.0.2.1:5", true, http.StatusOK},
		{"t", "Bearer u", "192.0.2.1:5", true, http.StatusUnauthorized},
		{"t", "t", "192.0.2.1:5", true, http.StatusUnauthorized},
		{"", "Bearer ", "192.0.2.1:5", true, http.StatusUnauthorized},
		{"t", "", "127.0.0.1:5", true, http.StatusOK},
		{"t", "", "127.0.0.1:5", false, http.StatusUnauthorized},
		{"t", "", "not an address", true, http.StatusUnauthorized},
	} {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set("Authorization", test.given)
		request.RemoteAddr = test.from
		recorder := httptest.NewRecorder()
		admin.RequireToken(test.token, test.exempt)(handler).ServeHTTP(recorder, request)
		require.Equal(t, test.status, recorder.Code, "%+v", test)
	}
}
