package council

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// prepare prepares a statement with a shape of its own.
func (c *client) prepare(name, shape string, writes bool) {
	reply := c.session.Handle(state.Statement{ID: nextID(), Kind: state.StatementPrepare, Name: name, Value: shape, Writes: writes}, virtualClock{c.cluster.started}.Now())
	require.Equal(c.cluster.t, state.CodeNone, reply.Code)
}

func (c *client) execute(name, arguments string) state.Reply {
	statement := state.Statement{ID: nextID(), Kind: state.StatementExecute, Name: name, Value: arguments, Text: "EXECUTE " + name + " " + arguments}
	return c.session.Handle(statement, virtualClock{c.cluster.started}.Now())
}

// executeRefused has statements prepared and executed while the databases refuse to
// prepare some of them. Names that the instance acknowledged must stay known, on the
// connections that were refused and later ones, within a transaction and outside.
func (tc *testCluster) executeRefused(names []string) {
	refuse := func() {
		for n := 1; n <= tc.options.Databases; n++ {
			tc.group.Database(n).RefusePrepares(4)
		}
	}
	for round := range 12 {
		for _, name := range names {
			c := tc.instances[name].open("cab")
			c.prepare("r", fmt.Sprint("read", round%6), false)
			c.prepare("w", fmt.Sprint("write", round%6), true)
			refuse()
			if round%2 == 1 {
				_, reply := c.do(state.StatementBegin, "BEGIN")
				require.Equal(tc.t, state.CodeNone, reply.Code)
			}
			for _, reply := range []state.Reply{c.execute("w", "k v"), c.execute("r", "k")} {
				require.Contains(tc.t, []state.ErrorCode{state.CodeNone, state.CodeBusy}, reply.Code, reply.Detail)
			}
			c.session.Close()
		}
	}
}

// A database refuses to prepare statements for a while, as an overloaded one does.
func TestAcknowledgedNamesStayKnownWhilePreparesAreRefused(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(2 * time.Second)
		tc.executeRefused(fourInstances)
		for n := 1; n <= tc.options.Databases; n++ {
			tc.group.Database(n).RefusePrepares(0)
		}
		for round := range 12 {
			c := tc.instances["a"].open("cab")
			c.prepare("w", fmt.Sprint("write", round%6), true)
			require.Equal(tc.t, state.CodeNone, c.execute("w", "k v").Code)
			c.session.Close()
		}
	})
}

// The same where other instances hold the connections and run the statements.
func TestForwardedNamesStayKnownWhilePreparesAreRefused(t *testing.T) {
	runScarce(t, func(tc *testCluster) {
		time.Sleep(5 * time.Second)
		tc.executeRefused(fleet(scarceFleet)[:6])
	})
}
