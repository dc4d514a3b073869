package main

import (
	"fmt"
	"sync"
	"time"

	standin "github.com/cyclamenpin/cyclamenpin/internal/standin/platform/council"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// regionDelay is the delay between regions, one way: the far replica has received what
	// was committed that long ago. It receives each receivePace.
	regionDelay = 12 * time.Millisecond
	receivePace = 2 * regionDelay
	// machinesDown, primaryDown and replicaDown are how long the machines and the databases
	// are without power: in the small sites 3.5 s, 8.71 s and 5.62 s.
	machinesDown = 3500 * time.Millisecond
	primaryDown  = 8700 * time.Millisecond
	replicaDown  = 5600 * time.Millisecond
	// writers is the number of sessions that write, each every writePace.
	writers   = 10
	writePace = 20 * time.Millisecond
	// beforeLoss and afterLoss are how long the clients write before the loss of power
	// and after the databases are back.
	beforeLoss = 6600 * time.Millisecond
	afterLoss  = 12 * time.Second
)

func powerLossDeployment() deployment {
	return deployment{
		zones: []string{"chc-depot", "dud-depot", "wlg-depot"}, instances: 4, syncReplicas: 1,
		groups: []standin.Options{{
			Group: "dispatch-db", Databases: 3, MaxConnections: maxConnections, Slots: slots, MaxQueued: queued, ServiceTime: 2 * time.Millisecond,
			ReceiveDelay: time.Millisecond, ApplyDelay: 60 * time.Millisecond, PromotionDelay: time.Second, SyncReplicas: 1, FollowDelay: time.Second,
		}},
		routes: []route{{Name: "r-order", Host: "order-entry", Type: "primary", Backend: "dispatch-db", Prio: 1, TimeoutMs: 800, SloMs: 400}},
	}
}

// acknowledged holds the writes that clients were told are done, by request id.
type acknowledged struct {
	mu     sync.Mutex
	writes map[string]time.Time
}

func (a *acknowledged) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writes[id] = time.Now()
}

func (a *acknowledged) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, done := a.writes[id]
	return done
}

// loss is a loss of power of all machines of the system, the primary and one replica.
type loss struct {
	machinesDown time.Duration
	// changedBefore is set if the group's primary was changed as planned before.
	changedBefore bool
	// began is called when the power is lost; it may be nil.
	began func()
}

// playPowerLoss plays a loss of power alone.
func playPowerLoss(c *cluster, trouble bool) (broken []string, err error) {
	return c.writeAround(trouble, loss{machinesDown: machinesDown, changedBefore: true})
}

// writeAround lets clients write before and after a loss of power.
func (c *cluster) writeAround(trouble bool, l loss) (broken []string, err error) {
	group := c.groups[0]
	if l.changedBefore {
		if err := c.changeAsPlanned(group); err != nil {
			return nil, err
		}
	}
	primary := group.Leader()
	var replicas []*standin.Database
	for n := 1; n <= 3; n++ {
		if d := group.Database(n); d != primary {
			replicas = append(replicas, d)
		}
	}
	near := replicas[0]
	far := &farReplica{group: group, database: replicas[1]}
	return c.writeWhile(trouble, far, func() { c.lose(l, far, primary, near) })
}

// writeWhile lets clients write before, during and after a disruption. It begins when the
// far replica lacks the commits of regionDelay.
func (c *cluster) writeWhile(trouble bool, far *farReplica, disruption func()) (broken []string, err error) {
	group := c.groups[0]
	done := &acknowledged{writes: make(map[string]time.Time)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { far.receive(stop) })
	for n := range writers {
		clients.Go(func() { c.keepWriting(n, done, stop) })
	}
	time.Sleep(beforeLoss)
	if trouble {
		far.awaitDelay()
		disruption()
	}
	time.Sleep(afterLoss)
	close(stop)
	clients.Wait()
	if len(done.writes) < writers {
		return nil, fmt.Errorf("%w: only %d writes were acknowledged", errSetup, len(done.writes))
	}
	c.record.line("%d writes were acknowledged, the primary is %s", len(done.writes), group.Leader().ID)
	return c.lostCommits(group, done), nil
}

// changeAsPlanned lets the first primary be retired, and a new database take its place as a
// replica.
func (c *cluster) changeAsPlanned(group *standin.Group) error {
	first := group.Leader()
	first.Leave()
	for deadline := time.Now().Add(15 * time.Second); group.Leader() == first; {
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: no planned change of primary", errSetup)
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	first.Stay()
	time.Sleep(3 * time.Second)
	return nil
}

// lose plays the loss of power and its end.
func (c *cluster) lose(l loss, far *farReplica, primary, near *standin.Database) {
	lostAt := c.goDark(far, primary, near)
	var ends sync.WaitGroup
	for _, p := range c.instances {
		ends.Go(p.kill)
	}
	ends.Wait()
	c.record.line("all machines of the system have lost power")
	if l.began != nil {
		l.began()
	}
	time.Sleep(time.Until(lostAt.Add(l.machinesDown)))
	for _, p := range c.instances {
		if err := p.start(); err != nil {
			c.record.line("%s: %v", p.name, err)
		}
	}
	c.awaitDatabases(lostAt, primary, near)
}

// goDark lets the primary and the near replica go dark, and returns when that was.
func (c *cluster) goDark(far *farReplica, primary, near *standin.Database) time.Time {
	for _, d := range []*standin.Database{primary, near} {
		d.Crash(true)
		c.record.line("%s goes dark", d.ID)
	}
	far.resume()
	return time.Now()
}

// awaitDatabases lets the databases come back with their logs.
func (c *cluster) awaitDatabases(lostAt time.Time, primary, near *standin.Database) {
	time.Sleep(time.Until(lostAt.Add(replicaDown)))
	near.RestartDetached()
	c.record.line("%s is back with its log", near.ID)
	time.Sleep(time.Until(lostAt.Add(primaryDown)))
	primary.Restart()
	c.record.line("%s is back with its log", primary.ID)
}

// farReplica is a replica in another region. It receives commits a little later than the
// one that is near the primary.
type farReplica struct {
	group    *standin.Group
	database *standin.Database

	mu     sync.Mutex
	ending bool
}

// receive receives in steps until stop is closed.
func (r *farReplica) receive(stop chan struct{}) {
	r.database.SetDeaf(true)
	ticker := time.NewTicker(receivePace)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			r.step()
		}
	}
}

// step receives what the primary has committed, unless that is down.
func (r *farReplica) step() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if leader := r.group.Leader(); !r.ending && leader != r.database && leader.Running() {
		r.database.SetDeaf(false)
		r.database.SetDeaf(true)
	}
}

// awaitDelay returns when the replica lacks the commits of regionDelay. What follows does
// not reach it before resume.
func (r *farReplica) awaitDelay() {
	r.step()
	r.mu.Lock()
	r.ending = true
	r.mu.Unlock()
	time.Sleep(regionDelay)
}

func (r *farReplica) resume() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ending = false
}

// keepWriting writes through the instances until stop is closed. A session that ends is
// opened again, at the next instance.
func (c *cluster) keepWriting(n int, done *acknowledged, stop chan struct{}) {
	name := fmt.Sprintf("depot-%d", n)
	for attempt := n; ; attempt++ {
		cl, err := c.connect(c.instances[attempt%len(c.instances)], "order-entry", name)
		for err == nil {
			var a answer
			text := fmt.Sprintf("WRITE order-%d-%d lodged", n, time.Now().UnixMilli())
			a, err = cl.query(text)
			cl.log(text, a, err)
			if err == nil && a.ok() {
				done.add(a.id)
			}
			select {
			case <-stop:
				cl.close()
				return
			case <-time.After(writePace):
			}
		}
		if cl != nil {
			cl.close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// lostCommits returns the acknowledged writes that are missing in the log of the database
// that was promoted.
func (c *cluster) lostCommits(group *standin.Group, done *acknowledged) (broken []string) {
	missing := group.RolledBack()
	for _, commit := range group.Commits() {
		if !missing[commit.Position] {
			continue
		}
		for _, id := range commit.IDs {
			if done.has(id) {
				broken = append(broken, fmt.Sprintf("LOST: write %s was acknowledged at %s, and its commit %v of %s is not in the log of %s, which was promoted",
					id, commit.At.Sub(c.record.started).Round(time.Millisecond), commit.Position, commit.Database, promoted(group, commit.At)))
			}
		}
	}
	return broken
}

// promoted returns the database whose promotion took effect first after a moment.
func promoted(group *standin.Group, after time.Time) state.DatabaseID {
	for _, promotion := range group.Promotions() {
		if promotion.Effect.After(after) {
			return promotion.Database
		}
	}
	return ""
}
