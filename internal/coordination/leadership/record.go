package leadership

import (
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

// Tables of the shared store that this package writes.
const (
	TablePrimaries = "primaries" // one row for each group
	TableInstances = "instances" // one row for each running instance
	TableDuties    = "duties"    // one row for each duty, held by one instance at a time
	// TableEras has one row, rowEra, for the newest era of the store in which the
	// records of all primaries are known to be right.
	TableEras = "eras"
	// TableGenerations has one row, rowPrimaries, which is written in the same
	// transaction as any row of TablePrimaries. Its version is therefore that of
	// the newest change of a primary, and one condition on it covers all groups.
	TableGenerations = "generations"
	// TableReplicaSets has one row for each group in which replicas acknowledge commits.
	TableReplicaSets = "replica_sets"

	dutyPromotion = "promotion"
	rowPrimaries  = "primaries"
	rowEra        = "current"
)

// eraNumbers is how many epochs and fencing tokens each era of the store has. They
// start at the era's number times eraNumbers, so that those of a later era are higher
// although the store has lost the last ones of the era before.
const eraNumbers = 1_000_000_000

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
	// Uncertain is set in a change if an earlier promotion may have been forgotten: a
	// database that leads may be superseded, so it is promoted once more.
	Uncertain bool `msgpack:"uncertain"`
	// Promoter is the run of the instance that carries out the change.
	Promoter string `msgpack:"promoter"`
}

// newerThan reports whether a record was written after another one. Epochs only
// increase, and a change ends in the epoch of its announcement.
func (r Record) newerThan(other Record) bool {
	return r.Epoch > other.Epoch || r.Epoch == other.Epoch && other.Changing && !r.Changing
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
	// Until is when this lease expires, on the store's clock, in nanoseconds; 0 if
	// the instance did not know that clock. The row is written on the condition of
	// its own version, so that a renewal that takes effect late does not replace a
	// later one.
	Until int64 `msgpack:"until"`
	// Joined is when the run first wrote its row, on the store's clock, in
	// nanoseconds; 0 in its first row.
	Joined int64 `msgpack:"joined"`
	// Since is since when the instance has had a row without a gap, over its runs; 0
	// if that is not longer than Joined says.
	Since int64 `msgpack:"since,omitempty"`
	// Demand is the number of connections that this instance has recently used
	// or waited for, for each group in use, in tenths of a connection.
	Demand demands `msgpack:"demand"`
	// Count increases with each write, so that each write changes the row.
	Count uint64 `msgpack:"count"`
	// Acknowledged holds, for each group being changed, the epoch whose old
	// primary this instance no longer uses.
	Acknowledged map[state.GroupID]uint64 `msgpack:"ack"`
	// Positions holds, for each of these groups in which replicas acknowledge commits, the
	// position up to which this instance has seen commits acknowledged.
	Positions map[state.GroupID]state.Position `msgpack:"positions,omitempty"`
	// Suspected holds the epochs of the groups whose primary this instance
	// cannot reach.
	Suspected map[state.GroupID]uint64 `msgpack:"suspect"`
	// Era is the era of the store that the instance had seen when it wrote the row.
	Era uint64 `msgpack:"era"`
	// Waiting is set if the row renews no lease, because the instance waits for the
	// records of the era to be known.
	Waiting bool `msgpack:"waiting"`
	// AfterRestore is set in a waiting row if the table held a row of an earlier era
	// before.
	AfterRestore bool `msgpack:"after_restore"`
	// Calls says which promotion calls of earlier eras can't be carried out any more. It
	// is stated in eras after a restoration only.
	Calls endedCalls `msgpack:"calls,omitempty"`
	// LeasedOnly is set if this run confirms the leases of others only while its own
	// could be confirmed. Earlier builds always do.
	LeasedOnly bool `msgpack:"leased_only,omitempty"`
	// Configuration is the version of the configuration in force, below which other
	// instances must not serve; 0 if it holds no keys that could have been withdrawn.
	Configuration uint64 `msgpack:"config,omitempty"`
	// Level is that of the instance's build (package levels); 0 if it states none.
	Level uint32 `msgpack:"level,omitempty"`
}

// leaseStart returns the time from which the row's lease counts, on the store's clock.
// written is when the row was written at the latest.
func (h heartbeat) leaseStart(written time.Duration) time.Duration {
	if h.Until == 0 {
		return written
	}
	return min(written, time.Duration(h.Until)-h.Lease)
}

// eraRecord is the row in TableEras.
type eraRecord struct {
	Era uint64 `msgpack:"era"`
	// Began is a reading of the store's clock, in nanoseconds, by which the era had
	// begun.
	Began int64 `msgpack:"began"`
}

// dutyRecord is a row in TableDuties.
type dutyRecord struct {
	Holder string `msgpack:"holder"`
	Token  uint64 `msgpack:"token"`
	// FreeAt is when another instance may acquire the duty, on the store's clock,
	// in nanoseconds. Promotion calls may be carried out until then.
	FreeAt int64 `msgpack:"free_at"`
	// HeldUntil is when the holder's lease ends; it sends no call later. 0 in rows of
	// builds that state none.
	HeldUntil int64 `msgpack:"held_until,omitempty"`
	// Calls holds the holder's calls that may still take effect.
	Calls []recordedCall `msgpack:"calls,omitempty"`
	// LastCalled holds, for changes in progress, the databases that the last calls name which
	// may have been carried out and are not pending any more, the earlier holders' included.
	LastCalled map[state.GroupID]state.DatabaseID `msgpack:"last_called,omitempty"`
	// Ineffective holds the promotions of changes in progress that did not take effect. It
	// only decides which database is tried first, so that a row without it does no harm.
	Ineffective map[state.GroupID]ineffectivePromotion `msgpack:"ineffective,omitempty"`
}

// ineffectivePromotion is a promotion that the platform accepted, and that did not take effect
// in time. So it is with a database that is the primary for the platform and has stepped down:
// the call changes nothing, however often and by whomever it is made.
type ineffectivePromotion struct {
	Database state.DatabaseID `msgpack:"d"`
	// Term is that of the old primary, which tells the group's changes apart.
	Term state.Term `msgpack:"t"`
}

func encode(value any) ([]byte, error) {
	encoded, err := msgpack.Marshal(value)
	return encoded, eris.Wrap(err, "encode row")
}

func decode(key string, value []byte, into any) error {
	return eris.Wrapf(packed.Unmarshal(value, into), "decode row %q", key)
}
