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

// entry is one entry of a log. Value zero marks the beginning of a term.
type entry struct {
	term  state.Term
	value int
}

// fakeDatabase keeps its term, role, vote and log over a restart.
type fakeDatabase struct {
	id      string
	down    bool
	term    state.Term
	role    state.Role
	vote    state.InstanceID
	primary *fakeDatabase
	log     []entry
	contact time.Time
	// lag is how many replication ticks pass between two batches.
	lag int
	// slow is how long a status takes.
	slow time.Duration
}

func (d *fakeDatabase) position() state.Position {
	if len(d.log) == 0 {
		return state.Position{}
	}
	return state.Position{Term: d.log[len(d.log)-1].term, Offset: uint64(len(d.log))}
}

// holds reports whether the log has the write at its place.
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

// promotion is a promotion that took effect.
type promotion struct {
	term state.Term
	id   string
	log  []entry
}

// acknowledged is a write that was acknowledged to its caller.
type acknowledged struct {
	value    int
	position state.Position
	at       time.Time
}

// world is a group, its network and what happened. Every node has a name: the
// databases "a" to "c", the instances "0" to "2" and the "platform".
type world struct {
	mu         sync.Mutex
	random     *rand.Rand
	databases  map[string]*fakeDatabase
	group      state.Group
	cut        map[[2]string]bool       // from, to: nothing passes that way
	frozen     map[string]bool          // a node that does nothing; requests stay unanswered
	delay      map[string]time.Duration // of the answers to a node
	silent     map[[2]string]bool       // the kept connection of a pair lost its path
	loseEvery  int                      // about one answer in so many is lost
	termEntry  bool                     // a promotion writes an entry
	promotions []promotion
	acks       []acknowledged
	violations []string
	lastValue  int
	nodes      []*node // by rank
	starts     int
	restart    func(rank int)
	claims     map[state.Term]state.InstanceID
}

func newWorld(seed uint64, termEntry bool) *world {
	w := &world{
		random:    rand.New(rand.NewPCG(seed, 1)),
		databases: map[string]*fakeDatabase{},
		group:     state.Group{ID: "g", Term: 1, Primary: "a"},
		cut:       map[[2]string]bool{},
		frozen:    map[string]bool{},
		delay:     map[string]time.Duration{},
		silent:    map[[2]string]bool{},
		termEntry: termEntry,
		nodes:     make([]*node, 3),
		claims:    map[state.Term]state.InstanceID{},
	}
	for _, id := range []string{"a", "b", "c"} {
		d := &fakeDatabase{id: id, term: 1, role: state.RoleReplica, contact: time.Now()}
		w.databases[id] = d
		d.primary = w.databases["a"]
		w.group.Databases = append(w.group.Databases, state.Database{ID: state.DatabaseID(id)})
	}
	w.databases["a"].role, w.databases["a"].primary = state.RolePrimary, nil
	return w
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// await returns once the node runs again. Like a paused process, it heeds no
// context.
func (w *world) await(node string) {
	for w.locked(func() bool { return w.frozen[node] }) {
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *world) locked(check func() bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return check()
}

// call makes a request. Its effect runs under the lock; the answer may be lost
// afterwards.
func (w *world) call(ctx context.Context, from, to string, effect func() error) error {
	w.await(from)
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	lost := w.cut[[2]string{from, to}] || w.frozen[to]
	refused := !lost && w.databases[to] != nil && w.databases[to].down
	var err error
	if !lost && !refused {
		err = effect()
	}
	lost = lost || w.cut[[2]string{to, from}] || (w.loseEvery > 0 && w.random.IntN(w.loseEvery) == 0)
	delay := time.Millisecond + w.delay[from]
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		err = ctx.Err()
	} else if refused {
		err = replication.ErrRefused
	}
	time.Sleep(delay)
	w.await(from)
	return err
}

// replicate ships log entries until ctx ends.
func (w *world) replicate(ctx context.Context) {
	for tick := 1; ctx.Err() == nil; tick++ {
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
		for _, id := range []string{"a", "b", "c"} {
			w.ship(w.databases[id], tick)
		}
		w.mu.Unlock()
	}
}

func (w *world) ship(r *fakeDatabase, tick int) {
	p := r.primary
	if r.role != state.RoleReplica || p == nil || p.role != state.RolePrimary || p.term != r.term {
		return
	}
	if r.down || p.down || w.frozen[r.id] || w.frozen[p.id] || w.cut[[2]string{p.id, r.id}] {
		return
	}
	r.contact = time.Now()
	if r.lag > 0 && tick%r.lag != 0 {
		return
	}
	// Each entry is of one value, so equal entries at one place follow equal logs.
	shared := min(len(r.log), len(p.log))
	for shared > 0 && r.log[shared-1] != p.log[shared-1] {
		shared--
	}
	r.log = append(r.log[:shared:shared], p.log[shared:]...)
}

// promoted checks the two properties of a promotion as it takes effect.
func (w *world) promoted(d *fakeDatabase) {
	made := promotion{term: d.term, id: d.id, log: slices.Clone(d.log)}
	for _, earlier := range w.promotions {
		if earlier.term == d.term && earlier.id != d.id {
			w.violate("term %d has the primaries %s and %s", d.term, earlier.id, d.id)
		}
	}
	w.promotions = append(w.promotions, made)
	if w.termEntry {
		d.log = append(d.log, entry{term: d.term, value: -int(d.term)})
	}
}

func (w *world) latestPrimary() string {
	if len(w.promotions) == 0 {
		return string(w.group.Primary)
	}
	return w.promotions[len(w.promotions)-1].id
}

// checkPromotions compares all acknowledged writes with all later terms.
func (w *world) checkPromotions() {
	for _, made := range w.promotions {
		for _, write := range w.acks {
			if write.position.Term < made.term && !holds(made.log, write) {
				w.violate("write %d acknowledged at %s is missing from term %d", write.value, write.position, made.term)
			}
		}
	}
}

// fakeControl is one instance's access to one database.
type fakeControl struct {
	world    *world
	instance string
	database *fakeDatabase
}

func (c fakeControl) ask(ctx context.Context, effect func() error) (state.DatabaseStatus, error) {
	var status state.DatabaseStatus
	err := c.world.call(ctx, c.instance, c.database.id, func() error {
		err := effect()
		status = c.database.status()
		return err
	})
	return status, err
}

func (c fakeControl) Status(ctx context.Context) (state.DatabaseStatus, error) {
	pair := [2]string{c.instance, c.database.id}
	if c.world.locked(func() bool { return c.world.silent[pair] }) {
		<-ctx.Done()
		c.world.locked(func() bool { delete(c.world.silent, pair); return true })
		return state.DatabaseStatus{}, ctx.Err()
	}
	return c.Probe(ctx)
}

func (c fakeControl) Probe(ctx context.Context) (state.DatabaseStatus, error) {
	c.world.mu.Lock()
	slow := c.database.slow
	c.world.mu.Unlock()
	time.Sleep(slow)
	return c.ask(ctx, func() error { return nil })
}

func (c fakeControl) Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.ask(ctx, func() error { return c.database.fence(term, promoter) })
}

func (c fakeControl) Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.ask(ctx, func() error {
		d := c.database
		if term != d.term || promoter != d.vote || d.role == state.RoleReplica {
			return errDenied
		}
		if d.role == state.RoleFenced {
			d.role = state.RolePrimary
			c.world.promoted(d)
		}
		return nil
	})
}

func (c fakeControl) Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error) {
	return c.ask(ctx, func() error { return c.database.follow(term, c.world.databases[string(primary.ID)]) })
}

// fakePlatform is one instance's access to the platform.
type fakePlatform struct {
	world    *world
	instance string
}

func (p fakePlatform) Claim(ctx context.Context, _ state.GroupID, term state.Term, promoter state.InstanceID) error {
	err := p.world.call(ctx, p.instance, "platform", func() error {
		for claimed, holder := range p.world.claims {
			if claimed > term || (claimed == term && holder != promoter) {
				return &ClaimedError{Term: claimed, Promoter: holder}
			}
		}
		p.world.claims[term] = promoter
		return nil
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return ErrUnavailable
	}
	return err
}

func (p fakePlatform) Record(ctx context.Context, _ state.GroupID, _ state.Term, _ state.DatabaseID) error {
	return p.world.call(ctx, p.instance, "platform", func() error { return nil })
}
