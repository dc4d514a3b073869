package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/test/program"
)

const (
	// soakRuns is how many seeds are played; SOAK_RUNS plays more and SOAK_SEED
	// others.
	soakRuns      = 2
	soakInstances = 3
	soakClients   = 24
	soakTroubles  = 14
	// recovery bounds the time after the troubles until all instances serve.
	// A change of primary that waits for a lost instance takes longest.
	recovery = 30 * time.Second
)

// binary is the program under test. SOAK_BINARY names another one, such as a
// deliberately broken variant.
var binary string

func TestMain(m *testing.M) {
	os.Exit(program.Run(m, "SOAK_BINARY", &binary))
}

func fromEnvironment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// TestSoak lets random troubles overlap around running processes under load.
func TestSoak(t *testing.T) {
	first := fromEnvironment("SOAK_SEED", 1)
	for seed := first; seed < first+fromEnvironment("SOAK_RUNS", soakRuns); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, uint64(seed), true)
		})
	}
}

// regressionSeeds once failed, each with its cause. Instances could not be cut
// off from each other then.
var regressionSeeds = map[uint64]string{
	135: "a change was announced of a primary that another instance had just replaced, and never ended",
}

func TestSoakSeedsThatOnceFailed(t *testing.T) {
	for seed, cause := range regressionSeeds {
		t.Run(cause, func(t *testing.T) {
			t.Parallel()
			soak(t, seed, false)
		})
	}
}

// soak plays a seed, with cuts between instances beside the other troubles or
// without.
func soak(t *testing.T, seed uint64, cuts bool) {
	s := newSystem(t, soakInstances)
	s.cutsPeers = cuts
	s.play(seed, func() {
		var running sync.WaitGroup
		if cuts {
			running.Go(func() { s.cutsOfPeers(rand.New(rand.NewPCG(seed, 99))) })
		}
		s.troubles(rand.New(rand.NewPCG(seed, 1)))
		running.Wait()
		s.heal()
	})
}

// cutsOfPeers cuts instances off from the others, one after the other.
func (s *system) cutsOfPeers(random *rand.Rand) {
	for range 3 {
		i := s.instances[random.IntN(len(s.instances))]
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		s.cutPeers(i, true)
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
		s.cutPeers(i, false)
	}
}

// An instance stands still, alone with the primary, until its lease has ended
// and another database leads. All know each other by then, so that nobody waits
// for it longer than that.
func TestInstanceThatStoodStillLeavesTheOldPrimary(t *testing.T) {
	t.Parallel()
	s := newSystem(t, soakInstances)
	s.play(1, func() {
		time.Sleep(untilEstablished)
		first := s.group.Leader()
		begin, end := s.aloneWithPrimary(s.instances[0], true)
		begin()
		end()
		require.NotEqual(t, first.ID, s.group.Leader().ID, "another database leads")
	})
}

// untilEstablished is how long instances run before all of them count as known
// to each other: two reads of their rows, four seconds apart, and a margin.
const untilEstablished = 11 * time.Second

// play lets troubles happen under load, and checks what clients were told.
func (s *system) play(seed uint64, troubles func()) {
	t := s.t
	defer s.end()
	history := standin.NewHistory()
	s.awaitService(history)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range soakClients {
		clients.Go(func() { s.load(rand.New(rand.NewPCG(seed, uint64(n)+2)), history, stop) })
	}
	troubles()
	s.awaitService(history)
	close(stop)
	clients.Wait()
	writes, reads := history.Acknowledged()
	t.Logf("%d writes and %d reads answered", writes, reads)
	require.NotZero(t, writes)
	require.NotZero(t, reads)
	require.Empty(t, history.Check(s.group, staleness))
	tokens, shared := s.group.Tokens()
	require.False(t, shared, "two holders used one fencing token")
	require.IsNonDecreasing(t, append([]uint64{0}, tokens...))
}

// end ends all processes, and prints their logs where the run failed.
func (s *system) end() {
	for _, i := range s.instances {
		i.end(syscall.SIGKILL)
		if s.t.Failed() {
			s.t.Logf("log of %s:\n%s", i.name, i.output())
		}
	}
}

// awaitService waits until each instance serves a write.
func (s *system) awaitService(history *standin.History) {
	for _, i := range s.instances {
		require.Eventually(s.t, func() bool {
			c, err := dial(i.address, "desk", history)
			if err != nil {
				return false
			}
			defer c.conn.Close()
			id, reply, err := c.do("WRITE probe x")
			history.RecordWrites([]string{id}, reply.Code)
			return err == nil && reply.Code == 0
		}, recovery, 50*time.Millisecond, "%s serves", i.name)
	}
}

// load opens one session after the other until stop.
func (s *system) load(random *rand.Rand, history *standin.History, stop <-chan struct{}) {
	names := []string{"desk", "cab"}
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(100)) * time.Millisecond):
		}
		i := s.instances[random.IntN(len(s.instances))]
		c, err := dial(i.address, names[random.IntN(len(names))], history)
		if err != nil {
			continue
		}
		c.operations(random, stop)
	}
}

// troubles starts one trouble after the other, each of which ends by itself
// after a while, and returns when all have ended.
func (s *system) troubles(random *rand.Rand) {
	var running sync.WaitGroup
	for range soakTroubles {
		time.Sleep(time.Duration(100+random.IntN(1900)) * time.Millisecond)
		begin, end := s.trouble(random)
		lasts := time.Duration(200+random.IntN(5000)) * time.Millisecond
		begin()
		running.Go(func() {
			time.Sleep(lasts)
			end()
		})
	}
	running.Wait()
}

// heal ends what may be left of the troubles.
func (s *system) heal() {
	s.store.SetFaults(nil)
	for _, i := range s.instances {
		for _, p := range i.proxies {
			p.heal()
		}
		s.cutPeers(i, false)
		i.signal(syscall.SIGCONT)
		i.start()
	}
}

// trouble draws what goes wrong: how it begins, and how it ends.
func (s *system) trouble(random *rand.Rand) (begin, end func()) {
	i := s.instances[random.IntN(len(s.instances))]
	if random.IntN(2) == 0 {
		return s.aroundInstance(i, random)
	}
	database := s.group.Database(1 + random.IntN(databases))
	switch random.IntN(7) {
	case 0:
		dark := random.IntN(2) == 0
		return func() { database.Crash(dark) }, database.Restart
	case 1:
		late := time.Duration(random.IntN(3000)) * time.Millisecond
		return func() { database.SetApplyDelay(late) }, func() { database.SetApplyDelay(20 * time.Millisecond) }
	case 2:
		answers := 1 + random.IntN(5)
		return func() { database.DropReplies(answers) }, func() { database.DropReplies(0) }
	case 3:
		refusals := 1 + random.IntN(100)
		return func() { database.RefuseNext(refusals) }, func() { database.RefuseNext(0) }
	case 4:
		answers := 1 + random.IntN(20)
		return func() { database.DropConnections(answers) }, func() { database.DropConnections(0) }
	case 5:
		return s.configure, s.store.ForgetHistory
	default:
		return s.storeFaults(random)
	}
}

// storeFaults lets some of the store's calls go wrong, for all instances or for
// one.
func (s *system) storeFaults(random *rand.Rand) (begin, end func()) {
	fault := standin.Fault(1 + random.IntN(4))
	only := ""
	if random.IntN(2) == 0 {
		only = s.instances[random.IntN(len(s.instances))].name
	}
	every := 1 + random.IntN(3)
	var mu sync.Mutex
	draw := rand.New(rand.NewPCG(random.Uint64(), 3))
	faults := func(caller, _ string) standin.Fault {
		mu.Lock()
		defer mu.Unlock()
		if only != "" && caller != only || draw.IntN(every) != 0 {
			return standin.FaultNone
		}
		return fault
	}
	return func() { s.store.SetFaults(faults) }, func() { s.store.SetFaults(nil) }
}

// pastTheLease is how much longer the instance alone with the primary stands
// still: until its lease has ended and another database leads.
const pastTheLease = 9 * time.Second

// aloneWithPrimary leaves the primary to one instance, which loses the store. If
// it also stands still and loses the other instances, its clients' statements
// and its connections to the old primary are still there when it goes on, and it
// has heard of no change.
func (s *system) aloneWithPrimary(alone *instance, still bool) (begin, end func()) {
	cut := []*proxy{alone.proxies[0]}
	for n := 1; n <= databases; n++ {
		if s.group.Database(n) != s.group.Leader() {
			continue
		}
		for _, i := range s.instances {
			if i != alone {
				cut = append(cut, i.proxies[n])
			}
		}
	}
	begin = func() {
		for _, p := range cut {
			p.silence(true, true)
		}
		if still {
			s.cutPeers(alone, true)
			alone.signal(syscall.SIGSTOP)
		}
	}
	end = func() {
		if still {
			time.Sleep(pastTheLease)
			alone.signal(syscall.SIGCONT)
			time.Sleep(2 * time.Second)
			s.cutPeers(alone, false)
		}
		for _, p := range cut {
			p.heal()
		}
	}
	return begin, end
}

// cutPeers cuts an instance off from the others, or ends that.
func (s *system) cutPeers(from *instance, cut bool) {
	for _, i := range s.instances {
		for address, peer := range i.peers {
			if i == from || address == from.peerAddress {
				peer.setCut(cut)
			}
		}
	}
}

// aroundInstance lets something go wrong with an instance's process or with
// its connections.
func (s *system) aroundInstance(i *instance, random *rand.Rand) (begin, end func()) {
	p := i.proxies[random.IntN(len(i.proxies))]
	switch random.IntN(9) {
	case 0:
		return func() { i.end(syscall.SIGKILL) }, i.start
	case 8:
		return s.aloneWithPrimary(i, s.cutsPeers)
	case 1:
		return func() { go i.end(syscall.SIGTERM) }, func() { i.end(syscall.SIGTERM); i.start() }
	case 2:
		return func() { i.signal(syscall.SIGSTOP) }, func() { i.signal(syscall.SIGCONT) }
	case 3:
		return func() { i.signal(syscall.SIGHUP) }, func() { i.signal(syscall.SIGHUP) }
	case 4:
		return p.reset, p.reset
	case 5:
		delay := time.Duration(random.IntN(300)) * time.Millisecond
		return func() { p.set(func() { p.delay = delay }) }, p.heal
	case 6:
		to := random.IntN(2) == 0
		return func() { p.silence(to, !to) }, p.heal
	default:
		return func() { p.silence(true, true) }, p.heal
	}
}
