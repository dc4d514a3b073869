package soak

import (
	"fmt"
	"strings"
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
	changeLimit = 15 * time.Second
)

// An instance starts. The others can't read its row yet when the primary leaves, and the
// promoter doesn't reach that one to make it step down. Meanwhile the new instance
// serves writes under its lease, and hears of the change neither from the store nor from
// the other instances.
func TestChangeWaitsForInstanceWhoseRowWasNotRead(t *testing.T) {
	t.Parallel()
	f := newFleet(t, uint64(intFromEnvironment("FLEET_SEED", 1)))
	defer f.end()
	f.awaitService()
	stopClients := f.startClients()
	time.Sleep(establishedAfter)
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
	fromOld := links{old.links[f.memberOf(<-announced)]}
	fromOld.cut(true)()
	time.Sleep(rowsUnread)
	fromOld.cut(false)()
	cut.cut(false)()
	endUnread()
	endDeaf()
	require.Eventually(t, func() bool { return g.Leader() != old.Database }, changeLimit, 10*time.Millisecond, "the primary is replaced")
	f.awaitService()
	stopClients()
	f.check()
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
