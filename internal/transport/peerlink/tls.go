package peerlink

import (
	"crypto/tls"
	"net"
)

// clientTLS wraps conn if TLS is configured. The TLS handshake runs with the
// first read or write.
func clientTLS(conn net.Conn, config *tls.Config) net.Conn {
	if config == nil {
		return conn
	}
	return tls.Client(conn, config)
}

// rawConn returns the connection below TLS. Closing it cannot block on a peer
// that does not read, whereas closing the TLS connection can.
func rawConn(conn net.Conn) net.Conn {
	if secured, ok := conn.(*tls.Conn); ok {
		return secured.NetConn()
	}
	return conn
}

func serverTLS(conn net.Conn, config *tls.Config) net.Conn {
	if config == nil {
		return conn
	}
	return tls.Server(conn, config)
}
