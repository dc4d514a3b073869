// Package relay serves the sessions of clients: it keeps each session's
// values, prepared statements and transaction, chooses a database for each
// statement, and answers.
//
// A read of a bounded or session route may go to a replica whose log covers a
// position that proves it fresh enough. Everything else goes to the group's
// primary under a grant of package leadership.
//
// What an error promises: CodeBusy and CodeAborted say that nothing of the
// client's attempt is kept. They are given only where no write or commit was
// sent, or the database itself refused it unrun, or the transaction's
// connection was closed before its commit.
package relay
