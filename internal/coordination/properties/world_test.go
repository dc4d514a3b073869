package properties

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	groupID = state.GroupID("g")
	planID  = state.PlanID("p")
	// hop is how long a message takes one way.
	hop = time.Millisecond
)

var databaseNames = []string{"a", "b", "c"}

// world is the group, the network and the platform. Its nodes are the
// databases "a" to "c", the instances "0" to "3" and the "platform". mu guards
// all of it and is never held over a wait.
type world struct {
	mu        sync.Mutex
	random    *rand.Rand
	ctx       context.Context
	running   sync.WaitGroup
	databases map[string]*memDatabase
	group     state.Group
	instances []*instance
	cut       map[[2]string]bool // from, to: nothing passes that way
	frozen    map[string]bool    // a node that does nothing; requests stay unanswered
	// loseEvery loses about one answer in so many.
	loseEvery int
	claims    map[state.Term]state.InstanceID
	changes   int
	nextPID   uint32
	history   history
}

func newWorld(ctx context.Context, seed uint64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), ctx: ctx,
		databases: map[string]*memDatabase{}, cut: map[[2]string]bool{}, frozen: map[string]bool{},
		claims: map[state.Term]state.InstanceID{},
		group:  state.Group{ID: groupID, Term: 1, Primary: "a"},
	}
	w.history = history{world: w, notRun: map[int]string{}, refused: map[state.Reason]int{}, received: map[string]time.Time{}}
	for _, name := range databaseNames {
		w.databases[name] = &memDatabase{
			id: name, world: w, term: 1, role: state.RoleReplica, contact: time.Now(),
			conns: map[*memConn]struct{}{},
		}
		w.databases[name].primary = w.databases["a"]
		w.group.Databases = append(w.group.Databases, state.Database{
			ID: state.DatabaseID(name), Address: name, DataCentre: state.DataCentre(name), Slots: 3, MaxConnections: 20,
		})
	}
	w.databases["a"].role, w.databases["a"].primary = state.RolePrimary, nil
	w.running.Go(w.replicate)
	return w
}

func (w *world) replicate() {
	for tick := 1; w.ctx.Err() == nil; tick++ {
		time.Sleep(5 * time.Millisecond)
		w.do(func() {
			for _, name := range databaseNames {
				w.ship(w.databases[name], tick)
			}
		})
	}
}

func (w *world) do(act func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	act()
}

func (w *world) is(check func() bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return check()
}

// await returns once the node runs. Like a paused process it heeds no context.
func (w *world) await(node string) {
	for w.is(func() bool { return w.frozen[node] }) {
		time.Sleep(10 * time.Millisecond)
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.do(func() {
		clear(w.cut)
		clear(w.frozen)
		w.loseEvery = 0
		for _, d := range w.databases {
			d.down, d.lag = false, 0
		}
	})
}

// call makes a request of a node. Its effect runs under the lock; the answer may
// be lost afterwards.
func (w *world) call(ctx context.Context, from, to string, effect func() error) error {
	w.await(from)
	time.Sleep(hop)
	var err error
	lost := false
	w.do(func() {
		d := w.databases[to]
		switch {
		case w.cut[[2]string{from, to}] || w.frozen[to]:
			lost = true
		case d != nil && d.down:
			err = replication.ErrRefused
		default:
			err = effect()
			lost = w.cut[[2]string{to, from}] || (w.loseEvery > 0 && w.random.IntN(w.loseEvery) == 0)
		}
	})
	if lost {
		<-ctx.Done()
		err = ctx.Err()
	}
	time.Sleep(hop)
	w.await(from)
	return err
}

// control is one instance's replication.Control of one database.
type control struct {
	world *world
	from  *instance
	of    *memDatabase
}

func (c control) ask(ctx context.Context, effect func() error) (state.DatabaseStatus, error) {
	var status state.DatabaseStatus
	if c.from.isDead() {
		return status, errDead
	}
	err := c.world.call(ctx, c.from.name, c.of.id, func() error {
		err := effect()
		status = c.of.status()
		return err
	})
	return status, err
}

func (c control) Status(ctx context.Context) (state.DatabaseStatus, error) { return c.Probe(ctx) }

func (c control) Probe(ctx context.Context) (state.DatabaseStatus, error) {
	return c.ask(ctx, func() error { return nil })
}

func (c control) Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.ask(ctx, func() error { return c.of.fence(term, promoter) })
}

func (c control) Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.ask(ctx, func() error { return c.of.promote(term, promoter) })
}

func (c control) Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error) {
	return c.ask(ctx, func() error { return c.of.follow(term, c.world.databases[string(primary.ID)]) })
}

// claims is one instance's access to the platform.
type claims struct {
	world *world
	from  *instance
}

func (p claims) Claim(ctx context.Context, _ state.GroupID, term state.Term, promoter state.InstanceID) error {
	err := p.world.call(ctx, p.from.name, "platform", func() error {
		for claimed, holder := range p.world.claims {
			if claimed > term || (claimed == term && holder != promoter) {
				return &failover.ClaimedError{Term: claimed, Promoter: holder}
			}
		}
		p.world.claims[term] = promoter
		return nil
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return failover.ErrUnavailable
	}
	return err
}

func (p claims) Record(ctx context.Context, _ state.GroupID, _ state.Term, _ state.DatabaseID) error {
	return p.world.call(ctx, p.from.name, "platform", func() error { return nil })
}

var errDead = errors.New("process ended")

func (w *world) primaryName() string {
	best := w.databases["a"]
	for _, name := range databaseNames {
		if d := w.databases[name]; d.role == state.RolePrimary && (best.role != state.RolePrimary || d.term > best.term) {
			best = d
		}
	}
	return best.id
}

func (w *world) describe() string {
	text := ""
	for _, name := range databaseNames {
		d := w.databases[name]
		text += fmt.Sprintf("%s %s term %d log %s down=%v; ", name, d.role, d.term, d.position(), d.down)
	}
	return text
}
