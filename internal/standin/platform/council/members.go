package council

import (
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maintainInterval is how often Maintain compares the databases with the primary.
const maintainInterval = 20 * time.Millisecond

// Promotion is a promotion call that reached the group.
type Promotion struct {
	Database state.DatabaseID
	Holder   state.InstanceID
	Token    uint64
	Called   time.Time
	// Effect is when the database became the leader; zero if the call changed nothing.
	Effect time.Time
	Term   state.Term
}

// Promotions returns the promotion calls that reached the group, in order.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotions)
}

// takeEffect carries out the promotion that was requested by a call.
func (g *Group) takeEffect(call int, database *Database) {
	before := g.Leader()
	g.promote(database)
	g.mu.Lock()
	defer g.mu.Unlock()
	if before != database && g.leader == database {
		g.promotions[call].Effect, g.promotions[call].Term = time.Now(), database.term
	}
}

// Add adds a running replica with the leader's log.
func (g *Group) Add(n int, dataCentre string) *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.newDatabase(n)
	d.dataCentre = dataCentre
	d.follow(g.leader)
	g.databases = append(g.databases, d)
	return d
}

// Remove removes a database that has ended for good.
func (g *Group) Remove(d *Database) {
	d.Crash(false)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.databases = slices.DeleteFunc(slices.Clone(g.databases), func(other *Database) bool { return other == d })
}

// SetDataCentre sets the data centre that the database registers.
func (d *Database) SetDataCentre(name string) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dataCentre = name
}

// Suspend stops the database's process, or lets it go on. Statements that it has begun
// are carried out once it goes on.
func (d *Database) Suspend(suspended bool) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	switch {
	case suspended && d.resumed == nil:
		d.resumed = make(chan struct{})
	case !suspended && d.resumed != nil:
		close(d.resumed)
		d.resumed = nil
	}
}

// Suspended reports whether the database is suspended.
func (d *Database) Suspended() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.resumed != nil
}

// awaitResumed waits while the database is suspended.
func (d *Database) awaitResumed() {
	for {
		d.group.mu.Lock()
		resumed := d.resumed
		d.group.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// SetSlowness makes statements take that many times as long.
func (d *Database) SetSlowness(times int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.slowness = times
}

// serviceTime returns how long a statement takes that begins with the given word.
func (d *Database) serviceTime(verb string) time.Duration {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	takes := d.group.options.ServiceTime
	if write := d.group.options.WriteTime; write > 0 && verb != "READ" {
		takes = write
	}
	return takes * time.Duration(max(1, d.slowness))
}

// Maintain lets databases catch up with the primary that they reach until stop is
// closed. A superseded primary follows after Options.FollowDelay.
func (g *Group) Maintain(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(maintainInterval):
		}
		g.mu.Lock()
		for _, d := range g.databases {
			if d != g.leader {
				d.catchUp(time.Now())
			}
		}
		g.mu.Unlock()
	}
}

// catchUp lets a database follow the leader if it reaches it. It must be called with the
// lock held.
func (d *Database) catchUp(now time.Time) {
	leader := d.group.leader
	reached := !d.down && d.resumed == nil && !leader.down && leader.resumed == nil && !d.group.partitioned(string(d.ID), string(leader.ID))
	if !reached || d.role != state.RolePrimary {
		d.reachesLeader = time.Time{}
	}
	switch {
	case !reached:
	case d.role == state.RolePrimary:
		if d.reachesLeader.IsZero() {
			d.reachesLeader = now
		}
		if now.Sub(d.reachesLeader) >= d.group.options.FollowDelay {
			d.follow(leader)
		}
	case d.deaf:
	case d.term != leader.term:
		d.follow(leader)
	case len(d.log) < len(leader.log):
		length := len(leader.log)
		time.AfterFunc(d.group.options.ReceiveDelay, func() { d.receive(leader, length) })
	}
}

// Leads reports whether the database is the primary of the newest term.
func (d *Database) Leads() bool {
	return d.group.Leader() == d
}
