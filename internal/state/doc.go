// Package state defines the types that all layers share: log positions,
// database groups, plans and their limits, instances, and the outcome of a
// failed request. It imports no other layer and does no I/O.
package state
