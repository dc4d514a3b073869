package soak

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

const (
	// rowsReadAgain is longer than the time between two reads of the instances' rows.
	rowsReadAgain = 5 * time.Second
	// rowsUnread is for how long the promoter can't read the rows once it has announced
	// a change: longer than a change takes without this.
	rowsUnread = 4 * time.Second
	// changeLimit bounds a change of primary after that.
	changeLimit = time.Minute
	// afterChange is for how long a faulty instance goes on beside the new primary: as
	// long as a lease.
	afterChange = 4 * time.Second
	// removalAttempts is how often an instance is stopped until its removal of its row
	// arrives, removalArrives how long that is waited for: it is sent before the end.
	removalAttempts = 10
	removalArrives  = time.Second
	// busyStatusDelay is longer than a status query is waited for.
	busyStatusDelay = 5 * time.Second
)

// An instance starts. The others can't read its row yet when the primary leaves, and the
// promoter doesn't reach that one to make it step down. Meanwhile the new instance
// serves writes under its lease, and hears of the change neither from the store nor from
// the other instances.
func TestChangeWaitsForInstanceWhoseRowWasNotRead(t *testing.T) {
	playCase(t, func(f *fleet) {
		started, g := f.members[len(f.members)-1], f.groups[0]
		old := g.find(string(g.Leader().ID))
		started.terminate()
		time.Sleep(rowsReadAgain)
		endUnread := f.hideInstance(started)
		announced := f.awaitAnnouncement(string(g.id))
		started.start()
		require.Eventually(t, func() bool { return f.serves(started, g) }, fleetRecovery, 10*time.Millisecond)
		endDeaf := f.faults.addRule(storeRule{member: started.name, table: "primaries", calls: "list", fault: standin.FaultRefused})
		cut := f.peersOf(started)
		cut.cut(true)()
		old.Leave()
		fromOld := links{old.links[f.memberOf(receive(f, announced, "the announcement of a change"))]}
		fromOld.cut(true)()
		time.Sleep(rowsUnread)
		fromOld.cut(false)()
		cut.cut(false)()
		endUnread()
		endDeaf()
		g.awaitReplaced(f, old)
	})
}

// playCase plays a case under load, awaits service and checks what clients observed.
func playCase(t *testing.T, run func(f *fleet)) {
	t.Helper()
	t.Parallel()
	f := newFleet(t, uint64(intFromEnvironment("FLEET_SEED", 1)))
	defer f.end()
	f.awaitService()
	stopClients := f.startClients()
	time.Sleep(establishedAfter)
	run(f)
	f.awaitService()
	stopClients()
	f.check()
}

// receive waits for an event of the case.
func receive[T any](f *fleet, events <-chan T, what string) T {
	f.t.Helper()
	select {
	case event := <-events:
		return event
	case <-time.After(changeLimit):
		require.Fail(f.t, "waited in vain", what)
		panic("not reached")
	}
}

// awaitReplaced waits until a group has another primary than the given one.
func (g *fleetGroup) awaitReplaced(f *fleet, old *fleetDatabase) {
	require.Eventually(f.t, func() bool { return g.Leader() != old.Database }, changeLimit, 10*time.Millisecond, "the primary is replaced")
}

// hideInstance makes the other instances' reads of the instances' rows fail, and watches
// of the instance itself silent.
func (f *fleet) hideInstance(hidden *fleetInstance) (end func()) {
	ends := []func(){f.disturb("the row of %s can't be read, and it hears nothing", hidden.name)}
	for _, i := range f.members {
		rule := storeRule{member: i.name, table: "instances", calls: "list", fault: standin.FaultRefused}
		if i == hidden {
			rule = storeRule{member: i.name, calls: "watch,watch response", fault: standin.FaultRequestLost}
		}
		ends = append(ends, f.faults.addRule(rule))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// The removal of an instance's row at its end gets no answer and is carried out once the
// next run has written its own row and got a lease. Then the primary leaves, which the
// others can't make step down. The new run hears of that neither from the store nor from
// the other instances, and serves writes under its lease.
func TestChangeWaitsForInstanceWhoseOldRowIsRemovedLate(t *testing.T) {
	playCase(t, func(f *fleet) { f.removeRowLate(withdrawals[f.seed%uint64(len(withdrawals))]) })
}

// withdrawal lets a primary leave while only one instance uses it and nobody can make it
// step down.
type withdrawal func(f *fleet, old *fleetDatabase, user *fleetInstance) (end func())

// withdrawals are the ways to do so, of which the seed chooses one.
var withdrawals = []withdrawal{withdrawBusy, withdrawCut, withdrawUnregistered}

func withdrawBusy(_ *fleet, old *fleetDatabase, _ *fleetInstance) func() {
	old.SetStatusDelay(busyStatusDelay)
	old.Leave()
	return func() { old.SetStatusDelay(0) }
}

func withdrawCut(f *fleet, old *fleetDatabase, user *fleetInstance) func() {
	old.Leave()
	l := f.linksTo(old, user)
	l.cut(true)()
	return l.cut(false)
}

func withdrawUnregistered(f *fleet, old *fleetDatabase, _ *fleetInstance) func() {
	announced := f.awaitAnnouncement(string(old.Server().Group))
	old.Leave()
	receive(f, announced, "the announcement of a change")
	return f.unregister(old)
}

// removeRowLate plays the case with one way in which the primary leaves.
func (f *fleet) removeRowLate(withdraw withdrawal) {
	random := f.random(8)
	restarted, g := f.randomMember(random), f.groups[random.IntN(len(f.groups))]
	old := g.find(string(g.Leader().ID))
	removed := f.restartBeforeRemoval(restarted, g, time.Duration(1000+random.IntN(5000))*time.Millisecond)
	receive(f, f.awaitRow("instances", restarted.name), "a renewal")
	endDeaf := f.deafen(restarted)
	removed()
	endWithdrawal := withdraw(f, old, restarted)
	g.awaitReplaced(f, old)
	time.Sleep(afterChange)
	endWithdrawal()
	endDeaf()
}

// restartBeforeRemoval restarts an instance and keeps the removal of its row back. It
// returns, after the given time at the earliest, when the new run serves writes, with the
// function that carries the removal out.
func (f *fleet) restartBeforeRemoval(i *fleetInstance, g *fleetGroup, late time.Duration) (carryOut func()) {
	endHeld := f.faults.addRule(storeRule{member: i.name, table: "instances", calls: "removal", fault: standin.FaultHeld})
	due := f.stopWithRemoval(i).Add(late)
	endHeld()
	i.start()
	require.Eventually(f.t, func() bool { return f.serves(i, g) }, fleetRecovery, 10*time.Millisecond)
	time.Sleep(time.Until(due))
	return func() {
		f.disturb("the row of the run before of %s is removed", i.name)()
		f.store.CarryOutHeld()
	}
}

// stopWithRemoval stops an instance whose removal of its row is kept back, and returns when
// it ended. One that ends before the store has received its removal is started again.
func (f *fleet) stopWithRemoval(i *fleetInstance) time.Time {
	for range removalAttempts {
		i.stop(syscall.SIGTERM)
		ended := time.Now()
		for time.Since(ended) < removalArrives {
			if f.store.Held() > 0 {
				return ended
			}
			time.Sleep(10 * time.Millisecond)
		}
		i.start()
		f.awaitService()
	}
	require.Fail(f.t, "no removal", "of the row of %s arrived", i.name)
	return time.Time{}
}

// deafen keeps an instance from hearing of changes: its watches are silent, its other
// calls to the store are refused, and it reaches no other instance.
func (f *fleet) deafen(i *fleetInstance) (end func()) {
	ends := []func(){
		f.disturb("%s hears nothing", i.name),
		f.faults.addRule(storeRule{member: i.name, calls: "watch,watch response", fault: standin.FaultRequestLost}),
		f.faults.addRule(storeRule{member: i.name, calls: "list,transact,removal", fault: standin.FaultRefused}),
		f.peersOf(i).cut(false),
	}
	f.peersOf(i).cut(true)()
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// linksTo returns the links to a database from all instances but one.
func (f *fleet) linksTo(d *fleetDatabase, except *fleetInstance) links {
	var l links
	for _, i := range f.members {
		if i != except {
			l = append(l, d.links[i])
		}
	}
	return l
}

// awaitRow returns a channel that is closed when a row is written next.
func (f *fleet) awaitRow(table, key string) <-chan struct{} {
	written := make(chan struct{})
	var once sync.Once
	go f.observe(table, func(changed string, _ map[string]any) {
		if changed == key {
			once.Do(func() { close(written) })
		}
	})
	return written
}

// awaitAnnouncement returns a channel on which the run arrives that announces the next
// change of a group's primary.
func (f *fleet) awaitAnnouncement(group string) <-chan string {
	announced := make(chan string, 1)
	go f.observe("primaries", func(key string, fields map[string]any) {
		if changing, _ := fields["changing"].(bool); changing && key == group {
			select {
			case announced <- fmt.Sprint(fields["promoter"]):
			default:
			}
		}
	})
	return announced
}

// memberOf returns the instance of a run.
func (f *fleet) memberOf(run string) *fleetInstance {
	name, _, _ := strings.Cut(run, "#")
	for _, i := range f.members {
		if i.name == name {
			return i
		}
	}
	return nil
}
