// Package execution runs callers' requests on backend servers. It defines the
// stream between an entry instance and the instance that owns a backend
// server, and implements the owner's side of it: it acquires a connection and a
// slot, runs the request, and withholds the reply to a write until a majority
// of the group holds the write.
package execution
