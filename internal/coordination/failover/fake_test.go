package failover

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var errDenied = errors.New("refused by the database")

// entry is one entry of a log. A negative value marks the beginning of a term.
type entry struct {
	term  state.Term
	value int
}

// fakeDatabase is a database that keeps its term, role, vote and log over a
// restart.
type fakeDatabase struct {
	id      string
	down    bool
	term    state.Term
	role    state.Role
	vote    state.InstanceID
	primary *fakeDatabase
	log     []entry
	contact time.Time
	// lag is how many replication ticks pass between two batches of log entries.
	lag int
	// slow is the time added to each status request or probe.
	slow time.Duration
}

func (d *fakeDatabase) position() state.Position {
	if len(d.log) == 0 {
		return state.Position{}
	}
	return state.Position{Term: d.log[len(d.log)-1].term, Offset: uint64(len(d.log))}
}

// holds reports whether the log has the write at its position.
func (d *fakeDatabase) holds(write acknowledged) bool {
	return holds(d.log, write)
}

func holds(log []entry, write acknowledged) bool {
	place := int(write.position.Offset) - 1
	return place < len(log) && log[place] == entry{term: write.position.Term, value: write.value}
}

func (d *fakeDatabase) status() state.DatabaseStatus {
	s := state.DatabaseStatus{Database: state.DatabaseID(d.id), Term: d.term, Role: d.role, Log: d.position()}
	if d.role == state.RoleReplica {
		s.PrimaryContactAge = time.Since(d.contact)
	}
	return s
}

func (d *fakeDatabase) fence(term state.Term, promoter state.InstanceID) error {
	if term == d.term && d.vote == promoter {
		return nil
	}
	if term <= d.term {
		return errDenied
	}
	d.term, d.vote, d.role, d.primary = term, promoter, state.RoleFenced, nil
	return nil
}

func (d *fakeDatabase) follow(term state.Term, primary *fakeDatabase) error {
	if term < d.term || (term == d.term && d.role == state.RolePrimary) {
		return errDenied
	}
	if term > d.term {
		d.vote = ""
	}
	d.term, d.role, d.primary = term, state.RoleReplica, primary
	return nil
}

// promotion records a promotion that took effect and the log at that time.
type promotion struct {
	term state.Term
	id   string
	log  []entry
}

// acknowledged is a write that was acknowledged to its client.
type acknowledged struct {
	value    int
	position state.Position
	at       time.Time
}

// testCluster simulates a group, its owners and the network, and records what
// happened. Every node has a name: the databases "a" to "c", the instances "0" to
// "2" and the "platform".
type testCluster struct {
	mu          sync.Mutex
	random      *rand.Rand
	databases   map[string]*fakeDatabase
	group       state.Group
	partitioned map[[2]string]bool       // from, to: nothing passes in that direction
	frozen      map[string]bool          // suspended nodes; requests to them get no response
	delay       map[string]time.Duration // of the responses to a node
	silent      map[[2]string]bool       // instance, database: nothing passes on the existing connection
	loseOneIn   int                      // about one response in this many is lost
	termEntry   bool                     // a promotion appends a log entry
	promotions  []promotion
	acks        []acknowledged
	violations  []string
	lastValue   int
	nodes       []*node // by rank
	starts      int
	restart     func(rank int)
	claims      map[state.Term]state.InstanceID
}

func newTestCluster(seed uint64, termEntry bool) *testCluster {
	c := &testCluster{
		random:      rand.New(rand.NewPCG(seed, 1)),
		databases:   map[string]*fakeDatabase{},
		group:       state.Group{ID: "g", Term: 1, Primary: "a"},
		partitioned: map[[2]string]bool{},
		frozen:      map[string]bool{},
		delay:       map[string]time.Duration{},
		silent:      map[[2]string]bool{},
		termEntry:   termEntry,
		nodes:       make([]*node, 3),
		claims:      map[state.Term]state.InstanceID{},
	}
	for _, id := range []string{"a", "b", "c"} {
		d := &fakeDatabase{id: id, term: 1, role: state.RoleReplica, contact: time.Now()}
		c.databases[id] = d
		d.primary = c.databases["a"]
		c.group.Databases = append(c.group.Databases, state.Database{ID: state.DatabaseID(id)})
	}
	c.databases["a"].role, c.databases["a"].primary = state.RolePrimary, nil
	return c
}

func (c *testCluster) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// waitWhileFrozen returns once the node is not frozen. Like a suspended process,
// it ignores contexts.
func (c *testCluster) waitWhileFrozen(node string) {
	for c.checkWithLock(func() bool { return c.frozen[node] }) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (c *testCluster) checkWithLock(check func() bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return check()
}

// call sends a request. Its effect runs under the lock; the response may be lost
// afterwards.
func (c *testCluster) call(ctx context.Context, from, to string, effect func() error) error {
	c.waitWhileFrozen(from)
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	lost := c.partitioned[[2]string{from, to}] || c.frozen[to]
	refused := !lost && c.databases[to] != nil && c.databases[to].down
	var err error
	if !lost && !refused {
		err = effect()
	}
	lost = lost || c.partitioned[[2]string{to, from}] || (c.loseOneIn > 0 && c.random.IntN(c.loseOneIn) == 0)
	delay := time.Millisecond + c.delay[from]
	c.mu.Unlock()
	if lost {
		<-ctx.Done()
		err = ctx.Err()
	} else if refused {
		err = replication.ErrRefused
	}
	time.Sleep(delay)
	c.waitWhileFrozen(from)
	return err
}

// replicate ships log entries to the replicas until ctx ends.
func (c *testCluster) replicate(ctx context.Context) {
	for tick := 1; ctx.Err() == nil; tick++ {
		time.Sleep(5 * time.Millisecond)
		c.mu.Lock()
		for _, id := range []string{"a", "b", "c"} {
			c.replicateTo(c.databases[id], tick)
		}
		c.mu.Unlock()
	}
}

func (c *testCluster) replicateTo(r *fakeDatabase, tick int) {
	p := r.primary
	if r.role != state.RoleReplica || p == nil || p.role != state.RolePrimary || p.term != r.term {
		return
	}
	if r.down || p.down || c.frozen[r.id] || c.frozen[p.id] || c.partitioned[[2]string{p.id, r.id}] {
		return
	}
	r.contact = time.Now()
	if r.lag > 0 && tick%r.lag != 0 {
		return
	}
	// Values are unique, so equal entries at the same index follow equal logs.
	shared := min(len(r.log), len(p.log))
	for shared > 0 && r.log[shared-1] != p.log[shared-1] {
		shared--
	}
	r.log = append(r.log[:shared:shared], p.log[shared:]...)
}

// recordPromotion records a promotion as it takes effect and checks that its term
// has no other primary.
func (c *testCluster) recordPromotion(d *fakeDatabase) {
	p := promotion{term: d.term, id: d.id, log: slices.Clone(d.log)}
	for _, earlier := range c.promotions {
		if earlier.term == d.term && earlier.id != d.id {
			c.recordViolation("term %d has the primaries %s and %s", d.term, earlier.id, d.id)
		}
	}
	c.promotions = append(c.promotions, p)
	if c.termEntry {
		d.log = append(d.log, entry{term: d.term, value: -int(d.term)})
	}
}

func (c *testCluster) latestPrimary() string {
	if len(c.promotions) == 0 {
		return string(c.group.Primary)
	}
	return c.promotions[len(c.promotions)-1].id
}

// checkPromotions checks that each acknowledged write is in the log of every
// primary promoted in a later term.
func (c *testCluster) checkPromotions() {
	for _, p := range c.promotions {
		for _, write := range c.acks {
			if write.position.Term < p.term && !holds(p.log, write) {
				c.recordViolation("write %d acknowledged at %s is missing from term %d", write.value, write.position, p.term)
			}
		}
	}
}

// fakeControl is one instance's access to one database.
type fakeControl struct {
	cluster  *testCluster
	instance string
	database *fakeDatabase
}

func (c fakeControl) request(ctx context.Context, effect func() error) (state.DatabaseStatus, error) {
	var status state.DatabaseStatus
	err := c.cluster.call(ctx, c.instance, c.database.id, func() error {
		err := effect()
		status = c.database.status()
		return err
	})
	return status, err
}

func (c fakeControl) Status(ctx context.Context) (state.DatabaseStatus, error) {
	pair := [2]string{c.instance, c.database.id}
	if c.cluster.checkWithLock(func() bool { return c.cluster.silent[pair] }) {
		<-ctx.Done()
		c.cluster.checkWithLock(func() bool { delete(c.cluster.silent, pair); return true })
		return state.DatabaseStatus{}, ctx.Err()
	}
	return c.Probe(ctx)
}

func (c fakeControl) Probe(ctx context.Context) (state.DatabaseStatus, error) {
	c.cluster.mu.Lock()
	slow := c.database.slow
	c.cluster.mu.Unlock()
	time.Sleep(slow)
	return c.request(ctx, func() error { return nil })
}

func (c fakeControl) Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.request(ctx, func() error { return c.database.fence(term, promoter) })
}

func (c fakeControl) Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.request(ctx, func() error {
		d := c.database
		if term != d.term || promoter != d.vote || d.role == state.RoleReplica {
			return errDenied
		}
		if d.role == state.RoleFenced {
			d.role = state.RolePrimary
			c.cluster.recordPromotion(d)
		}
		return nil
	})
}

func (c fakeControl) Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error) {
	return c.request(ctx, func() error { return c.database.follow(term, c.cluster.databases[string(primary.ID)]) })
}

// fakePlatform is one instance's access to the platform.
type fakePlatform struct {
	cluster  *testCluster
	instance string
}

func (p fakePlatform) Claim(ctx context.Context, _ state.GroupID, term state.Term, promoter state.InstanceID) error {
	err := p.cluster.call(ctx, p.instance, "platform", func() error {
		for claimed, holder := range p.cluster.claims {
			if claimed > term || (claimed == term && holder != promoter) {
				return &ClaimedError{Term: claimed, Promoter: holder}
			}
		}
		p.cluster.claims[term] = promoter
		return nil
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return ErrUnavailable
	}
	return err
}

func (p fakePlatform) Record(ctx context.Context, _ state.GroupID, _ state.Term, _ state.DatabaseID) error {
	return p.cluster.call(ctx, p.instance, "platform", func() error { return nil })
}
