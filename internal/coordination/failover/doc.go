// Package failover changes the primary of one database group. Every owner of a
// database of the group runs a Manager, and any of them may start a change.
//
// Safety rests on the databases alone. A promoter promotes one database a
// term, and only after a majority accepted that term for it; a database accepts
// a term for one promoter only, and refuses whatever is of a lower term. Which
// promoter starts, how it came to suspect the primary, and whether the platform
// agreed decide only how soon a change happens and how many are tried.
package failover
