package council

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

// silencePromoter loses the renewals and the watch of the primaries of the instance that
// next announces a change, whose name it returns in promoter. That instance reaches no
// other instance, and no database but those for which reached returns true.
func (tc *testCluster) silencePromoter(reached func(database string) bool) (promoter *atomic.Value) {
	promoter = new(atomic.Value)
	promoter.Store("")
	tc.store.SetTableFaults(func(caller, call, table string) standin.Fault {
		if call == "transact" && table == leadership.TablePrimaries {
			promoter.CompareAndSwap("", caller)
		}
		silent := call == "transact" && table == leadership.TableInstances || strings.HasPrefix(call, "watch") && table == leadership.TablePrimaries
		if silent && caller == promoter.Load() {
			return standin.FaultRequestLost
		}
		return standin.FaultNone
	})
	tc.partition(func(a, b string) bool {
		return a == promoter.Load() && b != "store" && !reached(b)
	})
	return promoter
}

// A promoter is held up until another instance has taken its change over, published
// another primary and released the duty. It then acquires the duty again before it has
// seen that, and must not promote the database that it reaches now.
func TestPromoterThatWasHeldUpPromotesNothingAfterATakeOver(t *testing.T) {
	run(t, fourInstances, func(tc *testCluster) {
		time.Sleep(25 * time.Second)
		first := tc.group.Leader().ID
		var reached atomic.Value
		promoter := tc.silencePromoter(func(database string) bool { return database == reached.Load() })
		tc.retirePrimary()
		tc.eventually(3*time.Second, "an announcement", func() bool { return promoter.Load() != "" })
		others := without(fourInstances, []string{promoter.Load().(string)})
		tc.eventually(12*time.Second, "a primary of the other instances", func() bool { return tc.newestRun(others[0]).writable() })
		second := tc.group.Leader().ID
		require.NotEqual(tc.t, first, second)
		for _, name := range others {
			go tc.keepWriting(tc.ctx, name)
		}
		for n := 1; n <= tc.options.Databases; n++ {
			if id := tc.group.Database(n).ID; id != first && id != second {
				reached.Store(string(id))
			}
		}
		time.Sleep(10 * time.Second)
		require.Equal(tc.t, second, tc.group.Leader().ID)
		tc.requireValidPromotions()
	})
}
