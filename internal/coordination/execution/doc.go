// Package execution runs callers' requests on backend servers. It defines the
// stream between an entry instance and the instance that owns a backend
// server, and the owner's side of it: admission, choice of connection, running
// the request, and holding its answer until a majority of the group holds what
// it wrote.
package execution
