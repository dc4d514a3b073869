package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// lateCallTime is how late a promotion call is carried out whose sender has ended.
	lateCallTime = 3 * time.Second
	// heldStatements is for how long an instance is suspended: longer than its lease, and
	// shorter than its clients wait for a reply.
	heldStatements = 4500 * time.Millisecond
	// tunnelLimit bounds the time until an instance tunnels to a primary that it can't
	// reach itself.
	tunnelLimit = time.Minute
	// tunnelled is how long statements go through tunnels.
	tunnelled = 3 * time.Second
)

// The promoter is killed when its promotion call has arrived, so after it has recorded
// the call and before it gets an answer. The call is carried out seconds later, while
// others have gone on with the change.
func TestPromoterEndsBeforeItsCallIsCarriedOut(t *testing.T) {
	playCase(t, func(f *fleet) {
		g := f.groups[f.random(9).IntN(len(f.groups))]
		old := g.find(string(g.Leader().ID))
		called := make(chan *fleetInstance, 1)
		var once sync.Once
		for _, i := range f.members {
			i.calls.set(promotionReset, lateCallTime)
			i.calls.setReport(func(step changeStep, holder string) {
				if step == stepCalled {
					once.Do(func() { called <- f.memberOf(holder) })
				}
			})
		}
		old.Leave()
		promoter := receive(f, called, "a promotion call")
		end := f.disturb("%s killed after its call arrived", promoter.name)
		promoter.stop(syscall.SIGKILL)
		for _, i := range f.members {
			i.calls.set(promotionNormal, 0)
		}
		g.awaitReplaced(f, old)
		promoter.start()
		end()
	})
}

// An instance is suspended while it holds statements, and goes on after another database
// has become primary. The old primary, cut off from its successor, still takes writes.
func TestSuspendedInstanceSendsNoHeldStatementToTheOldPrimary(t *testing.T) {
	playCase(t, func(f *fleet) {
		random := f.random(9)
		g := f.groups[random.IntN(len(f.groups))]
		old := g.find(string(g.Leader().ID))
		suspended := f.randomMember(random)
		isolated := f.isolateReplication(old)
		cut := f.linksTo(old, suspended)
		end := f.disturb("%s suspended, %s cut from all others", suspended.name, old.ID)
		cut.cut(true)()
		suspended.sharing.suspend(suspended.instance, true)
		time.Sleep(heldStatements)
		suspended.sharing.suspend(suspended.instance, false)
		g.awaitReplaced(f, old)
		time.Sleep(afterChange)
		cut.cut(false)()
		isolated()
		end()
	})
}

// isolateReplication keeps a database from exchanging its log with others.
func (f *fleet) isolateReplication(d *fleetDatabase) (end func()) {
	g := f.groupOf(d)
	g.SetPartition(func(a, b string) bool { return a == string(d.ID) && f.isDatabase(b) || f.databasesCut(a, b) })
	return func() { g.SetPartition(f.databasesCut) }
}

func (f *fleet) isDatabase(name string) bool {
	f.zonesMu.Lock()
	defer f.zonesMu.Unlock()
	return f.databaseZones[name] != ""
}

// Two data centres are cut from each other, and instances of one reach a primary in the
// other through tunnels of a third one. The primary changes while they do.
func TestTunnelsAcrossACutBetweenDataCentres(t *testing.T) {
	playCase(t, func(f *fleet) {
		g := f.groupWithPrimaryIn(fleetZones[1])
		old := g.find(string(g.Leader().ID))
		cut := f.zoneCut(fleetZones[0], fleetZones[1])
		end := f.disturb("%s", cut.what)
		cut.begin()
		for _, i := range f.members {
			if i.zone == fleetZones[0] {
				require.Eventually(f.t, func() bool { return f.serves(i, g) }, tunnelLimit, 50*time.Millisecond, "%s serves %s", i.name, g.id)
			}
		}
		time.Sleep(tunnelled)
		old.Leave()
		g.awaitReplaced(f, old)
		time.Sleep(tunnelled)
		cut.end()
		end()
	})
}

func (f *fleet) groupWithPrimaryIn(zone string) *fleetGroup {
	for _, g := range f.groups {
		if d := g.find(string(g.Leader().ID)); d != nil && d.zone == zone {
			return g
		}
	}
	require.Fail(f.t, "no primary", "in %s", zone)
	return nil
}

// A database takes the address of one that has left, of any group, while instances have
// read neither the one nor the other from the store since.
func TestDatabaseAtTheAddressOfOneThatLeft(t *testing.T) {
	playCase(t, func(f *fleet) {
		random := f.random(9)
		for n := range len(f.groups) {
			g, other := f.groups[n], f.groups[(n+1)%len(f.groups)]
			old := g.find(string(g.Leader().ID))
			unaware := f.randomMember(random)
			endDeaf := f.deafen(unaware)
			old.Leave()
			g.awaitReplaced(f, old)
			f.retire(g, old)
			joined := f.join(other, old.zone)
			require.Equal(f.t, old.address, joined.address)
			time.Sleep(afterChange)
			endDeaf()
			f.awaitService()
		}
	})
}
