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

// Options configure a group.
type Options struct {
	Group          state.GroupID
	Databases      int
	MaxConnections int
	Slots          int
	// MaxQueued limits the statements that wait for a slot.
	MaxQueued int
	// ServiceTime is how long a statement takes once it holds a slot, and WriteTime how
	// long writes and commits take if they differ.
	ServiceTime, WriteTime time.Duration
	// ConnectTime is how long opening a connection occupies a slot.
	ConnectTime time.Duration
	// ReceiveDelay is how long a commit takes to reach a replica, and ApplyDelay
	// how long the replica then takes to apply it.
	ReceiveDelay, ApplyDelay time.Duration
	// PromotionDelay is the time until a promotion takes effect.
	PromotionDelay time.Duration
	// SyncReplicas is how many replicas must have received a commit before it is
	// acknowledged.
	SyncReplicas int
	// FollowDelay is how long a superseded primary goes on once it reaches its successor,
	// if Maintain runs.
	FollowDelay time.Duration
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
	// IDs are the request ids of the commit's writes.
	IDs []string
	At  time.Time
	// Superseded is set if another database was already the leader at that time.
	Superseded bool
	// Caller is who opened the connection of the commit.
	Caller string
	// Workspace is the workspace of the session that committed.
	Workspace state.WorkspaceID
}

// Read is a read that a database ran.
type Read struct {
	ID string
	// Proof is unique to this execution.
	Proof    string
	Database state.DatabaseID
	// Applied is the log position up to which the read saw commits.
	Applied state.Position
	At      time.Time
	// Caller is who opened the connection of the read.
	Caller string
	// Workspace is the workspace of the session that read.
	Workspace state.WorkspaceID
}

// Group is one primary with its replicas.
type Group struct {
	options Options

	mu        sync.Mutex
	databases []*Database
	leader    *Database
	commits   []Commit
	// rolledBack holds the positions of acknowledged commits that a promotion
	// rolled back.
	rolledBack map[state.Position]bool
	reads      []Read
	runs       uint64
	// tokens are the fencing tokens of the promotions in order, and holders who
	// used each. An entry for token 0 means that two holders used the same token.
	tokens     []uint64
	holders    map[uint64]state.InstanceID
	promotions []Promotion
	// latePromotions is the number of promotion calls that break without an answer and
	// are carried out after promotionLateness. If it is 0, calls are carried out and
	// answered after promotionLateness.
	latePromotions    int
	promotionLateness time.Duration
	unanswered        int
	// partition reports whether two parties can't reach each other; nil for none.
	partition func(a, b string) bool
	recording recording
}

// Database is one member of a group.
type Database struct {
	group   *Group
	ID      state.DatabaseID
	Address string
	slots   chan struct{}

	// The fields below are guarded by Group.mu.
	role    state.Role
	term    state.Term
	log     []entry
	applied int
	// restarts counts the runs after the first one.
	restarts     int64
	applyDelay   time.Duration
	down         bool
	leaving      bool
	unresponsive bool
	// deaf is set while the database receives nothing.
	deaf bool
	// statusDelay is how long a status query takes in addition.
	statusDelay     time.Duration
	waiting         int
	connections     map[*Session]struct{}
	dropReplies     int
	dropConnections int
	refuseNext      int
	refusePrepares  int
	load            Load
	dataCentre      string
	// resumed is closed when the database is resumed; nil if it is not suspended.
	resumed chan struct{}
	// slowness multiplies the time that statements take; 0 counts as 1.
	slowness int
	// reachesLeader is since when a superseded primary reaches its successor.
	reachesLeader time.Time
}

// Load counts what a database was asked.
type Load struct {
	// Opened is the number of connections that were opened, Rejected of those
	// that were refused because there were too many.
	Opened, Rejected int
	// StatusQueries is the number of status queries, Refused of statements that
	// were refused because the queue was full.
	StatusQueries, Refused int
}

// Load returns the load on the database since its start.
func (d *Database) Load() Load {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.load
}

// NewGroup returns a group whose first database is primary in term 1.
func NewGroup(options Options) *Group {
	g := &Group{options: options, holders: make(map[uint64]state.InstanceID), rolledBack: make(map[state.Position]bool)}
	for i := range options.Databases {
		g.databases = append(g.databases, g.newDatabase(i+1))
	}
	g.leader = g.databases[0]
	g.leader.role = state.RolePrimary
	return g
}

func (g *Group) newDatabase(n int) *Database {
	return &Database{
		group: g, ID: state.DatabaseID(fmt.Sprintf("%s-%d", g.options.Group, n)), term: 1, role: state.RoleReplica,
		Address: fmt.Sprintf("%s-%d:1", g.options.Group, n), slots: make(chan struct{}, g.options.Slots),
		applyDelay: g.options.ApplyDelay, connections: make(map[*Session]struct{}), dataCentre: "z",
	}
}

// SetPartition sets which parties can't reach each other from now on. Parties
// are the names of instances and databases; nil removes the partition.
func (g *Group) SetPartition(partition func(a, b string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partition = partition
}

// partitioned reports whether two parties can't reach each other, in either
// direction. It must be called with the lock held.
func (g *Group) partitioned(a, b string) bool {
	return g.partition != nil && (g.partition(a, b) || g.partition(b, a))
}

// Database returns the n-th database, counted from 1.
func (g *Group) Database(n int) *Database {
	return g.databases[n-1]
}

// Leader returns the primary of the newest term.
func (g *Group) Leader() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader
}

// Commits returns the acknowledged commits in order.
func (g *Group) Commits() []Commit {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Commit(nil), g.commits...)
}

// Reads returns the executed reads in order.
func (g *Group) Reads() []Read {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Read(nil), g.reads...)
}

// Tokens returns the fencing tokens of the promotions in order, and whether two
// holders used the same token.
func (g *Group) Tokens() (tokens []uint64, shared bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]uint64(nil), g.tokens...), g.holders[0] != ""
}

// Server returns the database's registration.
func (d *Database) Server() state.Server {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return state.Server{
		Database: state.Database{ID: d.ID, Address: d.Address, Slots: d.group.options.Slots, Leaving: d.leaving},
		Group:    d.group.options.Group, Role: d.role, Born: 1 + d.restarts,
	}
}

// Crash stops a database. If unresponsive is set, its machine no longer responds
// at all, and open connections are not closed.
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

// Restart starts a crashed database with its log. It follows the leader unless
// it is the leader itself.
func (d *Database) Restart() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down, d.unresponsive = false, false
	d.restarts++
	if d != d.group.leader {
		d.follow(d.group.leader)
	}
}

// RestartDetached starts a crashed database with its log and its old role, as
// if it could reach no other database.
func (d *Database) RestartDetached() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.down, d.unresponsive = false, false
	d.restarts++
}

// RestartEmpty starts a crashed replica without its log, unless it runs again. It receives what
// the primary has as soon as that runs.
func (d *Database) RestartEmpty() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if !d.down {
		return
	}
	d.down, d.unresponsive = false, false
	d.restarts++
	d.role, d.term, d.log, d.applied = state.RoleReplica, 1, nil, 0
}

// Running reports whether the database has not crashed.
func (d *Database) Running() bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return !d.down
}

// Leave marks the database as being retired in its registration. It goes on
// running.
func (d *Database) Leave() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.leaving = true
}

// Stay ends the database's retirement, as if a new one had taken its place.
func (d *Database) Stay() {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.leaving = false
	d.restarts++
}

// RolledBack returns the positions of the commits that a promotion rolled back.
func (g *Group) RolledBack() map[state.Position]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.rolledBack)
}

// markRolledBack records the acknowledged commits that the new leader's log
// lacks. It must be called with the lock held.
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

// SetApplyDelay changes how long a replica takes to apply what it received.
func (d *Database) SetApplyDelay(delay time.Duration) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.applyDelay = delay
}

// DropReplies runs the next n statements of clients without replying to them.
func (d *Database) DropReplies(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dropReplies = n
}

// DropConnections runs the next n statements of clients and then closes their
// connections instead of replying.
func (d *Database) DropConnections(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.dropConnections = n
}

// RefuseNext refuses the next n statements without running them, as an
// overloaded database does.
func (d *Database) RefuseNext(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.refuseNext = n
}

// RefusePrepares refuses to prepare the next n statements, as an overloaded database
// does.
func (d *Database) RefusePrepares(n int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.refusePrepares = n
}

// Connections returns the number of open connections.
func (d *Database) Connections() int {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return len(d.connections)
}

// receivedPosition returns the end of the database's log. It must be called with
// the lock held.
func (d *Database) receivedPosition() state.Position {
	if len(d.log) == 0 {
		return state.Position{Term: 1}
	}
	return d.log[len(d.log)-1].position
}

// visiblePosition returns the position up to which reads see commits. It must be
// called with the lock held.
func (d *Database) visiblePosition() state.Position {
	if d.role == state.RolePrimary {
		return d.receivedPosition()
	}
	if d.applied == 0 {
		return state.Position{Term: 1}
	}
	return d.log[d.applied-1].position
}

// follow makes the database a replica of leader and replaces its log by the
// leader's. It must be called with the lock held.
func (d *Database) follow(leader *Database) {
	d.role, d.term = state.RoleReplica, leader.term
	d.log = append([]entry(nil), leader.log...)
	d.applied = min(d.applied, len(d.log))
	d.scheduleApply(len(d.log))
}

// commit appends an entry to the primary's log and sends it to the replicas that
// can be reached. It must be called with the lock held.
func (d *Database) commit(s *Session, items map[string]string, ids []string) {
	position := state.Position{Term: d.term, Offset: uint64(len(d.log)) + 1}
	d.log = append(d.log, entry{position: position, items: items})
	d.applied = len(d.log)
	if d.group.options.SyncReplicas == 0 {
		d.acknowledge(Commit{Position: position, IDs: ids, Workspace: s.workspace, Caller: s.caller})
	}
	length := len(d.log)
	for _, replica := range d.group.databases {
		if replica != d && !replica.down && replica.resumed == nil && !d.group.partitioned(string(d.ID), string(replica.ID)) {
			time.AfterFunc(d.group.options.ReceiveDelay, func() { replica.receive(d, length) })
		}
	}
}

// acknowledge records an acknowledged commit. It must be called with the lock held.
func (d *Database) acknowledge(commit Commit) {
	commit.Database, commit.At, commit.Superseded = d.ID, time.Now(), d.group.leader != d
	d.group.commits = append(d.group.commits, commit)
}

// replicated reports whether enough replicas have received a commit for its
// acknowledgement. It must be called with the lock held.
func (d *Database) replicated(position state.Position) bool {
	received := 0
	for _, replica := range d.group.databases {
		if replica != d && !replica.down && replica.term == d.term && replica.receivedPosition().Covers(position) {
			received++
		}
	}
	return received >= d.group.options.SyncReplicas
}

// SetDeaf makes a replica receive nothing, or receive again.
func (d *Database) SetDeaf(deaf bool) {
	d.group.mu.Lock()
	leader := d.group.leader
	d.deaf = deaf
	length := len(leader.log)
	d.group.mu.Unlock()
	d.receive(leader, length)
}

// SetStatusDelay makes status queries take longer.
func (d *Database) SetStatusDelay(delay time.Duration) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	d.statusDelay = delay
}

// receive copies the first length entries of a primary's log as far as they are
// missing.
func (d *Database) receive(from *Database, length int) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	if d.down || d.deaf || d.resumed != nil || d.role != state.RoleReplica || d.term != from.term || length <= len(d.log) || length > len(from.log) {
		return
	}
	d.log = append(d.log, from.log[len(d.log):length]...)
	d.scheduleApply(length)
}

// scheduleApply applies the first length log entries after applyDelay, unless
// the term has changed by then. It must be called with the lock held.
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

// LosePromotions lets the connections of the next n promotion calls break without an
// answer. The calls are carried out after late all the same.
func (g *Group) LosePromotions(n int, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latePromotions, g.promotionLateness = n, late
}

// SetPromotionDelay sets how long promotions that are accepted from now on take to take
// effect.
func (g *Group) SetPromotionDelay(delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.options.PromotionDelay = delay
}

// UnansweredPromotions returns how many promotion calls broke without an answer.
func (g *Group) UnansweredPromotions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unanswered
}

// DelayPromotions carries out and answers promotion calls late from now on.
func (g *Group) DelayPromotions(late time.Duration) {
	g.LosePromotions(0, late)
}

// Promoter returns the promotion call as instances use it.
func (g *Group) Promoter() *Promoter { return &Promoter{group: g} }

// Promoter implements leadership.Promoter.
type Promoter struct{ group *Group }

// Promote implements leadership.Promoter.
func (p *Promoter) Promote(ctx context.Context, call state.PromotionCall) error {
	state.Pause(ctx, callLatency)
	carryOut := func() error { return p.group.carryOut(call.Database, call.Holder, call.Token) }
	late, lost := p.group.promotionFault()
	if late == 0 {
		return carryOut()
	}
	result := make(chan error, 1)
	time.AfterFunc(late, func() { result <- carryOut() })
	if lost {
		return eris.Wrapf(state.ErrNoAnswer, "promote %s: the connection was closed", call.Database)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return eris.Wrapf(state.ErrNoAnswer, "promote %s", call.Database)
	}
}

// promotionFault returns by how much a promotion call is late, and whether its answer
// is lost.
func (g *Group) promotionFault() (late time.Duration, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	late = g.promotionLateness
	if g.latePromotions == 0 {
		return late, false
	}
	g.unanswered++
	if g.latePromotions--; g.latePromotions == 0 {
		g.promotionLateness = 0
	}
	return late, true
}

// carryOut carries out a promotion call.
func (g *Group) carryOut(id state.DatabaseID, holder state.InstanceID, token uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if other, used := g.holders[token]; used && other != holder {
		g.holders[0] = holder
	}
	g.holders[token] = holder
	g.tokens = append(g.tokens, token)
	g.promotions = append(g.promotions, Promotion{Database: id, Holder: holder, Token: token, Called: time.Now()})
	call := len(g.promotions) - 1
	for _, database := range g.databases {
		if database.ID != id {
			continue
		}
		if database.down {
			return eris.Wrapf(state.ErrNotRunning, "promote %s", id)
		}
		if database != g.leader {
			time.AfterFunc(g.options.PromotionDelay, func() { g.takeEffect(call, database) })
		}
		return nil
	}
	return eris.Errorf("%s is not known", id)
}

// Supersede promotes a database without the knowledge of any instance, as a promotion
// call does whose sender is gone. The old primary follows it.
func (g *Group) Supersede(database *Database) {
	old := g.Leader()
	g.promote(database)
	g.mu.Lock()
	defer g.mu.Unlock()
	old.follow(database)
}

// promote makes a database the leader of the next term with the log that it has
// received, and the reachable replicas follow it. The old leader is not notified.
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
		if other != database && other != old && !other.down && other.resumed == nil && !g.partitioned(string(other.ID), string(database.ID)) {
			other.follow(database)
		}
	}
}

// newProof returns a unique proof for one execution of a statement. It must be
// called with the lock held.
func (g *Group) newProof(id string) string {
	g.runs++
	return fmt.Sprintf("ran.%s.%d", id, g.runs)
}
