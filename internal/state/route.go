package state

import "time"

// Consistency is a route's guarantee for reads.
type Consistency uint8

// The consistencies of a route.
const (
	// ConsistencyPrimary guarantees that reads see every acknowledged commit.
	ConsistencyPrimary Consistency = iota + 1
	// ConsistencyBounded guarantees that reads see every commit acknowledged
	// longer ago than the route's staleness bound.
	ConsistencyBounded
	// ConsistencySession guarantees in addition to ConsistencyBounded that
	// reads see the commits of their own session.
	ConsistencySession
)

// String returns the consistency's name for logs.
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

// Route defines how sessions with one database name are served.
type Route struct {
	// Database is the name that clients connect to.
	Database    string
	Group       GroupID
	Consistency Consistency
	// MaxStaleness bounds the staleness of bounded and session reads.
	MaxStaleness time.Duration
	// StatementTimeout bounds the duration of a statement from its arrival.
	StatementTimeout time.Duration
	// Objective is the latency objective of a whole operation.
	Objective time.Duration
	// Priority orders waiting requests; 0 is served first.
	Priority int
	// Public is set if clients need no key. Their sessions belong to no workspace.
	Public bool
}

// GroupLimits are the limits of each database of a group.
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
	// IdleInTransaction is the longest time that a transaction may stay idle.
	IdleInTransaction time.Duration
	// HasWorkspaces is set if the configuration defines workspaces, even if it
	// lists none. Clients of routes that are not public then need a key.
	HasWorkspaces bool
	Workspaces    map[WorkspaceID]Workspace
	// KeyOwners maps the hash of each valid key to its workspace.
	KeyOwners map[KeyHash]WorkspaceID
}

// Server is a database as described by its own registration.
type Server struct {
	Database
	Group GroupID
	// Role is the role that the database reports. A superseded primary may
	// still report RolePrimary.
	Role Role
	// Born is when the database's process started, in Unix milliseconds. It
	// distinguishes runs of a database under the same id.
	Born int64
}
