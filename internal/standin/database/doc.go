// Package database is a small stand-in for one PostgreSQL-like database of a
// replicated group, for tests and for trying the proxy out. It speaks the
// PostgreSQL wire protocol, runs SQL on an in-memory SQLite database, replicates
// its log asynchronously to the other databases of its group, and implements the
// terms and the control statements (group_status, group_fence, group_promote and
// group_follow) that the proxy needs.
//
// Each committed write transaction is one log entry. It holds the statements with
// their arguments, which the replicas execute in order. Statements that write
// must therefore be deterministic: random(), for example, would make the copies
// differ.
package database
