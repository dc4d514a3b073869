// Package admission decides, at the owner of a backend server, which request
// gets a connection and which statement gets a slot. It refuses at once those
// that are not expected to be granted before their deadline.
//
// Lock order: each Gate, RetryBudget and Pacer has one mutex, which is a leaf:
// while it is held, no other lock is taken, nothing blocks and no callback
// runs. A caller waits on a channel, without holding the mutex.
package admission
