package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// database is one member of a group. Its fields but slots are guarded by group.mu.
type database struct {
	id    string
	group *group
	slots chan struct{}
	born  int64

	address  string
	listener net.Listener
	role     string
	term     uint64
	log      []commit
	applied  int
	down     bool
	// dark is set once the database's machine has lost its power: nothing answers.
	dark    bool
	leaving bool
	// deaf is set while the database receives nothing from the primary.
	deaf bool
	// slow is how many times as long as usual statements take; 0 means as usual.
	slow int
	// grey is the part of the requests that is refused.
	grey     float64
	waiting  int
	sessions map[*session]struct{}
}

// listen accepts connections.
func (d *database) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	d.group.mu.Lock()
	d.listener, d.address = listener, listener.Addr().String()
	d.group.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(conn)
		}
	}()
	return nil
}

// register writes the database's row, as it does when more than its heartbeat's
// number changes.
func (d *database) register() {
	d.group.mu.Lock()
	if d.down {
		d.group.mu.Unlock()
		return
	}
	status := "ready"
	if d.leaving {
		status = "draining"
	}
	row := fmt.Sprintf(`{"Backend":%q,"Addr":%q,"Zone":"z1","Version":"v1","Slots":%d,"State":%q,"ColdLeftMs":0,"DbRole":%q,"Seq":1,"born":%d}`,
		d.group.name, d.address, d.group.options.slots, status, d.role, d.born)
	d.group.mu.Unlock()
	d.group.rows.put(d.id, []byte(row))
}

// drain reports that the database leaves. It goes on for drainTime and a little longer.
func (d *database) drain() {
	d.group.mu.Lock()
	d.leaving = true
	d.group.mu.Unlock()
	d.group.record.note(d.id, "reports that it is draining")
	d.register()
	time.AfterFunc(drainTime+time.Second, func() {
		d.stop()
		d.group.rows.remove(d.id)
	})
}

// crash stops the database at once. Its registration expires three heartbeat intervals
// after its last heartbeat.
func (d *database) crash() {
	d.stop()
	d.expire()
}

// setGrey makes the database refuse part of its requests with BUSY. Its health and its
// status stay good.
func (d *database) setGrey(part float64) {
	d.group.mu.Lock()
	d.grey = part
	d.group.mu.Unlock()
	d.group.record.say("%s refuses %.2f of its requests with BUSY", d.id, part)
}

// refuses reports whether the database refuses a statement now.
func (d *database) refuses(verb string) bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return verb != "STATUS" && rand.Float64() < d.grey
}

// goDark takes the power from the database's machine, for good: its connections stay
// open and nothing answers any more.
func (d *database) goDark() {
	d.group.mu.Lock()
	d.down, d.dark = true, true
	d.group.mu.Unlock()
	d.group.record.note(d.id, "is dark")
	d.expire()
}

// isDark reports whether nothing may be answered.
func (d *database) isDark() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.dark
}

// expire removes the registration three heartbeat intervals after the last heartbeat.
func (d *database) expire() {
	sinceBeat := time.Duration(time.Now().UnixMilli()-d.born) * time.Millisecond % heartbeat
	time.AfterFunc(registrationExpiry-sinceBeat, func() {
		d.group.record.say("the registration of %s expires", d.id)
		d.group.rows.remove(d.id)
	})
}

// stop ends the database's process.
func (d *database) stop() {
	d.group.mu.Lock()
	d.down = true
	_ = d.listener.Close()
	for s := range d.sessions {
		_ = s.conn.Close()
	}
	d.group.mu.Unlock()
	d.group.record.note(d.id, "ends")
}

// setDeaf makes the database receive nothing, or receive again.
func (d *database) setDeaf(deaf bool) {
	d.group.mu.Lock()
	d.deaf = deaf
	if leader := d.group.leader; !deaf && d != leader && !leader.down {
		d.follow(leader)
	}
	d.group.mu.Unlock()
	d.group.record.say("%s receives nothing from the primary: %v", d.id, deaf)
}

// setSlow makes statements take as many times as long as usual.
func (d *database) setSlow(times int) {
	d.group.mu.Lock()
	d.slow = times
	d.group.mu.Unlock()
	d.group.record.say("%s is slow, its statements take %d times as long", d.id, times)
}

// received returns the end of the log. The lock must be held.
func (d *database) received() position {
	if len(d.log) == 0 {
		return position{term: 1}
	}
	return d.log[len(d.log)-1].at
}

// visible returns the position up to which reads see commits. The lock must be held.
func (d *database) visible() position {
	switch {
	case d.role == "primary":
		return d.received()
	case d.applied == 0:
		return position{term: 1}
	default:
		return d.log[d.applied-1].at
	}
}

// follow makes the database a replica with the leader's log. The lock must be held.
func (d *database) follow(leader *database) {
	d.role, d.term = "replica", leader.term
	d.log = append([]commit(nil), leader.log...)
	d.applied = min(d.applied, len(d.log))
	d.applyLater(len(d.log))
}

// applyLater applies the log up to a length. The lock must be held.
func (d *database) applyLater(length int) {
	term := d.term
	time.AfterFunc(d.group.options.applyDelay, func() {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if d.term == term {
			d.applied = max(d.applied, min(length, len(d.log)))
		}
	})
}

// append adds a commit to the primary's log and sends it to the replicas. The lock must
// be held.
func (d *database) append(id string, writes map[string]string) commit {
	c := commit{at: position{d.term, uint64(len(d.log)) + 1}, id: id, writes: writes}
	d.log = append(d.log, c)
	d.applied = len(d.log)
	length := len(d.log)
	for _, replica := range d.group.databases {
		if replica != d {
			time.AfterFunc(d.group.options.receiveDelay, func() { replica.receive(d, length) })
		}
	}
	return c
}

// receive takes over a primary's log up to a length.
func (d *database) receive(from *database, length int) {
	g := d.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.down || d.deaf || d.role != "replica" || d.term != from.term || length <= len(d.log) || length > len(from.log) {
		return
	}
	d.log = append(d.log, from.log[len(d.log):length]...)
	d.applyLater(length)
	close(g.changed)
	g.changed = make(chan struct{})
}

// awaitReplicas waits until enough replicas have received a commit. It reports whether
// they have before the database ends.
func (d *database) awaitReplicas(c commit) bool {
	g := d.group
	for {
		g.mu.Lock()
		holding := 0
		for _, replica := range g.databases {
			if replica != d && !replica.down && replica.holds(c) {
				holding++
			}
		}
		changed, down := g.changed, d.down
		g.mu.Unlock()
		if holding >= g.options.syncReplicas || down {
			return !down
		}
		select {
		case <-changed:
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// holds reports whether the log has a commit. The lock must be held.
func (d *database) holds(c commit) bool {
	return uint64(len(d.log)) >= c.at.number && d.log[c.at.number-1].at == c.at
}

// registry writes the databases' rows to the platform's store.
type registry struct {
	mu     sync.Mutex
	write  func(id string, row []byte)
	delete func(id string)
}

func (r *registry) put(id string, row []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(id, row)
}

func (r *registry) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delete(id)
}
