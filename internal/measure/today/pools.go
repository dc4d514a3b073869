package today

import (
	"context"

	"github.com/jackc/pgx/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
)

// straightPools are the baselines' connections: each instance has a fixed
// share of each database's connections and waits for a free one in the order
// of arrival.
type straightPools struct {
	in    *installation
	pools map[poolKey]chan *pgx.Conn
}

type poolKey struct {
	instance int
	server   *database.Server
}

// newStraightPools opens all connections of all instances.
func newStraightPools(ctx context.Context, in *installation) (*straightPools, error) {
	p := &straightPools{in: in, pools: map[poolKey]chan *pgx.Conn{}}
	// One more share is left to the status requests of the proxy.
	share := in.deployment.MaxConnections / (instances + 1)
	for _, group := range in.groups {
		for _, server := range group.Servers() {
			for instance := range instances {
				pool := make(chan *pgx.Conn, share)
				p.pools[poolKey{instance, server}] = pool
				for range share {
					conn, err := in.connectStraight(ctx, in.sites[instance], server)
					if err != nil {
						p.close()
						return nil, err
					}
					pool <- conn
				}
			}
		}
	}
	return p, nil
}

// with uses a connection of an instance to a database.
func (p *straightPools) with(ctx context.Context, instance int, server *database.Server, use func(*pgx.Conn) error) error {
	pool := p.pools[poolKey{instance, server}]
	select {
	case conn := <-pool:
		defer func() { pool <- conn }()
		return use(conn)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *straightPools) close() {
	for _, pool := range p.pools {
		for len(pool) > 0 {
			_ = (<-pool).Close(context.Background())
		}
	}
}
