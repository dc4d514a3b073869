package state

import (
	"errors"
	"time"
)

// GroupID identifies a database group: a primary and its replicas, which
// clients see as one database.
type GroupID string

// DatabaseID identifies a database. It is unique over all groups.
type DatabaseID string

// DataCentre identifies a data centre, whose machines share one network and fail
// together.
type DataCentre string

// Database is a member of a group, which runs on one backend server.
type Database struct {
	ID         DatabaseID `msgpack:"id" json:"id"`
	Address    string     `msgpack:"addr" json:"address"` // host:port
	DataCentre DataCentre `msgpack:"dc" json:"data_centre"`
	// Slots is how many statements the database runs concurrently.
	Slots int `msgpack:"slots" json:"slots"`
	// MaxConnections is how many connections the database accepts.
	MaxConnections int `msgpack:"conns" json:"max_connections"`
	// Leaving is set by operators while the backend server is being retired.
	Leaving bool `msgpack:"leaving" json:"leaving,omitempty"`
}

// ErrNotRunning means that a database can't be promoted because it does not run.
var ErrNotRunning = errors.New("the database is not running")

// ErrTooManyCalls means that the platform refused a promotion because it had
// too many calls.
var ErrTooManyCalls = errors.New("the platform refused the call because it has too many calls")

// ErrNoAnswer means that a call may have been carried out, or may still be, because no
// answer came.
var ErrNoAnswer = errors.New("the call was not answered")

// ErrNoTunnel means that a connection can't be tunnelled through another
// instance, because none is known that reaches the database.
var ErrNoTunnel = errors.New("no other instance reaches the database")

// ErrNotProbed means that a database was not probed because all connections that
// this instance may open to it are in use.
var ErrNotProbed = errors.New("no connection is free for the probe")

// ErrClosedAtStartup means that a database accepted a connection and closed it
// before its startup was complete. A database that has no connection left may
// do so.
var ErrClosedAtStartup = errors.New("the database closed the connection at its startup")

// Group is a database group as the platform's table service records it.
type Group struct {
	ID        GroupID    `msgpack:"id" json:"id"`
	Databases []Database `msgpack:"dbs" json:"databases"`
	// Term and Primary are those of the last recorded change of primary. They
	// may be outdated; the databases' own terms are authoritative.
	Term    Term       `msgpack:"term" json:"term"`
	Primary DatabaseID `msgpack:"primary" json:"primary"`
}

// Database returns the member with the given id.
func (g Group) Database(id DatabaseID) (Database, bool) {
	for _, database := range g.Databases {
		if database.ID == id {
			return database, true
		}
	}
	return Database{}, false
}

// Majority returns the smallest number of databases that is more than half of
// the group's.
func (g Group) Majority() int {
	return len(g.Databases)/2 + 1
}

// Role is the role of a database in its current term.
type Role uint8

// The roles of a database.
const (
	// RoleFenced is a database that accepted a term and in that term has been
	// neither promoted nor assigned a primary to follow. It accepts no writes
	// and does not replicate.
	RoleFenced Role = iota
	// RoleReplica replicates from the primary of its term.
	RoleReplica
	// RolePrimary accepts writes in its term.
	RolePrimary
)

// String returns the role's name in lower case.
func (r Role) String() string {
	switch r {
	case RoleFenced:
		return "fenced"
	case RoleReplica:
		return "replica"
	case RolePrimary:
		return "primary"
	default:
		return "unknown"
	}
}

// MarshalText implements encoding.TextMarshaler, for dumps.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Role) UnmarshalText(text []byte) error {
	*r = ParseRole(string(text))
	return nil
}

// ParseRole parses the output of Role.String. Any other text yields RoleFenced,
// the role without any rights.
func ParseRole(text string) Role {
	switch text {
	case "replica":
		return RoleReplica
	case "primary":
		return RolePrimary
	default:
		return RoleFenced
	}
}

// DatabaseStatus is the status that a database reports of itself.
type DatabaseStatus struct {
	Database DatabaseID `msgpack:"id" json:"id"`
	// Term is the highest term that the database has accepted. It refuses
	// fences, promotions, primaries and replication of any lower term.
	Term Term `msgpack:"term" json:"term"`
	Role Role `msgpack:"role" json:"role"`
	// Log is the position of the last entry in its log.
	Log Position `msgpack:"log" json:"log"`
	// PrimaryContactAge is the time since a replica last received a message
	// from its primary, by the replica's monotonic clock. Zero on a primary.
	PrimaryContactAge time.Duration `msgpack:"contact" json:"primary_contact_age_ns"`
}

// PromotionCall requests that a database become the primary of its group.
type PromotionCall struct {
	Group    GroupID
	Database DatabaseID
	// Holder and Token are the holder of the promotion duty and its fencing token.
	Holder InstanceID
	Token  uint64
	// MaySend is asked just before the call is sent; nil allows it.
	MaySend func() bool
}
