// Package relay runs the statements of client sessions. It keeps the values,
// prepared statements and transaction of each session, chooses a database for
// each statement and returns the reply.
//
// A read on a route with bounded or session consistency may run on a replica
// whose log covers a position that proves it fresh enough. Everything else
// runs on the group's primary under a grant of package leadership.
//
// Each statement that starts work at a database runs on behalf of the workspace that
// package identity names, on a connection of that workspace.
//
// CodeBusy, CodeNotAuthorized and CodeAborted guarantee that the attempt had no effect. They are
// returned only if no write or commit was sent, if the database refused the
// statement without running it, or if the transaction's connection was closed
// before its commit.
package relay
