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

// onePeer joins two followers.
type onePeer struct {
	other *configuration.Follower
}

func (p *onePeer) Sample(n int) []state.InstanceID { return p.All()[:min(n, 1)] }
func (p *onePeer) All() []state.InstanceID         { return []state.InstanceID{"peer"} }
func (p *onePeer) Exchange(ctx context.Context, _ state.InstanceID, message configuration.Exchange) (configuration.Exchange, error) {
	return p.other.HandleExchange(ctx, message), nil
}

// site is two instances over one stand-in of the platform, the first of them
// with an admin server.
type site struct {
	t        *testing.T
	platform *platform.Server
	followed *configuration.Follower
	admin    string
}

func newSite(t *testing.T) *site {
	s := &site{t: t, platform: platform.NewServer()}
	services := httptest.NewServer(s.platform.Handler())
	t.Cleanup(services.Close)
	client, err := platformclient.New(platformclient.Options{BaseURL: services.URL, WriteBurst: 1000, ReadBurst: 1000}, zerolog.Nop())
	require.NoError(t, err)
	store := configuration.NewStore(client)
	peers := [2]*onePeer{{}, {}}
	s.followed = configuration.NewFollower(store, peers[0], nil, configuration.FollowerOptions{}, zerolog.Nop())
	peers[0].other = configuration.NewFollower(store, peers[1], nil, configuration.FollowerOptions{}, zerolog.Nop())
	peers[1].other = s.followed
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.followed.Run(ctx)
	go peers[0].other.Run(ctx)

	mux := http.NewServeMux()
	groups := func() []state.GroupID { return []state.GroupID{"orders"} }
	admin.NewConfigurationHandler(store, s.followed, groups, zerolog.Nop()).Register(mux)
	server := httptest.NewServer(admin.RequireToken(testToken, false)(mux))
	t.Cleanup(server.Close)
	s.admin = server.URL
	return s
}

// run executes a command line and returns its exit code and output.
func (s *site) run(arguments ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	commands := map[string]*ffcli.Command{
		"plans": PlansCommand(&stdout, &stderr), "limits": LimitsCommand(&stdout, &stderr),
	}
	full := append(arguments[1:], "--admin", s.admin, "--admin-token", testToken)
	err := commands[arguments[0]].ParseAndRun(s.t.Context(), full)
	text := stderr.String()
	if err != nil {
		text += err.Error()
	}
	return ExitCode(err), stdout.String(), text
}

func (s *site) succeed(arguments ...string) string {
	code, stdout, stderr := s.run(arguments...)
	require.Equal(s.t, ExitOK, code, stderr)
	return stdout
}

func (s *site) file(content string) string {
	path := filepath.Join(s.t.TempDir(), "file")
	require.NoError(s.t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestOperatorsEditBothLists(t *testing.T) {
	s := newSite(t)
	password := s.file("correct horse\n")
	out := s.succeed("plans", "edit", "portal", "--user", "portal", "--password-file", password, "--wait")
	require.Equal(t, "accepted as revision 1\nin force on 2 of 2\n", out)
	s.succeed("limits", "edit", "portal", "--max-connections", "5", "--databases", "orders")
	require.Contains(t, s.succeed("limits", "list"), "portal  5")

	listed := s.succeed("plans", "list", "--output", "json")
	require.NotContains(t, listed, "SCRAM")
	require.Contains(t, s.succeed("plans", "apply", "-f", s.file(listed)), "nothing to change at revision 2")
	require.Contains(t, s.followed.Current().Plans[0].PasswordVerifier, "SCRAM-SHA-256$4096:")

	renamed := strings.Replace(listed, `"user": "portal"`, `"user": "portal2"`, 1)
	require.Contains(t, s.succeed("plans", "diff", "-f", s.file(renamed)), `+ plans/portal {"id":"portal","user":"portal2"`)
	require.Equal(t, "accepted as revision 3\n", s.succeed("plans", "apply", "-f", s.file(renamed)))
	require.Contains(t, s.followed.Current().Plans[0].PasswordVerifier, "SCRAM-SHA-256$4096:")

	code, _, stderr := s.run("plans", "apply", "-f", s.file(listed))
	require.Equal(t, ExitFailed, code, "the lists of revision 2 are no longer the current ones")
	require.Contains(t, stderr, "changed since: plans/portal")
	other := strings.Replace(listed, `"user": "portal"`, `"user": "portal3"`, 1)
	code, _, stderr = s.run("plans", "apply", "--rebase", "-f", s.file(other))
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "conflicting with the edit: plans/portal")

	s.succeed("plans", "edit", "portal", "--remove")
	require.Empty(t, s.followed.Current().Plans)
	require.Empty(t, s.followed.Current().Limits)
	var history []historyEntry
	require.NoError(t, json.Unmarshal([]byte(s.succeed("limits", "history", "--output", "json")), &history))
	require.Len(t, history, 4)
	require.Equal(t, []configuration.Entry{{List: configuration.ListLimits, Plan: "portal"}}, history[0].Changed)
}

func TestLostAnswerIsFoundByTheEditID(t *testing.T) {
	s := newSite(t)
	password := s.file("secret")
	arguments := []string{"plans", "edit", "a", "--user", "a", "--password-file", password, "--edit-id", "edit-1"}
	s.succeed(arguments...)
	require.Contains(t, s.succeed(arguments...), "accepted before as revision 1")
	s.platform.SetDown(true)
	code, _, stderr := s.run(arguments...)
	require.Equal(t, ExitFailed, code)
	require.Contains(t, stderr, "edit-1, whose outcome is still unknown")
}

func TestWrongEditsChangeNothing(t *testing.T) {
	s := newSite(t)
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
		{[]string{"plans", "apply", "-f", s.file("{\n\"plans\": [{\"idd\": 1}]}")}, ExitFailed, "line 2: plans[0].idd: unknown key"},
		{[]string{"limits", "apply", "-f", s.file("{\n\"limits\": [{\"plan\": \"a\"}]}")}, ExitFailed, "line 2: limits[0].plan"},
	} {
		code, _, stderr := s.run(test.arguments...)
		require.Equal(t, test.code, code, "%v: %s", test.arguments, stderr)
		require.Contains(t, stderr, test.message)
	}
	require.False(t, s.platform.Record(configuration.KeyCurrent).Exists())
}

func TestAdminServerWantsTheToken(t *testing.T) {
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
