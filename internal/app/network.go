package app

import (
	"context"
	"net"
)

// Network opens the connections of an instance to its peers, to backend
// servers and to the platform. Tests and benches replace it, to add latency
// or to cut data centres off.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
