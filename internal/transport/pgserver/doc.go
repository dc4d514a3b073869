// Package pgserver serves clients over the PostgreSQL wire protocol, version
// 3: startup and authentication, simple and extended queries, cancellation and
// graceful shutdown. It passes each unit to the client's session, which decides
// what the unit may use and where it runs.
package pgserver
