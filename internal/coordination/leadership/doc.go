// Package leadership decides which database is the primary of each group and
// carries out changes of primary.
//
// The shared store holds one row for each group whose primary was ever
// changed. An instance may use primaries while it holds a lease. It renews the
// lease by writing its own row, on the condition that it has seen every change
// of a primary. The instance that changes a primary, the promoter, first
// announces the change in the group's row. It continues once each instance has
// either acknowledged that it no longer uses the old primary, or can no longer
// hold a lease. So no instance uses a superseded primary, whatever the
// reachability between instances and databases.
//
// A few instances, the watchers, probe each group's primary and vote on its
// replacement. All instances compute them from the same rows.
// The leases keep a change safe whoever starts it.
//
// Only one instance at a time makes promotions: the holder of the promotion
// duty, a row in the store with a lease and a fencing token that only
// increases.
//
// Invariants:
//   - a grant exists only for the primary of the newest record seen, and only
//     while the lease is valid;
//   - an epoch is acknowledged only after every grant of earlier epochs was
//     released or its connection closed;
//   - a promotion is sent only while the duty's lease is valid, and after the duty's row
//     has recorded it in a transaction with the condition that the group's row is still
//     the announcement of the change;
//   - while a promotion call may still be carried out, the duty passes to no other
//     instance and no other database of the group is promoted.
//
// Locks: Grant.mu, the locks of Directory and Health, and those behind PositionAfter may be
// acquired while Manager.mu is held. Closers of grants run without it.
package leadership
