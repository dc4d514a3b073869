package council

import (
	"slices"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// requireValidPromotions checks that fencing tokens only went up and were never
// shared.
func (w *testCluster) requireValidPromotions() {
	tokens, shared := w.group.Tokens()
	require.False(w.t, shared, "two holders used one token")
	require.True(w.t, slices.IsSorted(tokens), "tokens %v", tokens)
	w.requireNoSupersededCommit()
}

// requireNoSupersededCommit checks that no commit was made at a database after
// another had taken the lead.
func (w *testCluster) requireNoSupersededCommit() {
	for _, commit := range w.group.Commits() {
		require.False(w.t, commit.Superseded, "commit %v at %s after its successor led", commit.Position, commit.Database)
	}
}

// rolledBack returns the commits that a promotion rolled back.
func (w *testCluster) rolledBack() []standin.Commit {
	lost := w.group.RolledBack()
	return slices.DeleteFunc(w.group.Commits(), func(c standin.Commit) bool { return !lost[c.Position] })
}

// retirePrimary lets the present primary report that it leaves.
func (w *testCluster) retirePrimary() {
	w.group.Leader().Leave()
}

// promoter returns the instance that carries out the change under way.
func (w *testCluster) promoter() string {
	snapshot, err := w.store.Client("test").List(w.ctx, leadership.TablePrimaries)
	require.NoError(w.t, err)
	require.Len(w.t, snapshot.Rows, 1)
	var record leadership.Record
	require.NoError(w.t, msgpack.Unmarshal(snapshot.Rows[0].Value, &record))
	name, _, _ := strings.Cut(record.Promoter, "#")
	return name
}
