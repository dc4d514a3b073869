package council

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/identity"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

type keysOf = map[state.WorkspaceID][]string

// applied is longer than a new configuration needs to reach all instances.
const applied = 500 * time.Millisecond

// configureKeys writes a configuration with the usual routes and the given keys.
func (tc *testCluster) configureKeys(version uint64, keys keysOf) {
	tc.keys = keys
	tc.configure(version, "desk", "portal", "cab")
	time.Sleep(applied)
}

// runWithKeys is like run, with workspaces acme and birch, which hold key-a and key-b.
func runWithKeys(t *testing.T, names []string, body func(tc *testCluster)) {
	t.Helper()
	run(t, names, func(tc *testCluster) {
		tc.configureKeys(2, keysOf{"acme": {"key-a"}, "birch": {"key-b"}})
		body(tc)
	})
}

// refusedAtOpen returns the code with which an instance refuses a new session.
func (i *instance) refusedAtOpen(route, key string) state.ErrorCode {
	session, reply := i.engine.Open(route, identity.NewCredential(key))
	if session != nil {
		session.Close()
	}
	return reply.Code
}

func TestDatabasesAreToldTheWorkspaceOfTheKey(t *testing.T) {
	runWithKeys(t, []string{"a"}, func(tc *testCluster) {
		for key, workspace := range map[string]state.WorkspaceID{"key-a": "acme", "key-b": "birch"} {
			c := tc.instances["a"].openWith("desk", key)
			_, reply := c.write("item", "x")
			require.Equal(t, state.CodeNone, reply.Code)
			commits := tc.group.Commits()
			require.Equal(t, workspace, commits[len(commits)-1].Workspace)
		}
	})
}

// A client without a valid key is refused at once, and no database notices.
func TestUnknownKeyTouchesNoDatabase(t *testing.T) {
	runWithKeys(t, []string{"a"}, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		before := tc.group.Commits()
		started := time.Now()
		for _, key := range []string{"", "key-c", " key-a", "key-a ", "key-a key-b", "acme"} {
			require.Equal(t, state.CodeNotAuthorized, tc.instances["a"].refusedAtOpen("desk", key), "key %q", key)
		}
		require.Zero(t, time.Since(started), "a refusal waited for something")
		require.Equal(t, before, tc.group.Commits())
		require.Empty(t, tc.group.Reads())
		for _, pool := range tc.instances["a"].pools.Stats() {
			require.LessOrEqual(t, pool.Open, 1, "a connection beside that of the probes")
		}
	})
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	runWithKeys(t, []string{"a"}, func(tc *testCluster) {
		tc.public = map[string]bool{"portal": true}
		tc.configureKeys(3, tc.keys)
		for _, key := range []string{"", "unknown"} {
			_, reply := tc.instances["a"].openWith("portal", key).read("item")
			require.Equal(t, state.CodeNone, reply.Code)
		}
		require.Equal(t, state.CodeNotAuthorized, tc.instances["a"].refusedAtOpen("desk", ""))
		for _, read := range tc.group.Reads() {
			require.Empty(t, read.Workspace)
		}
	})
}

func TestConfigurationWithoutWorkspacesAsksForNoKey(t *testing.T) {
	run(t, []string{"a"}, func(tc *testCluster) {
		for _, key := range []string{"", "any"} {
			_, reply := tc.instances["a"].openWith("desk", key).write("item", "x")
			require.Equal(t, state.CodeNone, reply.Code)
		}
	})
}

// A key is withdrawn while its session is open, at each point of a transaction. What
// the client sends next has no effect and is refused as not authorized.
func TestWithdrawnKeyEndsWhatAnOpenSessionMayDo(t *testing.T) {
	type step struct {
		kind state.StatementKind
		text string
	}
	begin, write := step{state.StatementBegin, "BEGIN"}, step{state.StatementWrite, "WRITE item x"}
	read, commit := step{state.StatementRead, "READ item"}, step{state.StatementCommit, "COMMIT"}
	for name, test := range map[string]struct {
		before []step
		next   step
	}{
		"before a read":                            {nil, read},
		"before a write":                           {[]step{write}, write},
		"before a transaction":                     {nil, begin},
		"between BEGIN and its first statement":    {[]step{begin}, write},
		"within a transaction":                     {[]step{begin, write}, write},
		"within a transaction, a read":             {[]step{begin, write}, read},
		"before the commit":                        {[]step{begin, write}, commit},
		"before the commit of an idle transaction": {[]step{begin}, commit},
	} {
		t.Run(name, func(t *testing.T) {
			runWithKeys(t, []string{"a", "b"}, func(tc *testCluster) {
				c := tc.instances["a"].openWith("desk", "key-a")
				for _, s := range test.before {
					_, reply := c.do(s.kind, s.text)
					require.Equal(t, state.CodeNone, reply.Code)
				}
				commits, reads := len(tc.group.Commits()), len(tc.group.Reads())
				tc.configureKeys(3, keysOf{"acme": {"key-new"}, "birch": {"key-b"}})
				_, reply := c.do(test.next.kind, test.next.text)
				require.Equal(t, state.CodeNotAuthorized, reply.Code)
				_, reply = c.do(state.StatementCommit, "COMMIT")
				require.NotEqual(t, state.CodeNone, reply.Code)
				require.Equal(t, state.CodeNotAuthorized, tc.instances["b"].refusedAtOpen("desk", "key-a"))
				time.Sleep(time.Second)
				require.Len(t, tc.group.Commits(), commits)
				require.Len(t, tc.group.Reads(), reads)
			})
		})
	}
}

// A key moves to another workspace while its session is open. A transaction stays with
// the workspace under which it began, so it must not go on.
func TestKeyOfAnotherWorkspaceEndsTheTransaction(t *testing.T) {
	runWithKeys(t, []string{"a"}, func(tc *testCluster) {
		open := func() *client { return tc.instances["a"].openWith("desk", "key-a") }
		idle, begun, running, ending := open(), open(), open(), open()
		for _, c := range []*client{begun, running, ending} {
			_, reply := c.do(state.StatementBegin, "BEGIN")
			require.Equal(t, state.CodeNone, reply.Code)
		}
		for _, c := range []*client{running, ending} {
			_, reply := c.write("item", "lost")
			require.Equal(t, state.CodeNone, reply.Code)
		}
		tc.configureKeys(3, keysOf{"acme": {}, "birch": {"key-a"}})
		for _, c := range []*client{idle, begun} {
			_, reply := c.read("item")
			require.Equal(t, state.CodeNone, reply.Code)
		}
		for _, read := range tc.group.Reads() {
			require.Equal(t, state.WorkspaceID("birch"), read.Workspace)
		}
		_, reply := running.write("item", "lost")
		require.Equal(t, state.CodeAborted, reply.Code)
		require.Equal(t, state.TransactionFailed, reply.Transaction)
		_, reply = ending.do(state.StatementCommit, "COMMIT")
		require.Equal(t, state.CodeAborted, reply.Code)
		require.Equal(t, state.TransactionNone, reply.Transaction)
		time.Sleep(time.Second)
		require.Empty(t, tc.group.Commits())
	})
}

// Many workspaces share few connections, beside transactions, keys that move and lost
// connections. No statement may run on a connection of another workspace.
func TestNoConnectionServesTwoWorkspaces(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		workspaces := rapid.IntRange(1, 12).Draw(rt, "workspaces")
		connections := rapid.IntRange(3, 9).Draw(rt, "connections")
		clients := rapid.IntRange(1, 16).Draw(rt, "clients")
		seed := rapid.Uint64().Draw(rt, "seed")
		moves := rapid.Bool().Draw(rt, "keys move")
		options := groupOptions()
		options.MaxConnections = connections
		var ran int
		var violations []string
		runWith(t, options, []string{"a"}, testLog, func(tc *testCluster) {
			load := newWorkspaceLoad(tc, workspaces, seed)
			load.configure(2)
			var running sync.WaitGroup
			for n := range clients {
				running.Go(func() { load.run(n) })
			}
			if moves {
				time.Sleep(time.Second)
				load.moveKeys()
			}
			running.Wait()
			ran, violations = load.check()
		})
		require.NotZero(rt, ran)
		require.Empty(rt, violations)
	})
}

// workspaceLoad is random work on behalf of workspaces, each of which holds one key.
type workspaceLoad struct {
	tc    *testCluster
	count int
	seed  uint64

	mu sync.Mutex
	// shift is by how much the owners of keys have moved, settled whether all
	// instances know.
	shift   int
	settled bool
	// allowed holds the workspaces on whose behalf each statement may have run.
	allowed map[string][]state.WorkspaceID
}

func newWorkspaceLoad(tc *testCluster, count int, seed uint64) *workspaceLoad {
	return &workspaceLoad{tc: tc, count: count, seed: seed, settled: true, allowed: make(map[string][]state.WorkspaceID)}
}

// owner returns the workspace that holds a key after the owners moved by shift.
func (l *workspaceLoad) owner(key, shift int) state.WorkspaceID {
	return state.WorkspaceID(fmt.Sprintf("w%d", (key+shift)%l.count))
}

func (l *workspaceLoad) configure(version uint64) {
	keys := make(keysOf)
	for key := range l.count {
		owner := l.owner(key, l.shift)
		keys[owner] = append(keys[owner], fmt.Sprintf("key-%d", key))
	}
	l.tc.configureKeys(version, keys)
}

func (l *workspaceLoad) moveKeys() {
	l.mu.Lock()
	l.shift, l.settled = 1, false
	l.mu.Unlock()
	l.configure(3)
	l.mu.Lock()
	l.settled = true
	l.mu.Unlock()
}

// run does the work of one client.
func (l *workspaceLoad) run(n int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(n)))
	key := n % l.count
	routes := []string{"desk", "portal", "cab"}
	for range 12 {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		session, _ := l.tc.instances["a"].engine.Open(routes[random.IntN(len(routes))], identity.NewCredential(fmt.Sprintf("key-%d", key)))
		if session == nil {
			continue
		}
		c := &client{session: session, cluster: l.tc}
		inTransaction := random.IntN(2) == 0
		if inTransaction {
			c.do(state.StatementBegin, "BEGIN")
		}
		for range 1 + random.IntN(3) {
			l.statement(c, key, random)
		}
		if inTransaction {
			c.do(state.StatementCommit, "COMMIT")
		}
		session.Close()
	}
}

func (l *workspaceLoad) statement(c *client, key int, random *rand.Rand) {
	l.mu.Lock()
	allowed := []state.WorkspaceID{l.owner(key, l.shift)}
	if !l.settled {
		allowed = append(allowed, l.owner(key, 0))
	}
	l.mu.Unlock()
	var id string
	if random.IntN(3) == 0 {
		id, _ = c.write("item", "x")
	} else {
		id, _ = c.read("item")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allowed[id] = append(allowed, l.owner(key, l.shift))
}

// check returns how many statements ran, and those that did not run on behalf of their
// workspace.
func (l *workspaceLoad) check() (ran int, violations []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	check := func(id string, workspace state.WorkspaceID) {
		ran++
		if !slices.Contains(l.allowed[id], workspace) {
			violations = append(violations, fmt.Sprintf("%s ran on behalf of %s instead of %v", id, workspace, l.allowed[id]))
		}
	}
	for _, read := range l.tc.group.Reads() {
		check(read.ID, read.Workspace)
	}
	for _, commit := range l.tc.group.Commits() {
		for _, id := range commit.IDs {
			check(id, commit.Workspace)
		}
	}
	return ran, violations
}

// An instance is cut off from the store while keys may be withdrawn. With strict
// revocation it refuses keys once it can't tell for too long, except on public routes;
// otherwise it goes on.
func TestStrictRevocationWhileTheStoreIsCutOff(t *testing.T) {
	for _, strict := range []bool{false, true} {
		t.Run(fmt.Sprintf("strict: %v", strict), func(t *testing.T) {
			run(t, []string{"a"}, func(tc *testCluster) {
				tc.identity = identity.Policy{Strict: strict, Within: 3 * time.Second}
				tc.public = map[string]bool{"portal": true}
				tc.configureKeys(2, keysOf{"acme": {"key-a"}})
				tc.start("a")
				a := tc.instances["a"]
				tc.eventually(2*time.Second, "a start", func() bool { return a.refusedAtOpen("portal", "") == state.CodeNone })
				time.Sleep(10 * time.Second)
				require.True(t, a.engine.Serviceable())
				c := a.openWith("desk", "key-a")
				tc.partition(between([]string{"a"}, []string{"store"}))
				time.Sleep(500 * time.Millisecond)
				_, reply := c.read("item")
				require.Equal(t, state.CodeNone, reply.Code)
				time.Sleep(2600 * time.Millisecond)
				_, reply = c.read("item")
				require.Equal(t, !strict, a.engine.Serviceable())
				require.Equal(t, state.CodeNone, a.refusedAtOpen("portal", ""))
				if !strict {
					// The lease may have ended meanwhile.
					require.NotContains(t, reply.Detail, "keys")
					require.Equal(t, state.CodeNone, a.refusedAtOpen("desk", "key-a"))
					return
				}
				require.Equal(t, state.CodeBusy, reply.Code)
				require.Contains(t, reply.Detail, "whether keys are still valid, retry after 2000 ms")
				require.Equal(t, state.CodeBusy, a.refusedAtOpen("desk", "key-a"))
				tc.partition(nil)
				tc.eventually(5*time.Second, "keys accepted again", func() bool { return a.refusedAtOpen("desk", "key-a") == state.CodeNone })
			})
		})
	}
}

// The store is restored from a copy in which a withdrawn key is still valid, and an
// instance restarts before the operators write their configuration again. The others
// know the newer version.
func TestRestartedInstanceDoesNotServeWithARestoredConfiguration(t *testing.T) {
	for _, gap := range []time.Duration{0, 20 * time.Millisecond, time.Second} {
		t.Run(gap.String(), func(t *testing.T) {
			runWithKeys(t, []string{"a", "b", "c"}, func(tc *testCluster) { tc.restartAfterRestore(gap) })
		})
	}
}

func (tc *testCluster) restartAfterRestore(gap time.Duration) {
	t := tc.t
	time.Sleep(10 * time.Second)
	from := tc.store.Copy()
	tc.configureKeys(3, keysOf{"acme": {"key-new"}})
	time.Sleep(10 * time.Second)
	tc.newestRun("c").kill()
	tc.store.Restore(from)
	time.Sleep(gap)
	tc.start("c")
	for range 1000 {
		require.NotEqual(t, state.CodeNone, tc.newestRun("c").refusedAtOpen("desk", "key-a"))
		require.NotEqual(t, state.CodeNone, tc.newestRun("a").refusedAtOpen("desk", "key-a"))
		time.Sleep(10 * time.Millisecond)
	}
	require.False(t, tc.newestRun("c").engine.Serviceable())
	tc.store.Put(tableRoutes, "config", tc.lastConfiguration)
	tc.eventually(5*time.Second, "service with the newest configuration", func() bool {
		return tc.newestRun("c").refusedAtOpen("desk", "key-new") == state.CodeNone
	})
	require.True(t, tc.newestRun("c").engine.Serviceable())
}

// Keys reach neither logs nor dumps, wherever clients send them.
func TestKeysAreNotLogged(t *testing.T) {
	var output bytes.Buffer
	log := func(*testing.T) zerolog.Logger { return zerolog.New(zerolog.SyncWriter(&output)) }
	runWithLogger(t, []string{"a"}, log, func(tc *testCluster) {
		tc.configureKeys(2, keysOf{"acme": {"key-secret"}})
		a := tc.instances["a"]
		c := a.openWith("desk", "key-secret")
		_, reply := c.write("item", "x")
		require.Equal(t, state.CodeNone, reply.Code)
		a.refusedAtOpen("key-secret", "desk")
		a.refusedAtOpen("desk", "key-secret-of-another-day")
		tc.configureKeys(3, keysOf{"acme": {}})
		c.write("item", "x")
	})
	require.NotContains(t, output.String(), "key-secret")
	require.Contains(t, output.String(), `"workspace":"acme"`)
	require.Contains(t, output.String(), identity.NewCredential("key-secret").String())
}
