// Package failover changes the primary of one database group. Every owner of a
// database of the group runs a Manager, and any of them may start a change.
//
// Safety depends on the databases alone. A promoter promotes at most one
// database per term, and only after a majority accepted that term from it; a
// database accepts a term from one promoter only and refuses requests of a lower
// term. Which promoter starts, why it suspects the primary and whether the
// platform recorded its claim affect only how soon the primary changes and after
// how many attempts.
package failover
