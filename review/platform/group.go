package main

import (
	"fmt"
	"sync"
	"time"
)

// groupOptions are the properties of a service's databases.
type groupOptions struct {
	// slots is how many statements a database runs at once, queue how many more wait;
	// beyond these it answers BUSY.
	slots, queue   int
	maxConnections int
	// syncReplicas is how many replicas must have received a commit before it is
	// acknowledged.
	syncReplicas int
	// receiveDelay is how long a commit takes to a replica, applyDelay how long the
	// replica then takes to apply it.
	receiveDelay, applyDelay time.Duration
	promoteDelay             time.Duration
	readTime, writeTime      time.Duration
	statusTime               time.Duration
}

// position is TERM.NUMBER of a log.
type position struct{ term, number uint64 }

func (p position) String() string {
	if p == (position{}) {
		return "-"
	}
	return fmt.Sprintf("%d.%d", p.term, p.number)
}

func (p position) before(other position) bool {
	return p.term < other.term || p.term == other.term && p.number < other.number
}

// commit is an entry of a log.
type commit struct {
	at     position
	id     string
	writes map[string]string
}

// group is a service: one primary and its replicas.
type group struct {
	name    string
	options groupOptions
	record  *record
	rows    *registry

	mu        sync.Mutex
	databases []*database
	// leader is the database that was promoted last, term its term.
	leader *database
	term   uint64
	// changed is closed and replaced when a replica has received something.
	changed chan struct{}
	// acknowledged are the commits that their callers were told of, by request id.
	acknowledged map[string]acknowledgement
	// runs are the ids of the statements that a database ran, with their texts.
	runs   map[string][]string
	proofs uint64
}

// acknowledgement says where and when a commit was acknowledged to the proxy.
type acknowledgement struct {
	at       position
	database string
	when     time.Time
	// superseded is set if another database led already.
	superseded bool
}

func newGroup(name string, options groupOptions, rows *registry, r *record) *group {
	return &group{
		name: name, options: options, record: r, rows: rows, term: 1, changed: make(chan struct{}),
		acknowledged: make(map[string]acknowledgement), runs: make(map[string][]string),
	}
}

// add starts a database. The first one is the primary; a later one holds the leader's
// log.
func (g *group) add(id string) error {
	d := &database{
		id: id, group: g, role: "replica", term: 1, slots: make(chan struct{}, g.options.slots),
		sessions: make(map[*session]struct{}), born: time.Now().UnixMilli(),
	}
	g.mu.Lock()
	if g.leader == nil {
		g.leader, d.role = d, "primary"
	} else {
		d.term = g.term
		d.log = append([]commit(nil), g.leader.log...)
		d.applied = len(d.log)
	}
	g.databases = append(g.databases, d)
	g.mu.Unlock()
	if err := d.listen("127.0.0.1:0"); err != nil {
		return err
	}
	d.register()
	return nil
}

// find returns a database by its id, nil if there is none. The lock must be held.
func (g *group) find(id string) *database {
	for _, d := range g.databases {
		if d.id == id {
			return d
		}
	}
	return nil
}

// primary returns the database that was promoted last.
func (g *group) primary() *database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// replicas returns the databases but the one that was promoted last.
func (g *group) replicas() []*database {
	g.mu.Lock()
	defer g.mu.Unlock()
	var others []*database
	for _, d := range g.databases {
		if d != g.leader && !d.down {
			others = append(others, d)
		}
	}
	return others
}

// promote makes a database the leader of the next term, some time after the platform
// was called. It has what it had received. It reports whether the database runs.
func (g *group) promote(id string) bool {
	g.mu.Lock()
	d := g.find(id)
	runs, leads := d != nil && !d.down, d == g.leader
	g.mu.Unlock()
	if runs && !leads {
		time.AfterFunc(g.options.promoteDelay, func() { g.lead(d) })
	}
	return runs
}

// lead carries out a promotion.
func (g *group) lead(d *database) {
	g.mu.Lock()
	old := g.leader
	if d.down || d == old {
		g.mu.Unlock()
		return
	}
	g.term++
	g.leader, d.role, d.term, d.applied = d, "primary", g.term, len(d.log)
	g.record.note(d.id, "leads in term %d with its log up to %v", g.term, d.received())
	var followers []*database
	for _, other := range g.databases {
		if other != d && other != old && !other.down && !other.deaf {
			other.follow(d)
			followers = append(followers, other)
		}
	}
	g.mu.Unlock()
	for _, other := range append(followers, d) {
		other.register()
	}
	// The old primary goes on until a second after it can reach the new one.
	time.AfterFunc(time.Second, func() {
		g.mu.Lock()
		steps := !old.down && g.leader != old && old.term < g.leader.term
		if steps {
			old.follow(g.leader)
		}
		g.mu.Unlock()
		if steps {
			g.record.note(old.id, "follows the new primary")
			old.register()
		}
	})
}

// acknowledge records that a commit's caller is told of it now.
func (g *group) acknowledge(d *database, c commit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acknowledged[c.id] = acknowledgement{at: c.at, database: d.id, when: time.Now(), superseded: g.leader != d}
}

// ran records that a database runs a client's statement, and returns its proof.
func (g *group) ran(d *database, id, text string) string {
	g.mu.Lock()
	g.proofs++
	proof := fmt.Sprintf("p%d.%s", g.proofs, id)
	if id != "-" {
		g.runs[id] = append(g.runs[id], text)
	}
	g.mu.Unlock()
	if id != "-" {
		g.record.note(d.id, "runs %s %s", id, shorten(text))
	}
	return proof
}

// shorten cuts a long text for the record.
func shorten(text string) string {
	const longest = 120
	if len(text) <= longest {
		return text
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:longest], len(text))
}
