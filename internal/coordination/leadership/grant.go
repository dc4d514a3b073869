package leadership

import (
	"sync"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Grant is the permission to use a group's primary for one request or
// transaction.
type Grant struct {
	manager *Manager
	Group   state.GroupID
	Epoch   uint64
	Primary state.DatabaseID

	mu      sync.Mutex
	closer  func()
	revoked bool
}

// Attach sets the function that closes the connection on which the grant is
// used; it is called when the grant is revoked. Attach returns false if the grant
// has already been revoked: the connection must then not be used.
func (g *Grant) Attach(closer func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closer = closer
	return !g.revoked
}

// Valid reports whether a statement may be sent to the primary now.
func (g *Grant) Valid() bool {
	now := g.manager.Clock.Now()
	g.mu.Lock()
	revoked := g.revoked
	g.mu.Unlock()
	if revoked {
		return false
	}
	g.manager.mu.Lock()
	defer g.manager.mu.Unlock()
	return g.manager.lease.valid(now)
}

// Release ends the grant. It may be called more than once.
func (g *Grant) Release() {
	g.manager.mu.Lock()
	defer g.manager.mu.Unlock()
	delete(g.manager.group(g.Group).grants, g)
}

// revokeAfterLease revokes all grants once the lease has ended and statements under way
// have had leaseGrace to end. Without it a statement whose timeout exceeds leaseMargin
// could be acknowledged by a superseded primary.
func (m *Manager) revokeAfterLease() {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now < m.lease.ends().Add(leaseGrace) {
		return
	}
	closed := 0
	for _, g := range m.groups {
		closed += g.revokeGrants(func(*Grant) bool { return true })
	}
	if closed > 0 {
		m.Log.Warn().Int("closed", closed).Msg("the lease has ended, the use of primaries was broken off")
	}
}

// revokeGrants revokes the grants that are due, closes their connections in the
// background and returns their number. The caller must hold the manager's lock.
func (g *group) revokeGrants(due func(*Grant) bool) (closed int) {
	for grant := range g.grants {
		if !due(grant) {
			continue
		}
		if closer := grant.revoke(); closer != nil {
			closed++
			go closer()
		}
		delete(g.grants, grant)
	}
	return closed
}

func (g *Grant) revoke() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoked = true
	return g.closer
}
