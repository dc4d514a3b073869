// Package peerlink carries streams and calls between instances over links.
//
// A link is one authenticated TCP connection to one incarnation of one
// instance. A Client dials links when they are first needed and opens streams
// and calls on them; a Server accepts links and hands their streams to an
// execution.Executor. No heartbeat is sent on a link that carries nothing. A
// probe is sent only when something in flight has made no progress, and a link
// that does not answer its probe is given up with all its streams.
//
// A unit whose frame the link's writer never took is not run. A unit whose
// frame was taken and whose answer is missing is unknown, whatever the reason,
// because the frame may still be in a buffer on the way or in a peer that is
// paused.
//
// Lock order: Client.mu or Server.mu, then the mu of a link, then
// that of a stream, then prober.mu or outbox.mu. No lock is held during I/O or while another package is called.
package peerlink
