package council

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Options are the figures of a group.
type Options struct {
	Group          state.GroupID
	Databases      int
	MaxConnections int
	Slots          int
	// Queue is how many statements may wait for a slot.
	Queue int
	// Work is the time of a read, a write and a commit.
	Work time.Duration
	// ReceiveAfter and ApplyAfter are the delays of replication.
	ReceiveAfter, ApplyAfter time.Duration
	// PromoteAfter is how long a promotion takes to take effect.
	PromoteAfter time.Duration
}

// entry is one commit in a log.
type entry struct {
	position state.Position
	items    map[string]string
}

// Commit is a commit that a database acknowledged.
type Commit struct {
	Database state.DatabaseID
	Position state.Position
	// IDs are the writes of the commit.
	IDs []string
	At  time.Time
	// Superseded tells that another database led at that moment.
	Superseded bool
}

// Read is a read that a database ran.
type Read struct {
	ID string
	// Proof is that of this run, and of no other.
	Proof    string
	Database state.DatabaseID
	// Applied is the position of the log that the read saw.
	Applied state.Position
	At      time.Time
}

// Group is one primary with its replicas.
type Group struct {
	options Options

	mu        sync.Mutex
	databases []*Database
	leader    *Database
	commits   []Commit
	// lost holds the positions that a promotion rolled back.
	lost  map[state.Position]bool
	reads []Read
	runs  uint64
	// tokens are the fencing tokens of the promotions, in their order.
	tokens  []uint64
	holders map[uint64]state.InstanceID
	// cut tells whether two parties can't reach each other.
	cut func(a, b string) bool
}

// Database is one member of a group.
type Database struct {
	group   *Group
	ID      state.DatabaseID
	Address string
	slots   chan struct{}

	// The rest is guarded by Group.mu.
	role        state.Role
	term        state.Term
	log         []entry
	applied     int
	applyAfter  time.Duration
	down        bool
	leaving     bool
	dark        bool
	waiting     int
	connections map[*Session]struct{}
	loseAnswers int
	breakOff    int
	busyNext    int
}

// NewGroup returns a group whose first database is primary in term 1.
func NewGroup(options Options) *Group {
	g := &Group{options: options, holders: make(map[uint64]state.InstanceID), lost: make(map[state.Position]bool)}
	for i := range options.Databases {
		g.databases = append(g.databases, &Database{
			group: g, ID: state.DatabaseID(fmt.Sprintf("%s-%d", options.Group, i+1)), term: 1, role: state.RoleReplica,
			Address: fmt.Sprintf("%s-%d:1", options.Group, i+1), slots: make(chan struct{}, options.Slots),
			applyAfter: options.ApplyAfter, connections: make(map[*Session]struct{}),
		})
	}
	g.leader = g.databases[0]
	g.leader.role = state.RolePrimary
	return g
}

// SetCut decides which parties can't reach each other from now on. Parties are
// instances and databases by their names; nil cuts nothing.
func (g *Group) SetCut(cut func(a, b string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// separated must be called with the lock held.
func (g *Group) separated(a, b string) bool {
	return g.cut != nil && (g.cut(a, b) || g.cut(b, a))
}

// Database returns the n-th database, counted from 1.
func (g *Group) Database(n int) *Database {
	return g.databases[n-1]
}

// Leader returns the database that leads the newest term.
func (g *Group) Leader() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// Commits returns the acknowledged commits in their order.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.commits...)
}

// Reads returns the reads in their order.
func (g *Group) Reads() []Read {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Read(nil), g.reads...)
}

// Tokens returns the fencing tokens of the promotions in their order, and
// whether any was used by two holders.
func (g *Group) Tokens() (tokens []uint64, shared bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]uint64(nil), g.tokens...), g.holders[0] != ""
}

// Server is how a database registers itself.
func (d *Database) Server() state.Server {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return state.Server{
		Database: state.Database{ID: d.ID, Address: d.Address, Slots: d.group.options.Slots, Leaving: d.leaving},
		Group:    d.group.options.Group, Role: d.role,
	}
}

// Crash stops a database. With dark, its machine no longer answers at all.
func (d *Database) Crash(dark bool) {
	d.group.mu.Lock()
	d.down, d.dark = true, dark
	var ended []*Session
	for session := range d.connections {
		ended = append(ended, session)
	}
	clear(d.connections)
	d.group.mu.Unlock()
	if !dark {
		for _, session := range ended {
			session.end()
		}
	}
}

// Restart starts a database that crashed, with its log.
func (d *Database) Restart() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down, d.dark = false, false
	if d != d.group.leader {
		d.follow(d.group.leader)
	}
}

// RestartDetached starts a database that crashed, with its log and its role,
// as if it could reach no other.
func (d *Database) RestartDetached() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down, d.dark = false, false
}

// Running reports whether the database runs on a machine that answers.
func (d *Database) Running() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return !d.down
}

// Leave lets the database report that it is being retired. It goes on running.
func (d *Database) Leave() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.leaving = true
}

// Lost returns the commits that a promotion rolled back.
func (g *Group) Lost() map[state.Position]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.lost)
}

// markLost must be called with the lock held, as a new leader takes over.
func (g *Group) markLost() {
	kept := make(map[state.Position]bool, len(g.leader.log))
	for _, e := range g.leader.log {
		kept[e.position] = true
	}
	for _, commit := range g.commits {
		if !kept[commit.Position] {
			g.lost[commit.Position] = true
		}
	}
}

// SetApplyAfter changes how late a replica applies what it receives.
func (d *Database) SetApplyAfter(late time.Duration) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.applyAfter = late
}

// LoseAnswers lets the next n statements run without an answer.
func (d *Database) LoseAnswers(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.loseAnswers = n
}

// BreakOff ends the connections of the next n statements after they have run,
// without an answer.
func (d *Database) BreakOff(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.breakOff = n
}

// RefuseNext refuses the next n statements unrun, as an overloaded database.
func (d *Database) RefuseNext(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.busyNext = n
}

// Connections returns how many connections are open.
func (d *Database) Connections() int {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return len(d.connections)
}

// received must be called with the lock held.
func (d *Database) received() state.Position {
	if len(d.log) == 0 {
		return state.Position{Term: 1}
	}
	return d.log[len(d.log)-1].position
}

// visible must be called with the lock held.
func (d *Database) visible() state.Position {
	if d.role == state.RolePrimary {
		return d.received()
	}
	if d.applied == 0 {
		return state.Position{Term: 1}
	}
	return d.log[d.applied-1].position
}

// follow must be called with the lock held. What the leader lacks is dropped.
func (d *Database) follow(leader *Database) {
	d.role, d.term = state.RoleReplica, leader.term
	d.log = append([]entry(nil), leader.log...)
	d.applied = min(d.applied, len(d.log))
	d.applyLater(len(d.log))
}

// commit must be called with the lock held. It appends to the primary's log
// and sends the entry to the replicas that it reaches.
func (d *Database) commit(items map[string]string, ids []string) {
	position := state.Position{Term: d.term, Offset: uint64(len(d.log)) + 1}
	d.log = append(d.log, entry{position: position, items: items})
	d.applied = len(d.log)
	d.group.commits = append(d.group.commits, Commit{
		Database: d.ID, Position: position, IDs: ids, At: time.Now(), Superseded: d.group.leader != d,
	})
	length := len(d.log)
	for _, replica := range d.group.databases {
		if replica != d && !replica.down && !d.group.separated(string(d.ID), string(replica.ID)) {
			time.AfterFunc(d.group.options.ReceiveAfter, func() { replica.receive(d, length) })
		}
	}
}

// receive takes over the first length entries of a primary's log.
func (d *Database) receive(from *Database, length int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.down || d.role != state.RoleReplica || d.term != from.term || length <= len(d.log) || length > len(from.log) {
		return
	}
	d.log = append(d.log, from.log[len(d.log):length]...)
	d.applyLater(length)
}

// applyLater must be called with the lock held.
func (d *Database) applyLater(length int) {
	term := d.term
	time.AfterFunc(d.applyAfter, func() {
		d.group.mu.Lock()
		defer d.group.mu.Unlock()
		if d.term == term && length <= len(d.log) {
			d.applied = max(d.applied, length)
		}
	})
}

// Promoter returns the promotion call as an instance sees it.
func (g *Group) Promoter() *Promoter { return &Promoter{group: g} }

// Promoter implements leadership.Promoter.
type Promoter struct{ group *Group }

// Promote implements leadership.Promoter.
func (p *Promoter) Promote(ctx context.Context, _ state.GroupID, id state.DatabaseID, holder state.InstanceID, token uint64) error {
	state.Pause(ctx, callTime)
	g := p.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if other, used := g.holders[token]; used && other != holder {
		g.holders[0] = holder
	}
	g.holders[token] = holder
	g.tokens = append(g.tokens, token)
	for _, database := range g.databases {
		if database.ID != id {
			continue
		}
		if database.down {
			return eris.Errorf("%s does not run", id)
		}
		if database != g.leader {
			time.AfterFunc(g.options.PromoteAfter, func() { g.lead(database) })
		}
		return nil
	}
	return eris.Errorf("%s is not known", id)
}

// lead makes a database the leader of the next term, with what it received.
func (g *Group) lead(database *Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if database.down || database == g.leader {
		return
	}
	old := g.leader
	g.leader = database
	database.role, database.term = state.RolePrimary, old.term+1
	database.applied = len(database.log)
	g.markLost()
	for _, other := range g.databases {
		if other != database && other != old && !other.down && !g.separated(string(other.ID), string(database.ID)) {
			other.follow(database)
		}
	}
}

// proof must be called with the lock held. It names one run of a statement.
func (g *Group) proof(id string) string {
	g.runs++
	return fmt.Sprintf("ran.%s.%d", id, g.runs)
}
