package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// cause is the reason for a change of a group's primary.
type cause string

const (
	causeLeaving     cause = "leaving"     // its backend server is being retired
	causeGone        cause = "gone"        // it is no longer registered
	causeUnreachable cause = "unreachable" // more than half of the instances cannot reach it
	causeResume      cause = "resume"      // a change announced by this run is unfinished
	causeTakeOver    cause = "take_over"   // a change by another instance does not progress
)

func (m *Manager) evaluateLoop(ctx context.Context) {
	state.Every(ctx, evaluateInterval, func() {
		for _, id := range m.Directory.Groups() {
			m.evaluate(ctx, id)
		}
	})
}

// evaluate probes a group's databases and starts a change of its primary if one
// is due.
func (m *Manager) evaluate(ctx context.Context, id state.GroupID) {
	m.mu.Lock()
	g := m.group(id)
	primary, known := m.primaryOf(id, g)
	if !m.ready || !known || g.running || !m.lease.valid(m.Clock.Now()) {
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	m.probe(ctx, id, primary)
	m.probeReplicas(ctx, id, primary)

	m.mu.Lock()
	why, due := m.changeDue(id, g, primary)
	if due {
		g.running = true
	}
	m.mu.Unlock()
	if !due {
		return
	}
	go func() {
		m.change(ctx, id, primary, why)
		m.mu.Lock()
		g.running = false
		m.mu.Unlock()
	}()
}

// changeDue reports whether this instance should change the group's primary now,
// and why. The caller must hold m.mu.
func (m *Manager) changeDue(id state.GroupID, g *group, primary state.DatabaseID) (cause, bool) {
	stagger := time.Duration(m.members.rank(m.Self, m.liveWithin())) * staggerStep
	if g.record.Changing {
		if g.record.Promoter == m.runName {
			return causeResume, true
		}
		since := m.Clock.Now().Sub(g.seenAt) - stagger
		return causeTakeOver, since > m.Options.TakeOverAfter || since > m.liveWithin() && m.members.runEnded(g.record.Promoter, m.liveWithin())
	}
	if !m.hasCandidate(id, primary) {
		return "", false
	}
	entry, registered := m.Directory.Server(id, primary)
	why, due := m.findCause(id, g, entry, registered)
	if !due {
		g.dueSince = 0
		return "", false
	}
	if g.dueSince == 0 {
		g.dueSince = m.Clock.Now()
	}
	return why, m.Clock.Now().Sub(g.dueSince) >= stagger
}

// findCause reports whether the primary of a group that is not being changed
// should be replaced, and why. The caller must hold m.mu.
func (m *Manager) findCause(id state.GroupID, g *group, entry directory.Entry, registered bool) (cause, bool) {
	if !g.suspected {
		if entry.Leaving {
			return causeLeaving, true
		}
		return causeGone, !registered
	}
	// Instances that are partitioned from the others together with the primary
	// may continue to use it for up to MaxLease, so for as long they count as
	// votes against a change.
	suspecting, all := m.members.votes(id, g.record.Epoch, m.Options.MaxLease)
	return causeUnreachable, 2*suspecting > all
}

// hasCandidate reports whether another database could lead the group.
func (m *Manager) hasCandidate(id state.GroupID, primary state.DatabaseID) bool {
	for _, server := range m.Directory.Servers(id) {
		if server.ID != primary && !server.Leaving {
			return true
		}
	}
	return false
}

// probe queries a primary that has recent failures or warnings, or that has not
// replied for idleProbeAfter. If this instance's suspicion of the primary
// changes, it sends a heartbeat and reads the instances' rows at once.
func (m *Manager) probe(ctx context.Context, id state.GroupID, primary state.DatabaseID) {
	entry, registered := m.Directory.Server(id, primary)
	if registered && (m.Health.Degraded(primary) || m.Health.SinceLastReply(primary) > idleProbeAfter) {
		m.probeOnce(ctx, entry.Server)
	}
	suspected := m.Health.Suspected(primary)
	m.mu.Lock()
	g := m.group(id)
	suspicionChanged := suspected != g.suspected && !g.record.Changing
	if suspicionChanged {
		g.suspected = suspected
	}
	epoch := g.record.Epoch
	m.mu.Unlock()
	if !suspicionChanged {
		return
	}
	m.Log.Info().Str("group", string(id)).Str("database", string(primary)).Uint64("epoch", epoch).Bool("suspected", suspected).Msg("opinion of the primary changed")
	signal(m.heartbeatNow)
	signal(m.readMembersNow)
}

// probeReplicas queries the replicas that have recent failures or warnings.
// Such replicas get hardly any reads, so without probes their recovery would go
// unnoticed.
func (m *Manager) probeReplicas(ctx context.Context, id state.GroupID, primary state.DatabaseID) {
	for _, entry := range m.Directory.Servers(id) {
		if entry.ID != primary && !entry.Leaving && m.Health.Degraded(entry.ID) && m.reserveProbe(entry.ID) {
			m.probeOnce(ctx, entry.Server)
		}
	}
}

// reserveProbe records a probe of a replica at the present time. It returns false,
// without recording one, if the last probe is less than replicaProbeInterval ago.
func (m *Manager) reserveProbe(id state.DatabaseID) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.probedAt[id]) < replicaProbeInterval {
		return false
	}
	m.probedAt[id] = now
	return true
}

// probeOnce queries a database's status in the background, unless a query to
// that database is still running.
func (m *Manager) probeOnce(ctx context.Context, server state.Server) {
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
		_, err := m.Databases.Status(ctx, server)
		m.recordProbe(server.ID, err)
		m.mu.Lock()
		delete(m.probing, server.ID)
		m.mu.Unlock()
	}()
}

// recordProbe records the result of a probe. A database that closes the
// connection at startup may only have run out of connections or may be
// unusable, so this counts as a warning and not as a failure.
func (m *Manager) recordProbe(id state.DatabaseID, err error) {
	if err == nil || refusedByDatabase(err) {
		m.Health.RecordSuccess(id)
		return
	}
	m.Log.Debug().Err(err).Str("database", string(id)).Msg("probe failed")
	if errors.Is(err, state.ErrClosedAtStartup) {
		m.Health.RecordWarning(id)
		return
	}
	m.Health.RecordFailure(id)
}

// refusedByDatabase reports whether an error is a refusal sent by the database
// itself, which shows that it runs, even if it has no free connection. It
// recognises pooling.DialError by its method.
func refusedByDatabase(err error) bool {
	var refusal interface{ RefusedByDatabase() bool }
	return errors.As(err, &refusal) && refusal.RefusedByDatabase()
}
