// Package council is a small stand-in for the council platform: its row store,
// its groups of databases and its promotion call, as far as the entry instance
// uses them, with fault injection for tests. Everything can be used in memory
// under virtual time, or over TCP.
//
// Locks: this package takes no other lock while Group.mu or Store.mu is held, and
// doesn't hold them while waiting. The functions given to SetPartition and
// SetFaults are called with them held.
package council
