package failover

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// reconcile points databases that are in an older term, or fenced in the
// primary's term, to the primary, and records the primary at the platform. Owners
// of a higher rank wait first, so that usually only rank 0 acts. All requests are
// idempotent.
func (m *Manager) reconcile(ctx context.Context, view replication.View, now time.Time) {
	if view.Primary == "" {
		return
	}
	primary, _ := view.Database(view.Primary)
	for _, database := range view.Databases {
		id := database.Database.ID
		if !needsFollow(database, view) {
			delete(m.nextFollow, id)
			continue
		}
		if _, known := m.nextFollow[id]; !known {
			m.nextFollow[id] = now.Add(m.rankDelay())
		}
		if now.Before(m.nextFollow[id]) {
			continue
		}
		m.nextFollow[id] = now.Add(followInterval)
		m.follow(ctx, id, view.Term, primary.Database)
	}
	m.recordPrimary(ctx, view, now)
}

func needsFollow(database replication.DatabaseView, view replication.View) bool {
	if !database.Responded || database.Health.Failures > 0 || database.Database.ID == view.Primary {
		return false
	}
	status := database.Status
	return status.Term < view.Term || (status.Term == view.Term && status.Role == state.RoleFenced)
}

// follow requests in the background that a database follow the primary of term.
func (m *Manager) follow(ctx context.Context, id state.DatabaseID, term state.Term, primary state.Database) {
	m.background.Go(func() {
		followCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		_, err := m.controls[id].Follow(followCtx, term, primary)
		if err != nil {
			m.log.Debug().Err(err).Str("database", string(id)).Uint64("term", uint64(term)).Msg("follow request to the database failed")
			return
		}
		m.watcher.Refresh()
	})
}

// recordPrimary stores the primary at the platform. The promoter and the owner of
// rank 0 repeat the request until it succeeds.
func (m *Manager) recordPrimary(ctx context.Context, view replication.View, now time.Time) {
	first := m.options.Rank() == 0
	m.mu.Lock()
	defer m.mu.Unlock()
	due := view.Term > m.recordedTerm && !now.Before(m.nextRecord)
	if !due || (m.promotedTerm != view.Term && !first) {
		return
	}
	m.nextRecord = now.Add(recordInterval)
	m.background.Go(func() {
		recordCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		defer cancel()
		err := m.claims.Record(recordCtx, view.Group, view.Term, view.Primary)
		if err != nil {
			m.log.Warn().Err(err).Uint64("term", uint64(view.Term)).Msg("recording the primary at the platform failed")
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.recordedTerm = max(m.recordedTerm, view.Term)
	})
}
