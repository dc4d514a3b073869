// Package peerproto defines the protocol between instances: the handshake
// that authenticates two instances to each other and negotiates a version, the
// framing on the TCP connection, and the typed bodies of the frames.
//
// A frame consists of a length of 4 bytes that counts all bytes after it, a
// kind of 1 byte, flags of 1 byte, a stream id of 8 bytes, and a body in
// msgpack. Integers of the header are big-endian. Bodies are maps with short
// field names, and decoders skip names that they do not recognise, so a body
// may gain a field within a protocol version.
package peerproto
