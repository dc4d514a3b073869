// Package pooling pools the connections of this instance to each database.
// Requests wait for a connection in order of priority. A request that can't be
// served before its deadline is refused immediately with a retry hint, as is one
// that waits and can't be served in time because more urgent ones have arrived.
//
// A limiter reduces the statements in flight at a database when the database
// refuses statements as overloaded. If a database can't be reached, connections
// are opened through another instance.
//
// Locks: Manager.mu before Pool.mu. The division of connections is read under
// Manager.mu, and Health is called under Pool.mu, so the locks that these take
// must be leaves: no other lock is taken while one is held. No lock is held
// during I/O.
package pooling
