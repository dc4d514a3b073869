package pooling

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// trimInterval is the time between two checks for idle connections.
	trimInterval = time.Second
	// maxIdle is how long a connection may be idle before it is closed. After a
	// power failure a database keeps the old connections for three seconds, and
	// its connection limit counts both these and the new ones.
	maxIdle = 3 * time.Second
	// demandInterval is the time between two samples of the demand, and
	// demandWeight the weight of the newest sample in the moving average, which
	// thus covers a few seconds.
	demandInterval = 250 * time.Millisecond
	demandWeight   = 0.1
	// demandUnit is the unit in which demand is reported, in connections.
	demandUnit = 0.1
)

// Manager holds the pools of all databases in use.
type Manager struct {
	dialer Dialer
	health Health
	log    zerolog.Logger
	// maxConnections returns how many connections each database of a group
	// accepts.
	maxConnections func(state.GroupID) int
	// divisionOf returns how these are divided among the instances.
	divisionOf func(state.GroupID) Division
	// placement and forwarder are nil where every instance opens its own
	// connections.
	placement func(state.Server) Placement
	forwarder Forwarder

	mu    sync.Mutex
	pools map[state.DatabaseID]*Pool
}

// NewManager returns a manager without pools.
func NewManager(dialer Dialer, health Health, maxConnections func(state.GroupID) int, divisionOf func(state.GroupID) Division, log zerolog.Logger) *Manager {
	return &Manager{
		dialer: dialer, health: health, log: log, maxConnections: maxConnections, divisionOf: divisionOf,
		pools: make(map[state.DatabaseID]*Pool),
	}
}

// Pool returns the pool of a database and creates it if necessary. A database
// that has registered at another address or has been restarted gets a new pool.
func (m *Manager) Pool(server state.Server) *Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pool, ok := m.pools[server.ID]
	if ok && pool.server.Address == server.Address && pool.server.Born == server.Born {
		return pool
	}
	if ok {
		go pool.close()
	}
	placed := m.placementOf(server)
	pool = newPool(server, m.dialer, m.health, placed.Share, m.log)
	pool.forwarder, pool.forwards = m.forwarder, placed.Forward
	m.pools[server.ID] = pool
	return pool
}

// updateShares samples the demand of each pool and recomputes its share of the
// connections.
func (m *Manager) updateShares() {
	for _, pool := range m.allPools() {
		pool.updateShare(m.placementOf(pool.server))
	}
}

// Remove closes the pool of a database that is no longer registered.
func (m *Manager) Remove(id state.DatabaseID) {
	m.mu.Lock()
	pool, ok := m.pools[id]
	delete(m.pools, id)
	m.mu.Unlock()
	if ok {
		pool.close()
	}
}

// Run closes idle connections and updates the shares until ctx ends. It then
// closes all pools.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	samples := time.NewTicker(demandInterval)
	defer samples.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, pool := range m.allPools() {
				pool.close()
			}
			return
		case <-samples.C:
			m.updateShares()
		case <-ticker.C:
			for _, pool := range m.allPools() {
				pool.closeIdle(maxIdle)
			}
		}
	}
}

func (m *Manager) allPools() []*Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make([]*Pool, 0, len(m.pools))
	for _, pool := range m.pools {
		pools = append(pools, pool)
	}
	return pools
}

// Demand returns the demand of each group, in tenths of a connection: the moving
// average of the connections in use or waited for, at the group's database with the
// highest average.
func (m *Manager) Demand() map[state.GroupID]uint16 {
	demand := make(map[state.GroupID]uint16)
	for _, pool := range m.allPools() {
		group, recent := pool.recentDemand()
		demand[group] = max(demand[group], uint16(min(recent/demandUnit, math.MaxUint16)))
	}
	return demand
}

// Stats returns the statistics of all pools.
func (m *Manager) Stats() []Stats {
	var all []Stats
	for _, pool := range m.allPools() {
		all = append(all, pool.stats())
	}
	return all
}

// Probe requests the status of a database to find out whether it replies. It uses a
// connection of the pool, which is kept for the next probe, and opens one only
// within the pool's share.
func (m *Manager) Probe(ctx context.Context, server state.Server) (state.ServerStatus, error) {
	pool := m.Pool(server)
	conn, err := pool.takeOrDial(ctx)
	if err != nil {
		return state.ServerStatus{}, err
	}
	status, err := conn.Status(m.queryDeadline(ctx))
	pool.Release(conn, answered(err))
	return status, err
}

// Status requests the status of a database, on an idle direct connection if there
// is one.
func (m *Manager) Status(ctx context.Context, server state.Server) (state.ServerStatus, error) {
	return m.query(ctx, server, func(conn ServerConn, deadline time.Time) (state.ServerStatus, error) {
		return conn.Status(deadline)
	})
}

// StepDown requests a primary of a term below the given one to become a replica.
func (m *Manager) StepDown(ctx context.Context, server state.Server, term state.Term) (state.ServerStatus, error) {
	return m.query(ctx, server, func(conn ServerConn, deadline time.Time) (state.ServerStatus, error) {
		return conn.StepDown(term, deadline)
	})
}

// existing returns the pool of a database's run, nil if there is none: one that is not
// registered any more is asked as well.
func (m *Manager) existing(server state.Server) *Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pool := m.pools[server.ID]; pool != nil && pool.server.Address == server.Address && pool.server.Born == server.Born {
		return pool
	}
	return nil
}

// queryDeadline returns the deadline of a control query.
func (m *Manager) queryDeadline(ctx context.Context) time.Time {
	if deadline, ok := ctx.Deadline(); ok {
		return deadline
	}
	return time.Now().Add(dialTimeout)
}

func (m *Manager) query(ctx context.Context, server state.Server, request func(ServerConn, time.Time) (state.ServerStatus, error)) (state.ServerStatus, error) {
	deadline := m.queryDeadline(ctx)
	if pool := m.existing(server); pool != nil {
		if conn := pool.takeDirect(); conn != nil {
			status, err := request(conn, deadline)
			pool.Release(conn, answered(err))
			return status, err
		}
	}
	conn, err := m.dialer.Dial(ctx, server, "")
	if err != nil {
		return state.ServerStatus{}, &DialError{Database: server.ID, Cause: err}
	}
	defer conn.Close()
	return request(conn, deadline)
}
