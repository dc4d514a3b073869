package state

import "time"

// Revision numbers accepted configurations. Revisions only go up.
type Revision uint64

// PlanID names a customer's plan: one application or team.
type PlanID string

// Plan is one entry of the operators' first list.
type Plan struct {
	ID PlanID `msgpack:"id" json:"id"`
	// User is the PostgreSQL user name with which the plan's callers connect.
	User string `msgpack:"user" json:"user"`
	// PasswordVerifier is the SCRAM-SHA-256 verifier of the plan's password in
	// PostgreSQL's own form, SCRAM-SHA-256$iterations:salt$stored:server.
	PasswordVerifier string `msgpack:"pw" json:"password_verifier"`
	Description      string `msgpack:"desc" json:"description,omitempty"`
}

// SessionScope says which earlier writes a read without a token must see.
type SessionScope string

const (
	// ScopeConnection counts each client connection as a session of its own.
	ScopeConnection SessionScope = "connection"
	// ScopePlan lets every read see whatever any connection was acknowledged
	// before the read arrived, for applications whose pools spread one
	// person's requests over connections.
	ScopePlan SessionScope = "plan"
)

// Limit is one entry of the operators' second list: what a plan may use.
type Limit struct {
	Plan PlanID `msgpack:"plan" json:"plan"`
	// MaxConnections is how many backend connections the plan may hold at
	// once on any one backend server, over all instances.
	MaxConnections int `msgpack:"conns" json:"max_connections"`
	// MaxStalenessMillis is how old, in milliseconds, the plan's reads may
	// be at most when a session asks for stale reads. Zero allows none.
	MaxStalenessMillis int64 `msgpack:"stale" json:"max_staleness_ms"`
	// Databases lists the groups that the plan may reach.
	Databases []GroupID `msgpack:"dbs" json:"databases"`
	// Weight is the plan's share when backend servers are contended, from 1
	// to 100; zero means 1.
	Weight int `msgpack:"weight" json:"weight,omitempty"`
	// IdleInTransactionMillis ends a transaction that stays idle for longer;
	// zero means the default.
	IdleInTransactionMillis int64 `msgpack:"idle" json:"idle_in_transaction_ms,omitempty"`
	// SessionScope is ScopeConnection where empty.
	SessionScope SessionScope `msgpack:"scope" json:"session_scope,omitempty"`
}

// MaxStaleness returns MaxStalenessMillis as a duration.
func (l Limit) MaxStaleness() time.Duration {
	return time.Duration(l.MaxStalenessMillis) * time.Millisecond
}

// Allows reports whether the plan may reach the group.
func (l Limit) Allows(group GroupID) bool {
	for _, id := range l.Databases {
		if id == group {
			return true
		}
	}
	return false
}

// Configuration is the pair of lists that one accepted edit put in force. The
// two always go together. A Configuration is immutable once shared.
type Configuration struct {
	Revision Revision `msgpack:"rev" json:"revision"`
	// EditID is the operator's idempotency key of the edit that made it.
	EditID string  `msgpack:"edit" json:"edit_id"`
	Plans  []Plan  `msgpack:"plans" json:"plans"`
	Limits []Limit `msgpack:"limits" json:"limits"`
}

// PlanByUser finds the plan whose callers connect as user.
func (c *Configuration) PlanByUser(user string) (Plan, bool) {
	for _, plan := range c.Plans {
		if plan.User == user {
			return plan, true
		}
	}
	return Plan{}, false
}

// LimitOf finds the limit of a plan.
func (c *Configuration) LimitOf(plan PlanID) (Limit, bool) {
	for _, limit := range c.Limits {
		if limit.Plan == plan {
			return limit, true
		}
	}
	return Limit{}, false
}
