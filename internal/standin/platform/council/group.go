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
	// MaxQueued is how many statements may wait for a slot.
	MaxQueued int
	// ServiceTime is the time of a read, a write and a commit.
	ServiceTime time.Duration
	// ReceiveDelay and ApplyDelay are the delays of replication.
	ReceiveDelay, ApplyDelay time.Duration
	// PromotionDelay is how long a promotion takes to take effect.
	PromotionDelay time.Duration
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
	// rolledBack holds the positions that a promotion rolled back.
	rolledBack map[state.Position]bool
	reads      []Read
	runs       uint64
	// tokens are the fencing tokens of the promotions, in their order.
	tokens  []uint64
	holders map[uint64]state.InstanceID
	// partition tells whether two parties can't reach each other.
	partition func(a, b string) bool
}

// Database is one member of a group.
type Database struct {
	group   *Group
	ID      state.DatabaseID
	Address string
	slots   chan struct{}

	// The rest is guarded by Group.mu.
	role            state.Role
	term            state.Term
	log             []entry
	applied         int
	applyDelay      time.Duration
	down            bool
	leaving         bool
	unresponsive    bool
	waiting         int
	connections     map[*Session]struct{}
	dropReplies     int
	dropConnections int
	refuseNext      int
}

// NewGroup returns a group whose first database is primary in term 1.
func NewGroup(options Options) *Group {
	g := &Group{options: options, holders: make(map[uint64]state.InstanceID), rolledBack: make(map[state.Position]bool)}
	for i := range options.Databases {
		g.databases = append(g.databases, &Database{
			group: g, ID: state.DatabaseID(fmt.Sprintf("%s-%d", options.Group, i+1)), term: 1, role: state.RoleReplica,
			Address: fmt.Sprintf("%s-%d:1", options.Group, i+1), slots: make(chan struct{}, options.Slots),
			applyDelay: options.ApplyDelay, connections: make(map[*Session]struct{}),
		})
	}
	g.leader = g.databases[0]
	g.leader.role = state.RolePrimary
	return g
}

// SetPartition decides which parties can't reach each other from now on. Parties are
// instances and databases by their names; nil cuts nothing.
func (g *Group) SetPartition(cut func(a, b string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partition = cut
}

// partitioned must be called with the lock held.
func (g *Group) partitioned(a, b string) bool {
	return g.partition != nil && (g.partition(a, b) || g.partition(b, a))
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
func (d *Database) Crash(unresponsive bool) {
	d.group.mu.Lock()
	d.down, d.unresponsive = true, unresponsive
	var ended []*Session
	for session := range d.connections {
		ended = append(ended, session)
	}
	clear(d.connections)
	d.group.mu.Unlock()
	if !unresponsive {
		for _, session := range ended {
			session.end()
		}
	}
}

// Restart starts a database that crashed, with its log.
func (d *Database) Restart() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down, d.unresponsive = false, false
	if d != d.group.leader {
		d.follow(d.group.leader)
	}
}

// RestartDetached starts a database that crashed, with its log and its role,
// as if it could reach no other.
func (d *Database) RestartDetached() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down, d.unresponsive = false, false
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

// RolledBack returns the commits that a promotion rolled back.
func (g *Group) RolledBack() map[state.Position]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.rolledBack)
}

// markRolledBack must be called with the lock held, as a new leader takes over.
func (g *Group) markRolledBack() {
	kept := make(map[state.Position]bool, len(g.leader.log))
	for _, e := range g.leader.log {
		kept[e.position] = true
	}
	for _, commit := range g.commits {
		if !kept[commit.Position] {
			g.rolledBack[commit.Position] = true
		}
	}
}

// SetApplyDelay changes how late a replica applies what it receives.
func (d *Database) SetApplyDelay(delay time.Duration) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.applyDelay = delay
}

// DropReplies lets the next n statements run without an answer.
func (d *Database) DropReplies(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dropReplies = n
}

// DropConnections ends the connections of the next n statements after they have run,
// without an answer.
func (d *Database) DropConnections(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dropConnections = n
}

// RefuseNext refuses the next n statements unrun, as an overloaded database.
func (d *Database) RefuseNext(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.refuseNext = n
}

// Connections returns how many connections are open.
func (d *Database) Connections() int {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return len(d.connections)
}

// receivedPosition must be called with the lock held.
func (d *Database) receivedPosition() state.Position {
	if len(d.log) == 0 {
		return state.Position{Term: 1}
	}
	return d.log[len(d.log)-1].position
}

// visiblePosition must be called with the lock held.
func (d *Database) visiblePosition() state.Position {
	if d.role == state.RolePrimary {
		return d.receivedPosition()
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
	d.scheduleApply(len(d.log))
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
		if replica != d && !replica.down && !d.group.partitioned(string(d.ID), string(replica.ID)) {
			time.AfterFunc(d.group.options.ReceiveDelay, func() { replica.receive(d, length) })
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
	d.scheduleApply(length)
}

// scheduleApply must be called with the lock held.
func (d *Database) scheduleApply(length int) {
	term := d.term
	time.AfterFunc(d.applyDelay, func() {
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
	state.Pause(ctx, callLatency)
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
			time.AfterFunc(g.options.PromotionDelay, func() { g.promote(database) })
		}
		return nil
	}
	return eris.Errorf("%s is not known", id)
}

// promote makes a database the leader of the next term, with what it received.
func (g *Group) promote(database *Database) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if database.down || database == g.leader {
		return
	}
	old := g.leader
	g.leader = database
	database.role, database.term = state.RolePrimary, old.term+1
	database.applied = len(database.log)
	g.markRolledBack()
	for _, other := range g.databases {
		if other != database && other != old && !other.down && !g.partitioned(string(other.ID), string(database.ID)) {
			other.follow(database)
		}
	}
}

// newProof must be called with the lock held. It names one run of a statement.
func (g *Group) newProof(id string) string {
	g.runs++
	return fmt.Sprintf("ran.%s.%d", id, g.runs)
}
