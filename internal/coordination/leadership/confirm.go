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

// confirmPrimary writes a group's record with an epoch of the present era, so that no
// record of an earlier era counts any more, and reports whether it did. If the databases
// do not all agree with the record, their primary with the highest term is promoted once
// more: only the platform knows of a promotion that no database in reach has heard of.
func (m *Manager) confirmPrimary(ctx context.Context, id state.GroupID) bool {
	m.mu.Lock()
	g := m.group(id)
	record, version, eraNumber, lowest := g.record, g.version, m.era.number, m.era.lowest()
	primary, known := m.primaryOf(id, g)
	m.mu.Unlock()
	if record.Epoch > lowest {
		return true // another instance has written it, and carries on a change
	}
	term, agreed := state.Term(0), record.Changing
	if !agreed && known {
		term, agreed = m.allFollow(ctx, id, primary)
	}
	if !agreed {
		m.change(ctx, id, "", causeUnconfirmed)
		m.mu.Lock()
		defer m.mu.Unlock()
		return g.record.Epoch > lowest
	}
	if record.Epoch == 0 {
		record.Primary, record.Term = primary, term
	}
	// A change that was in progress stays so, and is carried on.
	record.Uncertain = record.Changing
	record.Epoch, record.Promoter = max(record.Epoch, lowest)+1, m.runName
	_, err := m.writeRecord(ctx, id, record, eraNumber, version)
	m.Log.Info().Err(err).Str("group", string(id)).Uint64("epoch", record.Epoch).Str("primary", string(record.Primary)).
		Bool("changing", record.Changing).Msg("confirmed the record of a primary after the store was restored")
	return err == nil
}

// allFollow reports whether all databases of a group reply, and none but the given one
// leads or has seen a higher term. It returns that term.
func (m *Manager) allFollow(ctx context.Context, id state.GroupID, primary state.DatabaseID) (state.Term, bool) {
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
			return 0, false
		}
		highest = max(highest, reply.status.Term)
		if leads {
			own = reply.status.Term
		}
	}
	return own, own != 0 && own == highest
}
