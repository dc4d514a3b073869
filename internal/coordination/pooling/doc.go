// Package pooling shares the connections to each database among the requests
// of this instance. Requests wait in order of priority; a request that would
// wait longer than it can is refused at once, with a hint when to come back.
//
// A limiter keeps the statements in flight at a database to what it does not
// refuse. Where a database can't be reached, connections are opened through
// another instance.
//
// Locks: Manager.mu before Pool.mu. The division of connections is asked for
// under Manager.mu and health under Pool.mu, so the locks of both must be
// leaves. No lock is held during input or output.
package pooling
