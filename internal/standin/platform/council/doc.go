// Package council is a small stand-in for the council platform: its row store,
// its groups of databases and its promotion call, as far as the entry instance
// uses them, with the faults that tests inject. Everything can be used in
// memory under virtual time, or over TCP.
//
// Locks: Group.mu and Store.mu are leaves; neither is held during a wait.
package council
