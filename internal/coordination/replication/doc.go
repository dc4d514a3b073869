// Package replication watches the databases of one group: which writes a
// majority holds, up to which position the primary had come at a proven time,
// and how old the data of each database can be at most.
//
// Safety rests on four properties of the databases:
//
//   - the accepted term never goes down, also over a restart;
//   - entries that a status reports are durable;
//   - all entries of one term come from that term's single primary, so two
//     logs whose last entries are of one term are prefixes of one another;
//   - a database that follows a new primary keeps the prefix that the two logs
//     share.
//
// A status answer is a fact about an instant between its sending and its
// arrival. Facts of different instants are combined only where the argument
// holds for any order of the instants; each such place says why.
package replication
