// Package placement decides which instances open connections to a database. If
// the database accepts a connection from every instance, each opens its own.
// Otherwise a few instances, the holders, open connections, and the others
// forward their statements to a holder. All instances compute the holders by the
// same rule from the instances' rows.
//
// Instances that have read different rows may differ about the holders. A holder
// refuses what it does not hold, and a sender then tries another one, so that
// this costs a round trip at worst. While the holders change, new ones start with
// a part of their share and former ones keep a part, so that the sum still fits.
//
// Locks: Table.mu is a leaf; the functions of Config run without it.
package placement
