package properties

import (
	"errors"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var errRejected = errors.New("rejected by the database")

// entry is one committed transaction. An entry without values and request marks
// the start of a term.
type entry struct {
	term    state.Term
	values  []int
	request string
}

// memDatabase is a simulated database of the group. Only a higher term fences
// it, only the promoter that fenced it promotes it, and it follows no primary of
// a lower term. Its term, role, vote and log survive a restart.
type memDatabase struct {
	id          string
	cluster     *testCluster
	down        bool
	epoch       int // counts restarts
	term        state.Term
	role        state.Role
	vote        state.InstanceID
	primary     *memDatabase
	log         []entry
	lastContact time.Time
	// ticksPerBatch is the number of replication ticks between two batches, or
	// zero to replicate at every tick.
	ticksPerBatch int
	conns         map[*memConn]struct{}
}

func (d *memDatabase) position() state.Position {
	if len(d.log) == 0 {
		return state.Position{}
	}
	return state.Position{Term: d.log[len(d.log)-1].term, Offset: uint64(len(d.log))}
}

func (d *memDatabase) status() state.DatabaseStatus {
	s := state.DatabaseStatus{Database: state.DatabaseID(d.id), Term: d.term, Role: d.role, Log: d.position()}
	if d.role == state.RoleReplica {
		s.PrimaryContactAge = time.Since(d.lastContact)
	}
	return s
}

// values returns the written values in log order.
func (d *memDatabase) values() []int {
	var values []int
	for _, e := range d.log {
		values = append(values, e.values...)
	}
	return values
}

func (d *memDatabase) hasRequest(request string) bool {
	return slices.ContainsFunc(d.log, func(e entry) bool { return e.request == request })
}

func (d *memDatabase) fence(term state.Term, promoter state.InstanceID) error {
	if term == d.term && d.vote == promoter {
		return nil
	}
	if term <= d.term {
		return errRejected
	}
	d.term, d.vote, d.role, d.primary = term, promoter, state.RoleFenced, nil
	return nil
}

func (d *memDatabase) promote(term state.Term, promoter state.InstanceID) error {
	if term != d.term || promoter != d.vote || d.role == state.RoleReplica {
		return errRejected
	}
	if d.role == state.RoleFenced {
		d.role = state.RolePrimary
		d.log = append(slices.Clip(d.log), entry{term: term})
		d.cluster.primaryChanges++
	}
	return nil
}

func (d *memDatabase) follow(term state.Term, primary *memDatabase) error {
	if term < d.term || (term == d.term && d.role == state.RolePrimary) {
		return errRejected
	}
	if term > d.term {
		d.vote = ""
	}
	d.term, d.role, d.primary = term, state.RoleReplica, primary
	return nil
}

// stop stops the database and ends all connections. Open transactions are rolled
// back.
func (d *memDatabase) stop() {
	d.down = true
	d.epoch++
	for conn := range d.conns {
		conn.drop()
	}
}

// replicateTo copies the primary's log to a replica and replaces any entries of
// the replica that diverge from it.
func (tc *testCluster) replicateTo(replica *memDatabase, tick int) {
	primary := replica.primary
	if replica.role != state.RoleReplica || primary == nil || primary.role != state.RolePrimary || primary.term != replica.term {
		return
	}
	if replica.down || primary.down || tc.frozen[replica.id] || tc.frozen[primary.id] || tc.partitioned[[2]string{primary.id, replica.id}] {
		return
	}
	replica.lastContact = time.Now()
	if replica.ticksPerBatch > 0 && tick%replica.ticksPerBatch != 0 {
		return
	}
	same := func(a, b entry) bool {
		return a.term == b.term && a.request == b.request && slices.Equal(a.values, b.values)
	}
	shared := min(len(replica.log), len(primary.log))
	for shared > 0 && !same(replica.log[shared-1], primary.log[shared-1]) {
		shared--
	}
	replica.log = append(replica.log[:shared:shared], primary.log[shared:]...)
}
