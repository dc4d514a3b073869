// Package admission decides, at the owner of a backend server, which request
// gets a connection and which statement gets a slot, and refuses at once what
// cannot be served before its deadline.
//
// Lock order: each Gate, RetryBudget and Pacer has one mutex, which is a leaf:
// no other lock is taken, nothing blocks and no callback runs while it is
// held. A caller waits on a channel of its own, without the lock.
package admission
