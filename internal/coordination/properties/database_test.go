package properties

import (
	"errors"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var errDenied = errors.New("refused by the database")

// entry is one committed transaction. Without values and request it marks the
// beginning of a term.
type entry struct {
	term    state.Term
	values  []int
	request string
}

// memDatabase is one database of the group, by the rules D1 to D4. Its term,
// role, vote and log last over a restart.
type memDatabase struct {
	id      string
	world   *world
	down    bool
	epoch   int // counts restarts
	term    state.Term
	role    state.Role
	vote    state.InstanceID
	primary *memDatabase
	log     []entry
	contact time.Time
	// lag is how many replication ticks pass between two batches.
	lag   int
	conns map[*memConn]struct{}
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
		s.PrimaryContactAge = time.Since(d.contact)
	}
	return s
}

// values lists the writes in the log, in order.
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
		return errDenied
	}
	d.term, d.vote, d.role, d.primary = term, promoter, state.RoleFenced, nil
	return nil
}

func (d *memDatabase) promote(term state.Term, promoter state.InstanceID) error {
	if term != d.term || promoter != d.vote || d.role == state.RoleReplica {
		return errDenied
	}
	if d.role == state.RoleFenced {
		d.role = state.RolePrimary
		d.log = append(slices.Clip(d.log), entry{term: term})
		d.world.changes++
	}
	return nil
}

func (d *memDatabase) follow(term state.Term, primary *memDatabase) error {
	if term < d.term || (term == d.term && d.role == state.RolePrimary) {
		return errDenied
	}
	if term > d.term {
		d.vote = ""
	}
	d.term, d.role, d.primary = term, state.RoleReplica, primary
	return nil
}

// restart ends all connections; open transactions are rolled back.
func (d *memDatabase) stop() {
	d.down = true
	d.epoch++
	for conn := range d.conns {
		conn.dropped()
	}
}

// ship copies the primary's log to the replica r.
func (w *world) ship(r *memDatabase, tick int) {
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
	same := func(a, b entry) bool {
		return a.term == b.term && a.request == b.request && slices.Equal(a.values, b.values)
	}
	shared := min(len(r.log), len(p.log))
	for shared > 0 && !same(r.log[shared-1], p.log[shared-1]) {
		shared--
	}
	r.log = append(r.log[:shared:shared], p.log[shared:]...)
}
