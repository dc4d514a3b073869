// Package database is a small stand-in for one PostgreSQL-like database of a
// replicated group. It speaks the PostgreSQL wire protocol, runs SQL on an
// in-memory SQLite database, replicates its log asynchronously to the other
// databases of its group, and offers the terms and control statements that the
// proxy needs. It exists for tests and for trying the proxy out.
//
// Every committed write transaction is one log entry: the statements with their
// arguments, which the replicas run again in order. Statements that write must
// therefore be deterministic: random() and the like would make copies differ.
package database
