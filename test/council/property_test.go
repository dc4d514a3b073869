package council

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// propertyRuns is how many random days are played; COUNCIL_RUNS plays more and
// COUNCIL_SEED others.
const propertyRuns = 30

// TestRandomFaultsBreakNoPromise plays random troubles, alone and together,
// under load, and compares what clients were told with what databases did.
func TestRandomFaultsBreakNoPromise(t *testing.T) {
	runs, first := propertyRuns, 1
	if n, err := strconv.Atoi(os.Getenv("COUNCIL_RUNS")); err == nil {
		runs = n
	}
	if n, err := strconv.Atoi(os.Getenv("COUNCIL_SEED")); err == nil {
		first = n
	}
	for seed := first; seed < first+runs; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSeed(t, uint64(seed)) })
	}
}

// regressionSeeds once failed, each with its cause.
var regressionSeeds = map[uint64]string{
	5:    "a read whose answers were all lost ended as a success without rows",
	2068: "as seed 5, after two tries",
	1085: "a superseded primary was taken for the result of an earlier attempt at a change",
}

func TestSeedsThatOnceFailed(t *testing.T) {
	for seed, cause := range regressionSeeds {
		t.Run(cause, func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	run(t, fourInstances, func(w *testCluster) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := standin.NewHistory()
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for n := range 12 {
			clientRandom := rand.New(rand.NewPCG(seed, uint64(n)+2))
			clients.Go(func() { w.runClient(h, clientRandom, stop) })
		}
		for range 8 {
			time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
			w.injectFault(random)
		}
		w.heal()
		// A change of primary that waits for a lost instance takes longest.
		time.Sleep(25 * time.Second)
		close(stop)
		clients.Wait()
		require.Empty(w.t, h.Check(w.group, maxStaleness))
		w.requireValidPromotions()
		for _, name := range fourInstances {
			require.True(w.t, w.instances[name].writable(), "%s serves after the troubles", name)
		}
	})
}

// runClient runs operations of one client until stop.
func (w *testCluster) runClient(h *standin.History, random *rand.Rand, stop <-chan struct{}) {
	names := []string{"desk", "portal", "cab"}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(60)) * time.Millisecond):
		}
		w.mu.Lock()
		i := w.instances[fourInstances[random.IntN(len(fourInstances))]]
		w.mu.Unlock()
		if i.ctx.Err() != nil {
			continue
		}
		route := names[random.IntN(len(names))]
		session, code := i.engine.Open(route)
		if code != state.CodeNone {
			continue
		}
		c := &client{session: session, cluster: w}
		c.operations(h, random, route)
		session.Close()
	}
}

// operations runs a few operations in one session.
func (c *client) operations(h *standin.History, random *rand.Rand, route string) {
	lastWrite := ""
	for range 1 + random.IntN(4) {
		item := strconv.Itoa(random.IntN(20))
		switch random.IntN(5) {
		case 0:
			id, reply := c.write(item, "x")
			h.RecordWrites([]string{id}, reply.Code)
			if reply.Code == state.CodeNone {
				lastWrite = id
			}
		case 1:
			if id := c.transaction(h, random, item); id != "" {
				lastWrite = id
			}
		default:
			arrived := time.Now()
			id, reply := c.read(item)
			if reply.Code == state.CodeNone {
				h.RecordRead(standin.ObservedRead{ID: id, Proof: reply.Proof, Started: arrived, Consistency: consistencies[route], LastWrite: lastWrite})
			}
		}
		if c.session.InTransaction() {
			return
		}
	}
}

// transaction runs a transaction with writes and returns one of them where it
// was committed.
func (c *client) transaction(h *standin.History, random *rand.Rand, item string) string {
	if _, reply := c.do(state.StatementBegin, "BEGIN"); reply.Code != state.CodeNone {
		return ""
	}
	var ids []string
	for range 1 + random.IntN(3) {
		time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
		id, reply := c.write(item, "y")
		ids = append(ids, id)
		if reply.Code != state.CodeNone {
			_, _ = c.do(state.StatementRollback, "ROLLBACK")
			h.RecordWrites(ids, reply.Code)
			return ""
		}
	}
	if random.IntN(5) == 0 {
		_, _ = c.do(state.StatementRollback, "ROLLBACK")
		h.RecordWrites(ids, state.CodeAborted)
		return ""
	}
	_, reply := c.do(state.StatementCommit, "COMMIT")
	h.RecordWrites(ids, reply.Code)
	if reply.Code != state.CodeNone {
		return ""
	}
	return ids[0]
}

// injectFault lets one thing go wrong, or heals what is wrong.
func (w *testCluster) injectFault(random *rand.Rand) {
	database := w.group.Database(1 + random.IntN(3))
	name := fourInstances[random.IntN(len(fourInstances))]
	everyone := append([]string{"store"}, fourInstances...)
	for n := 1; n <= 3; n++ {
		everyone = append(everyone, string(w.group.Database(n).ID))
	}
	switch random.IntN(9) {
	case 0:
		database.Crash(random.IntN(2) == 0)
		time.AfterFunc(time.Duration(2+random.IntN(6))*time.Second, database.Restart)
	case 1:
		w.instances[name].kill()
		time.AfterFunc(time.Duration(500+random.IntN(5000))*time.Millisecond, func() { w.start(name) })
	case 2:
		w.partition(between([]string{name}, []string{"store"}))
	case 3:
		side := []string{name}
		for _, party := range everyone {
			if random.IntN(2) == 0 {
				side = append(side, party)
			}
		}
		w.partition(between(side, without(everyone, side)))
	case 4:
		w.partition(between(fourInstances, []string{"store"}))
	case 5:
		database.SetApplyDelay(time.Duration(random.IntN(3000)) * time.Millisecond)
	case 6:
		database.DropReplies(1 + random.IntN(3))
	case 7:
		w.injectStoreFault(standin.Fault(1+random.IntN(4)), random)
	default:
		w.heal()
	}
}

func without(all, some []string) []string {
	var rest []string
	for _, party := range all {
		found := false
		for _, other := range some {
			found = found || other == party
		}
		if !found {
			rest = append(rest, party)
		}
	}
	return rest
}

// injectStoreFault lets a third of the store's calls go wrong.
func (w *testCluster) injectStoreFault(fault standin.Fault, random *rand.Rand) {
	faultRandom := rand.New(rand.NewPCG(random.Uint64(), 7))
	w.store.SetFaults(func(_, _ string) standin.Fault {
		if faultRandom.IntN(3) == 0 {
			return fault
		}
		return standin.FaultNone
	})
}

// heal ends what can be ended; instances and databases come back by
// themselves.
func (w *testCluster) heal() {
	w.partition(nil)
	for n := 1; n <= 3; n++ {
		w.group.Database(n).SetApplyDelay(groupOptions().ApplyDelay)
		w.group.Database(n).DropReplies(0)
	}
}
