// Package state holds the typed facts that every layer shares: log positions,
// database groups, plans and their limits, instances, and the outcome of a
// request that was not served. It imports no other layer and does no input or
// output.
package state
