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
	// trimInterval is the time between two looks for idle connections.
	trimInterval = time.Second
	// longestIdle is how long a connection may go unused. After a loss of
	// power a database keeps the connections of before for three seconds, and
	// what it accepts must do for both these and the new ones.
	longestIdle = 3 * time.Second
	// demandInterval is the time between two samples of the demand, and
	// demandWeight the weight of the newest: a few seconds count.
	demandInterval = 250 * time.Millisecond
	demandWeight   = 0.1
	// demandUnit is the unit in which demand is told.
	demandUnit = 0.1
)

// Manager holds the pools of all databases in use.
type Manager struct {
	dialer Dialer
	health Health
	log    zerolog.Logger
	// maxConnections returns what each database of a group accepts.
	maxConnections func(state.GroupID) int
	// divisionOf returns among whom that is divided.
	divisionOf func(state.GroupID) Division

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

// Pool returns the pool of a database. A database that registered again at
// another address, or was started anew, gets a new one.
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
	pool = newPool(server, m.dialer, m.health, m.shareOf(server.Group), m.log)
	m.pools[server.ID] = pool
	return pool
}

func (m *Manager) shareOf(group state.GroupID) int {
	return share(m.maxConnections(group), m.divisionOf(group))
}

// measure takes the present demand of all pools into account and divides the
// connections anew.
func (m *Manager) measure() {
	shares := make(map[state.GroupID]int)
	for _, pool := range m.all() {
		group := pool.server.Group
		if _, known := shares[group]; !known {
			shares[group] = m.shareOf(group)
		}
		pool.sample(shares[group])
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

// Run closes idle connections until ctx ends, and then all pools.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(trimInterval)
	defer ticker.Stop()
	samples := time.NewTicker(demandInterval)
	defer samples.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, pool := range m.all() {
				pool.close()
			}
			return
		case <-samples.C:
			m.measure()
		case <-ticker.C:
			for _, pool := range m.all() {
				pool.trim(longestIdle)
			}
		}
	}
}

func (m *Manager) all() []*Pool {
	m.mu.Lock()
	defer m.mu.Unlock()
	pools := make([]*Pool, 0, len(m.pools))
	for _, pool := range m.pools {
		pools = append(pools, pool)
	}
	return pools
}

// Demand returns, for each group, the most connections to one of its databases
// that were lately in use or waited for, in tenths.
func (m *Manager) Demand() map[state.GroupID]uint16 {
	demand := make(map[state.GroupID]uint16)
	for _, pool := range m.all() {
		group, lately := pool.lately()
		demand[group] = max(demand[group], uint16(min(lately/demandUnit, math.MaxUint16)))
	}
	return demand
}

// Stats returns the state of all pools.
func (m *Manager) Stats() []Stats {
	var all []Stats
	for _, pool := range m.all() {
		all = append(all, pool.stats())
	}
	return all
}

// Status asks a database for its state, on an idle connection if there is one.
func (m *Manager) Status(ctx context.Context, server state.Server) (state.ServerStatus, error) {
	return m.ask(ctx, server, func(conn ServerConn, deadline time.Time) (state.ServerStatus, error) {
		return conn.Status(deadline)
	})
}

// StepDown tells a primary of a term below the given one to become a replica.
func (m *Manager) StepDown(ctx context.Context, server state.Server, term state.Term) (state.ServerStatus, error) {
	return m.ask(ctx, server, func(conn ServerConn, deadline time.Time) (state.ServerStatus, error) {
		return conn.StepDown(term, deadline)
	})
}

func (m *Manager) ask(ctx context.Context, server state.Server, question func(ServerConn, time.Time) (state.ServerStatus, error)) (state.ServerStatus, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(dialTimeout)
	}
	pool := m.Pool(server)
	if link := pool.takeDirect(); link != nil {
		status, err := question(link, deadline)
		pool.Release(link, err == nil)
		return status, err
	}
	conn, err := m.dialer.Dial(ctx, server)
	if err != nil {
		return state.ServerStatus{}, &DialError{Database: server.ID, Cause: err}
	}
	defer conn.Close()
	return question(conn, deadline)
}
