// Package statement classifies SQL text for routing: whether it only reads,
// whether it controls a transaction, and whether it leaves state on its
// connection.
//
// The package scans tokens and does not parse SQL fully. A statement that the
// text alone does not prove to be read-only counts as a write and goes to the
// primary. Three things are invisible in the text: a view, operator, cast or
// attribute that calls a function with side effects; a user-defined function
// with the name of a built-in one; and session state that a function leaves
// behind. The first two cannot change data on a replica, which rejects writes.
package statement
