// Package peerlink carries streams and calls between instances over links.
//
// A link is one authenticated TCP connection to one incarnation of one
// instance. A Client dials links when they are first needed, and opens streams
// and makes calls on them. A Server accepts links and runs their streams on an
// execution.Executor. An unused link carries no keepalive frames. A probe is
// sent only if a link in use has received nothing for a while; a link that
// receives nothing after a probe is closed, and all its streams fail.
//
// A unit whose frame was never taken by the link's writer has the outcome not
// run. A unit whose frame was taken and whose reply is missing has the outcome
// unknown, whatever the reason, because the frame may still be in a buffer on
// the way or in a peer that is paused.
//
// Lock order: Client.mu or Server.mu, then the mu of a link, then that of a
// stream, then prober.mu or outbox.mu. No lock is held during I/O or during
// calls to other packages.
package peerlink
