// Package replication watches the databases of one group. It determines which
// writes a majority holds, a position that covers all writes acknowledged
// before a given time, and an upper bound on the age of each database's data.
//
// Its safety depends on four properties of the databases:
//
//   - the accepted term never decreases, not even across a restart;
//   - entries that a status reports are durable;
//   - all entries of one term come from that term's single primary, so if the
//     last entries of two logs are of the same term, one log is a prefix of the
//     other;
//   - a database that follows a new primary keeps the common prefix of the two
//     logs.
//
// A status describes the database at some instant between the sending of the
// request and the arrival of the response. Statuses of different instants are
// combined only where the reasoning holds for any order of these instants; each
// such place explains why.
package replication
