package leadership

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Tables of the shared store that this package writes.
const (
	TablePrimaries = "primaries" // one row for each group
	TableInstances = "instances" // one row for each running instance
	TableDuties    = "duties"    // one row for each duty, held by one instance at a time
	// TableGenerations has one row, rowPrimaries, which is written in the same
	// transaction as any row of TablePrimaries. Its version is therefore that of
	// the newest change of a primary, and one condition on it covers all groups.
	TableGenerations = "generations"

	dutyPromotion = "promotion"
	rowPrimaries  = "primaries"
)

// Record is a group's row in TablePrimaries.
type Record struct {
	// Epoch counts the announced changes of the group's primary.
	Epoch uint64 `msgpack:"epoch"`
	// Changing is set from the announcement of a change to its end. During that
	// time Primary is the old primary, which no instance may use.
	Changing bool `msgpack:"changing"`
	// Planned is set if requests in progress may finish before the change.
	Planned bool             `msgpack:"planned"`
	Primary state.DatabaseID `msgpack:"primary"`
	// Term is the term in which Primary leads; 0 while no change was made.
	Term state.Term `msgpack:"term"`
	// Start is a position from which on all writes belong to Primary's term.
	Start state.Position `msgpack:"start"`
	// Promoter is the run of the instance that carries out the change.
	Promoter string `msgpack:"promoter"`
}

// heartbeat is an instance's row in TableInstances.
type heartbeat struct {
	// Run distinguishes the runs (processes) of an instance.
	Run int64 `msgpack:"run"`
	// Address is the host:port at which other instances reach this one.
	Address    string           `msgpack:"address"`
	DataCentre state.DataCentre `msgpack:"dc"`
	// Lease is how long this run may use primaries after this renewal without
	// confirmations from others. It never decreases during a run, so that the
	// lease of the newest row is the last to expire. 0 means Options.Lease.
	Lease time.Duration `msgpack:"lease"`
	// Joined is when the run first wrote its row, on the store's clock, in
	// nanoseconds; 0 in its first row.
	Joined int64 `msgpack:"joined"`
	// Demand is the number of connections that this instance has recently used
	// or waited for, for each group in use, in tenths of a connection.
	Demand map[state.GroupID]uint16 `msgpack:"demand"`
	// Count increases with each write, so that each write changes the row.
	Count uint64 `msgpack:"count"`
	// Acknowledged holds, for each group being changed, the epoch whose old
	// primary this instance no longer uses.
	Acknowledged map[state.GroupID]uint64 `msgpack:"ack"`
	// Suspected holds the epochs of the groups whose primary this instance
	// cannot reach.
	Suspected map[state.GroupID]uint64 `msgpack:"suspect"`
}

// dutyRecord is a row in TableDuties.
type dutyRecord struct {
	Holder string `msgpack:"holder"`
	Token  uint64 `msgpack:"token"`
	// FreeAt is when another instance may acquire the duty, on the store's clock,
	// in nanoseconds.
	FreeAt int64 `msgpack:"free_at"`
}

func encode(value any) ([]byte, error) {
	encoded, err := msgpack.Marshal(value)
	return encoded, eris.Wrap(err, "encode row")
}

func decode(key string, value []byte, into any) error {
	return eris.Wrapf(msgpack.Unmarshal(value, into), "decode row %q", key)
}
