package state

import (
	"errors"
	"time"
)

// GroupID names a database group: one primary and its replicas, which callers
// see as one database.
type GroupID string

// DatabaseID names one database of a group, unique over all groups.
type DatabaseID string

// DataCentre names a place whose machines share one network and fail together.
type DataCentre string

// Database is one backend server's member of a group.
type Database struct {
	ID         DatabaseID `msgpack:"id" json:"id"`
	Address    string     `msgpack:"addr" json:"address"` // host:port
	DataCentre DataCentre `msgpack:"dc" json:"data_centre"`
	// Slots is how many statements the database runs at once.
	Slots int `msgpack:"slots" json:"slots"`
	// MaxConnections is how many connections the database accepts.
	MaxConnections int `msgpack:"conns" json:"max_connections"`
	// Leaving is set by operators while the backend server is being retired.
	Leaving bool `msgpack:"leaving" json:"leaving,omitempty"`
}

// ErrNotRunning is the error of a promotion of a database that does not run.
var ErrNotRunning = errors.New("the database is not running")

// ErrTooManyCalls is the error of a promotion that the platform did not take in,
// because it had too many.
var ErrTooManyCalls = errors.New("the platform takes no more calls now")

// ErrNoTunnel is the error of a connection through another instance where none
// is known that reaches the database.
var ErrNoTunnel = errors.New("no other instance reaches the database")

// ErrClosedAtStartup is the error of a connection that a database accepted and then
// closed before its startup. A database may do so that has no connection left.
var ErrClosedAtStartup = errors.New("the database closed the connection at its startup")

// Group is a database group as the platform's table service records it.
type Group struct {
	ID        GroupID    `msgpack:"id" json:"id"`
	Databases []Database `msgpack:"dbs" json:"databases"`
	// Term and Primary are those of the last recorded change of primary. They
	// are a hint: the databases' own terms decide.
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

// Majority is the smallest number of databases that is more than half of g.
func (g Group) Majority() int {
	return len(g.Databases)/2 + 1
}

// Role is what a database does in its current term.
type Role uint8

// The roles of a database.
const (
	// RoleFenced is a database that accepted a term and has neither been
	// promoted nor told whom to follow in it. It takes no writes and
	// replicates from nobody.
	RoleFenced Role = iota
	// RoleReplica follows the primary of its term.
	RoleReplica
	// RolePrimary takes writes in its term.
	RolePrimary
)

// String names the role in lower case.
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

// ParseRole reads the form that Role.String writes; anything else is fenced,
// the role that may do nothing.
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

// DatabaseStatus is what a database says of itself in one answer.
type DatabaseStatus struct {
	Database DatabaseID `msgpack:"id" json:"id"`
	// Term is the highest term that the database has accepted. It refuses
	// fences, promotions, primaries and replication of any lower term.
	Term Term `msgpack:"term" json:"term"`
	Role Role `msgpack:"role" json:"role"`
	// Log is the position of the last entry in its log.
	Log Position `msgpack:"log" json:"log"`
	// PrimaryContactAge is how long ago a replica last heard from its
	// primary, by the replica's monotonic clock. Zero on a primary.
	PrimaryContactAge time.Duration `msgpack:"contact" json:"primary_contact_age_ns"`
}
