// Package forwarding runs statements on the connections of other instances. The
// sender's side is a pooling.ServerConn for one request or transaction; the
// holder's side runs its statements on a connection of the holder's own pool.
//
// The sender keeps the session, its grant and its decisions. The holder checks
// its own directory and, for a primary, its own grant just before it sends, so
// that a statement that was held up on its way reaches no database that may no
// longer be used. A refusal of the holder says that the statement was surely not
// sent. If the link is lost after the statement was passed to it, the statement
// may have run. A statement is passed on once: a holder forwards nothing that was
// forwarded to it.
//
// Locks: those of Session and senderConn are leaves, except that Session.mu
// precedes those of pooling. No lock is held during I/O.
package forwarding
