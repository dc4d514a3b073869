package leadership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// probe queries those of a group's databases that need it: a primary without a
// recent reply, and databases with recent failures or warnings. Databases that
// fail get hardly any requests, so without probes their recovery would go
// unnoticed.
func (m *Manager) probe(ctx context.Context, id state.GroupID, primary state.DatabaseID) {
	watches := m.Watches(id)
	primaryFails := m.Health.Degraded(primary)
	for _, entry := range m.Directory.Servers(id) {
		isPrimary := entry.ID == primary
		due := m.probeDue(entry, isPrimary, watches, primaryFails) || isPrimary && m.doubts(id)
		if m.reserveProbe(entry.ID, due, isPrimary, watches) {
			m.probeOnce(ctx, id, entry.Server)
		}
	}
}

// probeDue reports whether a database needs a probe, regardless of when it was last
// probed.
func (m *Manager) probeDue(entry directory.Entry, isPrimary, watches, primaryFails bool) bool {
	degraded := m.Health.Degraded(entry.ID)
	silent := m.Health.SinceLastReply(entry.ID)
	switch {
	case isPrimary:
		return degraded || watches && silent > m.idleProbeAfter(entry.Group)
	case entry.Leaving:
		return false
	default:
		// A vote against the primary needs a replica that replies.
		return degraded || watches && primaryFails && silent > replicaProbeInterval
	}
}

// idleProbeAfter returns the time without a reply after which a group's primary is
// probed. Reads of a route with a tight staleness bound need positions that are
// younger than maxIdleProbe: while replicas serve the reads, no others are
// observed.
func (m *Manager) idleProbeAfter(group state.GroupID) time.Duration {
	bound, ok := m.Directory.StalenessBound(group)
	if !ok {
		return maxIdleProbe
	}
	return min(maxIdleProbe, max(minIdleProbe, bound-positionTransit))
}

// reserveProbe reports whether a database is to be probed now, and if so sets the
// time of the next probe. An instance that does not watch the group waits for a
// random time before the first probe, because all such instances may have seen
// the same failure.
func (m *Manager) reserveProbe(id state.DatabaseID, due, isPrimary, watches bool) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	next, scheduled := m.nextProbe[id]
	if !due {
		if now >= next {
			delete(m.nextProbe, id)
		}
		return false
	}
	interval := evaluateInterval
	if !isPrimary {
		interval = replicaProbeInterval
	}
	if sparse := m.sparseProbeInterval(); !watches && sparse > interval {
		interval = sparse
		if !scheduled {
			next = now.Add(rand.N(interval))
			m.nextProbe[id] = next
		}
	}
	if now < next {
		return false
	}
	m.nextProbe[id] = now.Add(interval)
	return true
}

// delayProbe puts off the next probe of a database that runs but is overloaded.
func (m *Manager) delayProbe(id state.DatabaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.nextProbe[id] = max(m.nextProbe[id], m.Clock.Now().Add(overloadedProbePause))
}

// probeOnce queries a database in the background, unless a probe of that database
// is still running.
func (m *Manager) probeOnce(ctx context.Context, group state.GroupID, server state.Server) {
	m.mu.Lock()
	busy := m.probing[server.ID]
	m.probing[server.ID] = true
	m.mu.Unlock()
	if busy {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		requestedAt := m.Clock.Now()
		usable := m.mayUse(group, server.ID)
		status, err := m.Databases.Probe(ctx, server)
		m.recordProbe(server.ID, err)
		if err == nil {
			m.recordRole(group, server, requestedAt, status)
		}
		if err == nil && usable && status.Role == state.RolePrimary {
			m.OnPrimaryPosition(group, requestedAt, status.Received)
		}
		m.mu.Lock()
		delete(m.probing, server.ID)
		m.mu.Unlock()
	}()
}

// mayUse reports whether a database is the group's primary and may be used now.
func (m *Manager) mayUse(group state.GroupID, id state.DatabaseID) bool {
	grant, err := m.Acquire(group)
	if err != nil {
		return false
	}
	defer grant.Release()
	return grant.Primary == id
}

// DoubtPrimary has a group's primary asked for its role, after it has refused to run a
// statement as primary.
func (m *Manager) DoubtPrimary(id state.GroupID, database state.DatabaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.group(id)
	if primary, known := m.primaryOf(id, g); known && primary == database && !g.record.Changing {
		g.doubted = true
	}
}

func (m *Manager) doubts(id state.GroupID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group(id).doubted
}

// recordRole records the role that a database reported when it was asked at the given
// time. The primary of a record that was known by then leads, unless a promotion that
// the record does not show, or a late request to step down, has taken effect.
func (m *Manager) recordRole(id state.GroupID, server state.Server, requestedAt state.Instant, status state.ServerStatus) {
	m.mu.Lock()
	g := m.group(id)
	primary, known := m.primaryOf(id, g)
	relevant := known && primary == server.ID && !g.record.Changing && requestedAt > g.seenAt
	demoted := status.Role == state.RoleReplica
	changed := relevant && g.demoted != demoted
	if relevant {
		g.doubted, g.demoted = false, demoted
	}
	epoch := g.record.Epoch
	m.mu.Unlock()
	if changed {
		m.Log.Warn().Str("group", string(id)).Str("database", string(server.ID)).Uint64("epoch", epoch).
			Uint64("term", uint64(status.Term)).Bool("demoted", demoted).Msg("the recorded primary reported its role")
	}
}

// recordProbe records the result of a probe. A database that closes the
// connection at startup may only have run out of connections or may be
// unusable, so this counts as a warning and not as a failure.
func (m *Manager) recordProbe(id state.DatabaseID, err error) {
	switch {
	case errors.Is(err, state.ErrNotProbed):
	case err == nil:
		m.Health.RecordSuccess(id)
	case refusedByDatabase(err):
		m.Health.RecordSuccess(id)
		m.delayProbe(id)
	case errors.Is(err, state.ErrClosedAtStartup):
		m.Log.Debug().Err(err).Str("database", string(id)).Msg("probe failed")
		m.Health.RecordWarning(id)
		m.delayProbe(id)
	default:
		m.Log.Debug().Err(err).Str("database", string(id)).Msg("probe failed")
		m.Health.RecordFailure(id)
	}
}

// refusedByDatabase reports whether an error is a refusal sent by the database
// itself, which shows that it runs, even if it is overloaded. It recognises the
// errors of package pooling by their method.
func refusedByDatabase(err error) bool {
	var refusal interface{ RefusedByDatabase() bool }
	return errors.As(err, &refusal) && refusal.RefusedByDatabase()
}

// updateSuspicion updates this instance's suspicion of a primary. If it changes,
// the instance sends a heartbeat, notifies the watchers and reads the instances'
// rows at once.
func (m *Manager) updateSuspicion(id state.GroupID, primary state.DatabaseID) {
	suspected := m.Health.Suspected(primary) && m.replicaReplies(id, primary)
	m.mu.Lock()
	g := m.group(id)
	changed := suspected != g.suspected && !g.record.Changing
	if changed {
		g.suspected = suspected
	}
	epoch := g.record.Epoch
	m.mu.Unlock()
	if !changed {
		return
	}
	m.Log.Info().Str("group", string(id)).Str("database", string(primary)).Uint64("epoch", epoch).Bool("suspected", suspected).Msg("opinion of the primary changed")
	m.notifyWatchers(id)
	signal(m.heartbeatNow)
	signal(m.readMembersNow)
}

// replicaReplies reports whether a replica of the group has replied since the
// primary's last reply. If none has, the cause may be on this instance's side,
// such as a partition or a saturated link, and a change would not help it.
func (m *Manager) replicaReplies(id state.GroupID, primary state.DatabaseID) bool {
	primarySilent := m.Health.SinceLastReply(primary)
	for _, entry := range m.Directory.Servers(id) {
		silent := m.Health.SinceLastReply(entry.ID)
		if entry.ID != primary && silent < replicaReplyMaxAge && silent < primarySilent {
			return true
		}
	}
	return false
}
