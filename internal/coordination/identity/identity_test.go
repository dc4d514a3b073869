package identity

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

func tableWithKeys() *state.RoutingTable {
	return &state.RoutingTable{
		Version: 7, HasWorkspaces: true, Workspaces: map[state.WorkspaceID]state.Workspace{"acme": {ID: "acme"}},
		KeyOwners: map[state.KeyHash]state.WorkspaceID{state.HashKey("key"): "acme"},
	}
}

func TestDecisions(t *testing.T) {
	public, closed := state.Route{Public: true}, state.Route{}
	fresh := Currency{Age: time.Second, Behind: time.Second}
	stale, behind := Currency{Age: time.Minute}, Currency{Behind: time.Minute}
	loose, strict := Policy{}, Policy{Strict: true}
	within := Policy{Strict: true, Within: 2 * time.Minute}
	for name, test := range map[string]struct {
		policy   Policy
		route    state.Route
		key      string
		currency Currency
		want     Reason
	}{
		"known key":                           {strict, closed, "key", fresh, 0},
		"unknown key":                         {strict, closed, "other", fresh, ReasonUnknownKey},
		"no key":                              {strict, closed, "", stale, ReasonNoKey},
		"public":                              {strict, public, "", stale, 0},
		"public, another instance is newer":   {strict, public, "", behind, 0},
		"stale, strict":                       {strict, closed, "key", stale, ReasonUnverified},
		"stale, strict, unknown":              {strict, closed, "other", stale, ReasonUnverified},
		"stale, strict, within the bound":     {within, closed, "key", stale, 0},
		"stale":                               {loose, closed, "key", stale, 0},
		"stale, unknown":                      {loose, closed, "other", stale, ReasonUnknownKey},
		"another instance is newer":           {loose, closed, "key", behind, ReasonOutdated},
		"another instance is newer for a bit": {loose, closed, "key", Currency{Behind: behindGrace}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			workspace, err := test.policy.Decide(tableWithKeys(), test.route, NewCredential(test.key), test.currency)
			if test.want == 0 {
				require.NoError(t, err)
				require.Equal(t, test.route.Public, workspace == "")
				return
			}
			require.Empty(t, workspace)
			var refused *RefusedError
			require.ErrorAs(t, err, &refused)
			require.Equal(t, test.want, refused.Reason)
		})
	}
}

func TestTableWithoutWorkspacesAsksForNothing(t *testing.T) {
	for _, key := range []string{"", "any"} {
		workspace, err := Policy{Strict: true}.Decide(&state.RoutingTable{}, state.Route{}, NewCredential(key), Currency{Age: time.Hour})
		require.NoError(t, err)
		require.Empty(t, workspace)
	}
}

// A configuration that defines workspaces but lists none lets nobody in.
func TestTableWithNoKeysRefusesAll(t *testing.T) {
	_, err := Policy{}.Decide(&state.RoutingTable{HasWorkspaces: true}, state.Route{}, NewCredential("key"), Currency{})
	require.Error(t, err)
}

func TestErrorsAndCredentialsHideTheKey(t *testing.T) {
	for _, key := range []string{"secret", strings.Repeat("k", 10_000), " secret"} {
		_, err := Policy{}.Decide(tableWithKeys(), state.Route{}, NewCredential(key), Currency{})
		require.NotContains(t, err.Error(), key)
		require.Len(t, NewCredential(key).String(), 2*loggedHashBytes)
	}
	require.True(t, HoldsKey(tableWithKeys(), "key"))
	require.False(t, HoldsKey(tableWithKeys(), "desk"))
}
