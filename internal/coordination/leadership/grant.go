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

func (g *Grant) revoke() func() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.revoked = true
	return g.closer
}
