// Package soak runs entry instances as separate processes under load, injects
// random faults around them, and checks the replies that clients received
// against the commits and reads of the databases.
package soak
