// Package pooling shares the connections to each database among the requests
// of this instance. Requests wait in order of priority; a request that would
// wait longer than it can is refused at once, with a hint when to come back.
//
// Locks: Manager.mu before Pool.mu; no lock is held during input or output.
package pooling
