package today

import (
	"context"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"github.com/cyclamenpin/cyclamenpin/internal/standin/database"
)

// directPools holds the connections of the baselines, which bypass the proxy.
// Each instance has a fixed share of each database's connections; its requests
// get a free one in the order of arrival.
type directPools struct {
	in    *installation
	pools map[poolKey]chan *pgx.Conn
}

type poolKey struct {
	instance int
	server   *database.Server
}

// newDirectPools opens all connections of all instances.
func newDirectPools(ctx context.Context, in *installation) (*directPools, error) {
	p := &directPools{in: in, pools: map[poolKey]chan *pgx.Conn{}}
	// One additional share is left for the proxy's status requests.
	share := in.deployment.MaxConnections / (instances + 1)
	for _, group := range in.groups {
		for _, server := range group.Servers() {
			for instance := range instances {
				p.pools[poolKey{instance, server}] = make(chan *pgx.Conn, share)
			}
		}
	}
	if err := p.fill(ctx); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// fill opens the connections of all pools concurrently.
func (p *directPools) fill(ctx context.Context) error {
	opening, ctx := errgroup.WithContext(ctx)
	for key, pool := range p.pools {
		opening.Go(func() error {
			for range cap(pool) {
				conn, err := p.in.connectDirect(ctx, p.in.sites[key.instance], key.server)
				if err != nil {
					return err
				}
				pool <- conn
			}
			return nil
		})
	}
	return opening.Wait()
}

// withConn waits for a free connection of an instance to a database and calls
// use with it.
func (p *directPools) withConn(ctx context.Context, instance int, server *database.Server, use func(*pgx.Conn) error) error {
	pool := p.pools[poolKey{instance, server}]
	select {
	case conn := <-pool:
		defer func() { pool <- conn }()
		return use(conn)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *directPools) close() {
	for _, pool := range p.pools {
		for len(pool) > 0 {
			_ = (<-pool).Close(context.Background())
		}
	}
}
