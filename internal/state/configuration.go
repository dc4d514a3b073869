package state

import "time"

// Revision numbers the accepted configurations. Revisions only increase.
type Revision uint64

// PlanID identifies a customer's plan, which stands for one application or team.
type PlanID string

// Plan is an entry in the operators' list of plans.
type Plan struct {
	ID PlanID `msgpack:"id" json:"id"`
	// User is the PostgreSQL user name that the plan's clients connect with.
	User string `msgpack:"user" json:"user"`
	// PasswordVerifier is the SCRAM-SHA-256 verifier of the plan's password in
	// PostgreSQL's own form, SCRAM-SHA-256$iterations:salt$stored:server.
	PasswordVerifier string `msgpack:"pw" json:"password_verifier"`
	Description      string `msgpack:"desc" json:"description,omitempty"`
}

// SessionScope defines which earlier writes a read without a token must see.
type SessionScope string

const (
	// ScopeConnection makes each client connection a session of its own.
	ScopeConnection SessionScope = "connection"
	// ScopePlan makes every read see all writes that were acknowledged on any
	// of the plan's connections before the read arrived. It is meant for
	// applications whose pools spread one user's requests over connections.
	ScopePlan SessionScope = "plan"
)

// Limit is an entry in the operators' list of limits: what a plan may use.
type Limit struct {
	Plan PlanID `msgpack:"plan" json:"plan"`
	// MaxConnections is how many connections the plan may hold at once on each
	// backend server, summed over all instances.
	MaxConnections int `msgpack:"conns" json:"max_connections"`
	// MaxStalenessMillis is the maximum staleness, in milliseconds, of the
	// plan's reads in a session that requests stale reads. Zero allows none.
	MaxStalenessMillis int64 `msgpack:"stale" json:"max_staleness_ms"`
	// Databases lists the groups that the plan may access.
	Databases []GroupID `msgpack:"dbs" json:"databases"`
	// Weight is the plan's share when backend servers are contended, from 1
	// to 100; zero means 1.
	Weight int `msgpack:"weight" json:"weight,omitempty"`
	// IdleInTransactionMillis is how long a transaction may stay idle before
	// it is ended; zero means the default.
	IdleInTransactionMillis int64 `msgpack:"idle" json:"idle_in_transaction_ms,omitempty"`
	// SessionScope means ScopeConnection if empty.
	SessionScope SessionScope `msgpack:"scope" json:"session_scope,omitempty"`
}

// MaxStaleness returns MaxStalenessMillis as a duration.
func (l Limit) MaxStaleness() time.Duration {
	return time.Duration(l.MaxStalenessMillis) * time.Millisecond
}

// Allows reports whether the plan may access the group.
func (l Limit) Allows(group GroupID) bool {
	for _, id := range l.Databases {
		if id == group {
			return true
		}
	}
	return false
}

// Configuration is the list of plans and the list of limits of one accepted
// edit, which always take effect together. A Configuration is immutable once
// shared.
type Configuration struct {
	Revision Revision `msgpack:"rev" json:"revision"`
	// EditID is the operator's idempotency key of the edit.
	EditID string  `msgpack:"edit" json:"edit_id"`
	Plans  []Plan  `msgpack:"plans" json:"plans"`
	Limits []Limit `msgpack:"limits" json:"limits"`
}

// PlanByUser returns the plan whose clients connect as user.
func (c *Configuration) PlanByUser(user string) (Plan, bool) {
	for _, plan := range c.Plans {
		if plan.User == user {
			return plan, true
		}
	}
	return Plan{}, false
}

// LimitOf returns the limit of a plan.
func (c *Configuration) LimitOf(plan PlanID) (Limit, bool) {
	for _, limit := range c.Limits {
		if limit.Plan == plan {
			return limit, true
		}
	}
	return Limit{}, false
}
