package leadership

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// confirmPrimaries asks the databases of all groups who leads, when no instance
// remembers the changes that the store may have lost. It reports whether the records
// are right.
func (m *Manager) confirmPrimaries(ctx context.Context) bool {
	var groups sync.WaitGroup
	var unconfirmed atomic.Int64
	for _, id := range m.Directory.Groups() {
		groups.Go(func() {
			if !m.confirmPrimary(ctx, id) {
				unconfirmed.Add(1)
			}
		})
	}
	groups.Wait()
	return unconfirmed.Load() == 0
}

// confirmPrimary reports whether a group's record is right. If the databases do not
// all agree with it, their primary with the highest term is promoted once more: only
// the platform knows of a promotion that no database in reach has heard of.
func (m *Manager) confirmPrimary(ctx context.Context, id state.GroupID) bool {
	m.mu.Lock()
	g := m.group(id)
	changing := g.record.Changing
	primary, known := m.primaryOf(id, g)
	m.mu.Unlock()
	if changing {
		return true // it is not used, and the change is taken over
	}
	if known && m.allFollow(ctx, id, primary) {
		return true
	}
	m.change(ctx, id, "", causeUnconfirmed)
	m.mu.Lock()
	defer m.mu.Unlock()
	return !g.record.Changing && g.record.Epoch > m.era.lowest()
}

// allFollow reports whether all databases of a group reply, and none but the given one
// leads or has seen a higher term.
func (m *Manager) allFollow(ctx context.Context, id state.GroupID, primary state.DatabaseID) bool {
	servers := m.Directory.Servers(id)
	replies := make([]candidate, len(servers))
	var queries sync.WaitGroup
	for n, entry := range servers {
		queries.Go(func() { replies[n], _ = m.queryCandidate(ctx, directory.Entry{Server: entry.Server}) })
	}
	queries.Wait()
	var highest, own state.Term
	for n, reply := range replies {
		leads := reply.status.Role == state.RolePrimary
		if reply.server.ID == "" || leads != (servers[n].ID == primary) {
			return false
		}
		highest = max(highest, reply.status.Term)
		if leads {
			own = reply.status.Term
		}
	}
	return own != 0 && own == highest
}
