package council

import (
	"slices"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// requireValidPromotions checks that fencing tokens never decreased, that no two
// holders used the same token, and that no superseded primary committed.
func (tc *testCluster) requireValidPromotions() {
	tokens, shared := tc.group.Tokens()
	require.False(tc.t, shared, "two holders used one token")
	require.True(tc.t, slices.IsSorted(tokens), "tokens %v", tokens)
	tc.requireNoSupersededCommit()
}

// requireNoSupersededCommit checks that no database committed after another had
// become the primary.
func (tc *testCluster) requireNoSupersededCommit() {
	for _, commit := range tc.group.Commits() {
		require.False(tc.t, commit.Superseded, "commit %v at %s after its successor led", commit.Position, commit.Database)
	}
}

// rolledBack returns the commits that a promotion rolled back.
func (tc *testCluster) rolledBack() []standin.Commit {
	lost := tc.group.RolledBack()
	return slices.DeleteFunc(tc.group.Commits(), func(c standin.Commit) bool { return !lost[c.Position] })
}

// retirePrimary marks the current primary as leaving in its registration.
func (tc *testCluster) retirePrimary() {
	tc.group.Leader().Leave()
}

// promoter returns the instance that carries out the change in progress.
func (tc *testCluster) promoter() string {
	snapshot, err := tc.store.Client("test").List(tc.ctx, leadership.TablePrimaries)
	require.NoError(tc.t, err)
	require.Len(tc.t, snapshot.Rows, 1)
	var record leadership.Record
	require.NoError(tc.t, msgpack.Unmarshal(snapshot.Rows[0].Value, &record))
	name, _, _ := strings.Cut(record.Promoter, "#")
	return name
}
