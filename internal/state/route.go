package state

import "time"

// Consistency is what a route promises its reads.
type Consistency uint8

// The consistencies of a route.
const (
	// ConsistencyPrimary reads see every acknowledged commit.
	ConsistencyPrimary Consistency = iota + 1
	// ConsistencyBounded reads see every commit acknowledged longer ago than
	// the route's staleness bound.
	ConsistencyBounded
	// ConsistencySession is ConsistencyBounded, and reads also see the
	// commits of their own session.
	ConsistencySession
)

// String names the consistency for logs.
func (c Consistency) String() string {
	switch c {
	case ConsistencyPrimary:
		return "primary"
	case ConsistencyBounded:
		return "bounded"
	case ConsistencySession:
		return "session"
	default:
		return "unknown"
	}
}

// Route says how the sessions of one database name are served.
type Route struct {
	// Database is the name that clients connect to.
	Database    string
	Group       GroupID
	Consistency Consistency
	// MaxStaleness bounds the age of bounded and session reads.
	MaxStaleness time.Duration
	// StatementTimeout bounds one statement, counted from its arrival.
	StatementTimeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
}

// GroupLimits are the limits that hold for each database of a group.
type GroupLimits struct {
	MaxConnections int
	// SyncReplicas is how many replicas receive a commit before the database
	// acknowledges it.
	SyncReplicas int
}

// RoutingTable is one version of the operators' configuration.
type RoutingTable struct {
	Version uint64
	Routes  map[string]Route
	Groups  map[GroupID]GroupLimits
	// IdleInTransaction is how long a transaction may stay idle.
	IdleInTransaction time.Duration
}

// Server is one database as it reports itself.
type Server struct {
	Database
	Group GroupID
	// Role is what the database takes itself for. A superseded primary may
	// still report itself as primary.
	Role Role
	// Born is when the database's process started, in Unix milliseconds; it
	// tells two runs under one id apart.
	Born int64
}
