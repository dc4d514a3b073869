package app

import (
	"context"
	"net"
)

// Network opens an instance's connections to its peers, to backend servers and
// to the platform. Tests and benchmarks substitute their own to add latency or
// to partition data centres.
type Network interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}
