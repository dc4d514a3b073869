// Package leadership decides which database each group's writes go to, and
// changes it.
//
// The shared store holds one row for each group whose primary was ever
// changed. An instance may use a group's primary while it holds a lease, and
// renews the lease by writing its own row on the condition that it has seen
// every change of a primary. A promoter first announces the change
// in the group's row. It goes on when each instance has either acknowledged
// that it no longer uses the old primary, or can no longer hold a lease. So no
// instance uses a superseded primary, whichever machines can reach it.
//
// Promotions are made by one instance at a time, the holder of the duty's row,
// with a fencing token that only goes up.
//
// Invariants:
//   - a grant exists only for the primary of the newest record seen, and only
//     while the lease is valid;
//   - an epoch is acknowledged only after every grant of earlier epochs was
//     released or its connection closed;
//   - a promotion is sent only while the duty's lease is valid.
//
// Locks: Manager.mu is a leaf; closers of grants run without it.
package leadership
