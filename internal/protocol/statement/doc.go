// Package statement classifies SQL text for routing: whether it only reads,
// whether it controls a transaction, and what it leaves on its connection.
//
// It is a scanner and no parser. Where the text alone does not prove that a
// statement only reads, the statement counts as a write and goes to the
// primary. Three things cannot be seen in the text: a view, operator, cast or
// attribute that stands for a function with effects, a user's own function
// under the name of a built-in one, and session state that a function leaves
// behind. The first two cannot change a replica, which refuses writes.
package statement
