// Package pgserver serves clients over the PostgreSQL wire protocol, version
// 3: startup and authentication, simple and extended queries, cancellation and
// a graceful stop. What a request may use and where it runs is decided by the
// session that it hands each unit to.
package pgserver
