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
	// networkDelay is the one-way delay of a message.
	networkDelay = time.Millisecond
)

var databaseNames = []string{"a", "b", "c"}

// testCluster simulates the database group, the network and the platform. Its
// nodes are the databases "a" to "c", the instances "0" to "3" and "platform".
// mu guards all state and is never held while waiting.
type testCluster struct {
	mu          sync.Mutex
	random      *rand.Rand
	ctx         context.Context
	running     sync.WaitGroup
	databases   map[string]*memDatabase
	group       state.Group
	instances   []*instance
	partitioned map[[2]string]bool // sender and receiver whose messages are blocked
	frozen      map[string]bool    // nodes that are suspended and process nothing
	// loseOneIn is N if about one in N responses is lost, or zero for none.
	loseOneIn      int
	claims         map[state.Term]state.InstanceID
	primaryChanges int
	nextPID        uint32
	history        history
}

func newTestCluster(ctx context.Context, seed uint64) *testCluster {
	tc := &testCluster{
		random: rand.New(rand.NewPCG(seed, 7)), ctx: ctx,
		databases: map[string]*memDatabase{}, partitioned: map[[2]string]bool{}, frozen: map[string]bool{},
		claims: map[state.Term]state.InstanceID{},
		group:  state.Group{ID: groupID, Term: 1, Primary: "a"},
	}
	tc.history = history{cluster: tc, notRun: map[int]string{}, failures: map[state.Reason]int{}, receivedAt: map[string]time.Time{}}
	for _, name := range databaseNames {
		tc.databases[name] = &memDatabase{
			id: name, cluster: tc, term: 1, role: state.RoleReplica, lastContact: time.Now(),
			conns: map[*memConn]struct{}{},
		}
		tc.databases[name].primary = tc.databases["a"]
		tc.group.Databases = append(tc.group.Databases, state.Database{
			ID: state.DatabaseID(name), Address: name, DataCentre: state.DataCentre(name), Slots: 3, MaxConnections: 20,
		})
	}
	tc.databases["a"].role, tc.databases["a"].primary = state.RolePrimary, nil
	tc.running.Go(tc.replicate)
	return tc
}

func (tc *testCluster) replicate() {
	for tick := 1; tc.ctx.Err() == nil; tick++ {
		time.Sleep(5 * time.Millisecond)
		tc.withLock(func() {
			for _, name := range databaseNames {
				tc.replicateTo(tc.databases[name], tick)
			}
		})
	}
}

func (tc *testCluster) withLock(fn func()) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	fn()
}

func (tc *testCluster) checkWithLock(condition func() bool) bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return condition()
}

// waitWhileFrozen waits while the node is frozen. It takes no context, since a
// suspended process cannot be cancelled either.
func (tc *testCluster) waitWhileFrozen(node string) {
	for tc.checkWithLock(func() bool { return tc.frozen[node] }) {
		time.Sleep(10 * time.Millisecond)
	}
}

// heal ends the faults of the network, the databases and frozen nodes. Dead
// instances stay dead.
func (tc *testCluster) heal() {
	tc.withLock(func() {
		clear(tc.partitioned)
		clear(tc.frozen)
		tc.loseOneIn = 0
		for _, d := range tc.databases {
			d.down, d.ticksPerBatch = false, 0
		}
	})
}

// call sends a request to a node. Its effect runs with the lock held, and the
// response may be lost afterwards.
func (tc *testCluster) call(ctx context.Context, from, to string, effect func() error) error {
	tc.waitWhileFrozen(from)
	time.Sleep(networkDelay)
	var err error
	lost := false
	tc.withLock(func() {
		d := tc.databases[to]
		switch {
		case tc.partitioned[[2]string{from, to}] || tc.frozen[to]:
			lost = true
		case d != nil && d.down:
			err = replication.ErrRefused
		default:
			err = effect()
			lost = tc.partitioned[[2]string{to, from}] || (tc.loseOneIn > 0 && tc.random.IntN(tc.loseOneIn) == 0)
		}
	})
	if lost {
		<-ctx.Done()
		err = ctx.Err()
	}
	time.Sleep(networkDelay)
	tc.waitWhileFrozen(from)
	return err
}

// control implements replication.Control for one instance and one database.
type control struct {
	cluster  *testCluster
	from     *instance
	database *memDatabase
}

func (c control) request(ctx context.Context, effect func() error) (state.DatabaseStatus, error) {
	var status state.DatabaseStatus
	if c.from.isDead() {
		return status, errDead
	}
	err := c.cluster.call(ctx, c.from.name, c.database.id, func() error {
		err := effect()
		status = c.database.status()
		return err
	})
	return status, err
}

func (c control) Status(ctx context.Context) (state.DatabaseStatus, error) { return c.Probe(ctx) }

func (c control) Probe(ctx context.Context) (state.DatabaseStatus, error) {
	return c.request(ctx, func() error { return nil })
}

func (c control) Fence(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.request(ctx, func() error { return c.database.fence(term, promoter) })
}

func (c control) Promote(ctx context.Context, term state.Term, promoter state.InstanceID) (state.DatabaseStatus, error) {
	return c.request(ctx, func() error { return c.database.promote(term, promoter) })
}

func (c control) Follow(ctx context.Context, term state.Term, primary state.Database) (state.DatabaseStatus, error) {
	return c.request(ctx, func() error { return c.database.follow(term, c.cluster.databases[string(primary.ID)]) })
}

// claims implements failover.Claims for one instance.
type claims struct {
	cluster *testCluster
	from    *instance
}

func (c claims) Claim(ctx context.Context, _ state.GroupID, term state.Term, promoter state.InstanceID) error {
	err := c.cluster.call(ctx, c.from.name, "platform", func() error {
		for claimed, holder := range c.cluster.claims {
			if claimed > term || (claimed == term && holder != promoter) {
				return &failover.ClaimedError{Term: claimed, Promoter: holder}
			}
		}
		c.cluster.claims[term] = promoter
		return nil
	})
	if errors.Is(err, context.DeadlineExceeded) {
		return failover.ErrUnavailable
	}
	return err
}

func (c claims) Record(ctx context.Context, _ state.GroupID, _ state.Term, _ state.DatabaseID) error {
	return c.cluster.call(ctx, c.from.name, "platform", func() error { return nil })
}

var errDead = errors.New("process ended")

func (tc *testCluster) primaryName() string {
	best := tc.databases["a"]
	for _, name := range databaseNames {
		if d := tc.databases[name]; d.role == state.RolePrimary && (best.role != state.RolePrimary || d.term > best.term) {
			best = d
		}
	}
	return best.id
}

func (tc *testCluster) describe() string {
	text := ""
	for _, name := range databaseNames {
		d := tc.databases[name]
		text += fmt.Sprintf("%s %s term %d log %s down=%v; ", name, d.role, d.term, d.position(), d.down)
	}
	return text
}
