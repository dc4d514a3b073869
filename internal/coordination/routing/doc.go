// Package routing decides, on the entry instance, which backend server runs a
// request and through which owner it is reached. Writes go to the primary. Reads
// go to a replica that holds the minimum position; those expected to respond
// soonest come first.
package routing
