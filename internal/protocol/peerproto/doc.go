// Package peerproto defines the protocol between instances: the handshake
// that authenticates two instances to each other and agrees on a version, the
// framing on the TCP connection, and the typed bodies of the frames.
//
// A frame is, in big-endian order, a length of 4 bytes that counts all that
// follows it, a kind of 1 byte, flags of 1 byte, a stream id of 8 bytes, and a
// body in msgpack. Bodies are maps with short names, so that one may gain a field
// within a protocol version: a decoder skips names that it does not know.
package peerproto
