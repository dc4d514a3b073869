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

// stopAndLeave stops an instance gracefully. A moment later its process has ended, so that
// it makes no more calls to the store.
func (tc *testCluster) stopAndLeave(i *instance) {
	i.leadership.Leave(tc.ctx)
	i.kill()
	time.AfterFunc(100*time.Millisecond, func() {
		tc.store.SetTableFaults(func(caller, _, _ string) standin.Fault {
			if caller == i.name {
				return standin.FaultRequestLost
			}
			return standin.FaultNone
		})
	})
}

// A promoter is stopped gracefully after its promotion call was accepted, or sent, and
// before the promotion takes effect. Another instance takes the change over at once and
// does not reach the database. It must not promote another one until the first promotion
// has taken effect or surely never will.
func TestAcceptedPromotionOutlastsItsPromoter(t *testing.T) {
	for name, answerAfter := range map[string]time.Duration{"stopped after the answer": 0, "stopped before the answer": 80 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			run(t, fourInstances, func(tc *testCluster) {
				time.Sleep(25 * time.Second)
				const effectAfter = 4 * time.Second
				tc.group.SetPromotionDelay(effectAfter)
				tc.group.DelayPromotions(answerAfter)
				// The announcement is old enough to be taken over when the call is sent.
				tc.losePrimaryWith("d")
				promoter := tc.awaitSentCall()
				tc.stopAndLeave(promoter)
				tc.awaitAcceptance()
				tc.group.SetPromotionDelay(groupOptions().PromotionDelay)
				others := without([]string{"a", "b", "c"}, []string{promoter.name})
				tc.partition(between(others, []string{string(tc.group.Database(2).ID)}))
				tc.eventually(25*time.Second, "a primary of the other instances", func() bool { return tc.newestRun(others[0]).writable() })
				time.Sleep(2 * effectAfter)
				require.Equal(tc.t, tc.group.Database(3).ID, tc.group.Leader().ID)
				tc.requireValidPromotions()
			})
		})
	}
}

// awaitSentCall waits until an instance has sent a promotion call and has received the
// answer, if that comes at once. It returns the instance.
func (tc *testCluster) awaitSentCall() (promoter *instance) {
	tc.t.Helper()
	const usualRecord = 20 * time.Millisecond
	for began := time.Now(); promoter == nil; time.Sleep(time.Millisecond) {
		require.Less(tc.t, time.Since(began), 15*time.Second, "a promotion call")
		for _, name := range fourInstances {
			if i := tc.newestRun(name); i.leadership.PendingCalls() > 0 {
				promoter = i
			}
		}
	}
	time.Sleep(usualRecord)
	return promoter
}

// awaitAcceptance waits until the platform has accepted a promotion.
func (tc *testCluster) awaitAcceptance() {
	tc.t.Helper()
	tc.eventually(time.Second, "an accepted promotion", func() bool {
		tokens, _ := tc.group.Tokens()
		return len(tokens) > 0
	})
}
