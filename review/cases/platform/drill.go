package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
)

const (
	// machineCut is how long the promoter is cut off from the platform; the small site cuts
	// machines off for 12 s.
	machineCut = 12 * time.Second
	// copyAge is how old the copy is when the change of primary begins, drillAfter how long
	// after the beginning of the cut the store comes back from it.
	copyAge    = 2 * time.Second
	drillAfter = 500 * time.Millisecond
	// releaseGap is how long after the first change of primary the next database is
	// retired.
	releaseGap = time.Second
	// drainTime is how long a database serves after it has begun to drain.
	drainTime = 8 * time.Second
	// drillEnd is how long clients go on after the cut.
	drillEnd = 8 * time.Second
)

func drillDeployment() deployment {
	d := powerLossDeployment()
	d.links, d.syncReplicas = true, 0
	d.groups[0].SyncReplicas = 0
	return d
}

// playDrill retires the databases of a service one after the other. The machine that
// carries out the first change is cut off from the platform with its promotion call on the
// way, and the store comes back from a copy meanwhile.
func playDrill(c *cluster, trouble bool) (broken []string, err error) {
	group := c.groups[0]
	done := &acknowledged{writes: make(map[string]time.Time)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range writers {
		clients.Go(func() { c.keepWriting(n, done, stop) })
	}
	time.Sleep(beforeLoss)
	from := c.store.Copy()
	time.Sleep(copyAge)
	if trouble {
		c.cutPromoter(from)
	}
	began := time.Now()
	first := group.Leader()
	c.retire(first)
	if second := c.awaitChange(first, machineCut); second != nil {
		time.Sleep(releaseGap)
		c.retire(second)
	}
	time.Sleep(time.Until(began.Add(machineCut + drillEnd)))
	close(stop)
	clients.Wait()
	if len(done.writes) < writers {
		return nil, fmt.Errorf("%w: only %d writes were acknowledged", errSetup, len(done.writes))
	}
	c.record.line("%d writes were acknowledged, the primary is %s", len(done.writes), group.Leader().ID)
	return append(lowerFences(group), supersededCommits(c, group, done)...), nil
}

// cutPromoter has the machine that sends the next promotion call cut off, and the store
// restored from a copy soon after.
func (c *cluster) cutPromoter(from standin.Copy) {
	var once sync.Once
	for _, p := range c.instances {
		p.link.whenPromoting(func() {
			once.Do(func() {
				p.link.cutFor(machineCut)
				time.AfterFunc(drillAfter, func() { c.restore(from) })
			})
		})
	}
}

// retire lets a database drain and end.
func (c *cluster) retire(d *standin.Database) {
	d.Leave()
	c.record.line("%s drains", d.ID)
	time.AfterFunc(drainTime, func() {
		c.record.line("%s ends", d.ID)
		d.Crash(false)
	})
}

// awaitChange waits for another primary and returns it, nil if there is none in time.
func (c *cluster) awaitChange(old *standin.Database, limit time.Duration) *standin.Database {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(beatsInterval) {
		if leader := c.groups[0].Leader(); leader != old {
			return leader
		}
	}
	return nil
}

// lowerFences returns the promotion calls with a lower fence than the platform had seen.
func lowerFences(group *standin.Group) (broken []string) {
	var highest uint64
	for _, call := range group.Promotions() {
		if call.Token < highest {
			broken = append(broken, fmt.Sprintf("ONE: %s promoted %s with fence %d after the platform had seen fence %d", call.Holder, call.Database, call.Token, highest))
		}
		highest = max(highest, call.Token)
	}
	return broken
}

// supersededCommits returns the writes that a superseded primary committed and whose
// requesters were told so.
func supersededCommits(c *cluster, group *standin.Group, done *acknowledged) (broken []string) {
	for _, commit := range group.Commits() {
		if commit.Superseded && slices.ContainsFunc(commit.IDs, done.has) {
			broken = append(broken, fmt.Sprintf("ONE: write %s was committed at %s on %s, which had been superseded, and acknowledged",
				commit.IDs[0], commit.At.Sub(c.record.started).Round(time.Millisecond), commit.Database))
		}
	}
	return broken
}
