package leadership

import (
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Tables of the shared store that this package writes.
const (
	TablePrimaries = "primaries" // one row for each group
	TableInstances = "instances" // one row for each running instance
	TableDuties    = "duties"    // one row for each duty of one instance at a time
	// TableGenerations has one row, rowPrimaries, which is written in the same
	// transaction as any row of TablePrimaries. Its version is thus that of the
	// newest change of a primary, and one condition on it checks them all.
	TableGenerations = "generations"

	dutyPromotion = "promotion"
	rowPrimaries  = "primaries"
)

// Record is a group's row in TablePrimaries.
type Record struct {
	// Epoch counts the announced changes of the group's primary.
	Epoch uint64 `msgpack:"epoch"`
	// Changing is set from the announcement of a change to its end. Meanwhile
	// Primary is the old one, and nobody may use it.
	Changing bool `msgpack:"changing"`
	// Planned changes let requests in progress finish first.
	Planned bool             `msgpack:"planned"`
	Primary state.DatabaseID `msgpack:"primary"`
	// Term is the term in which Primary leads; 0 while no change was made.
	Term state.Term `msgpack:"term"`
	// Start is a position at or after which everything is of Primary's reign.
	Start state.Position `msgpack:"start"`
	// Promoter is the run of the instance that carries out the change.
	Promoter string `msgpack:"promoter"`
}

// heartbeat is an instance's row in TableInstances.
type heartbeat struct {
	// Run tells two runs of an instance apart.
	Run int64 `msgpack:"run"`
	// Address is where other instances reach this one, host:port.
	Address string `msgpack:"address"`
	// Joined is when the run first wrote its row, on the store's clock, in
	// nanoseconds; 0 in its first row.
	Joined int64 `msgpack:"joined"`
	// Demand is, for each group in use, how many connections this instance has
	// lately used or waited for, in tenths.
	Demand map[state.GroupID]uint16 `msgpack:"demand"`
	// Count goes up with each write, so that each changes the row.
	Count uint64 `msgpack:"count"`
	// Acknowledged holds, for each group in change, the epoch whose old
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
	// FreeAt is when another may take over, on the store's clock, in
	// nanoseconds.
	FreeAt int64 `msgpack:"free_at"`
}

func encode(value any) ([]byte, error) {
	encoded, err := msgpack.Marshal(value)
	return encoded, eris.Wrap(err, "encode a row")
}

func decode(key string, value []byte, into any) error {
	return eris.Wrapf(msgpack.Unmarshal(value, into), "decode row %q", key)
}
