package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// cause says why a group's primary is changed.
type cause string

const (
	causeLeaving     cause = "leaving"     // its backend server is being retired
	causeGone        cause = "gone"        // it is no longer registered
	causeUnreachable cause = "unreachable" // most instances can't reach it
	causeResume      cause = "resume"      // a change that this run announced is to be finished
	causeTakeOver    cause = "take_over"   // another instance's change got stuck
)

func (m *Manager) evaluateLoop(ctx context.Context) {
	state.Every(ctx, evaluateInterval, func() {
		for _, id := range m.Directory.Groups() {
			m.evaluate(ctx, id)
		}
	})
}

// evaluate starts a change of a group's primary where one is due.
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
	why, due := m.due(id, g, primary)
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

// due must be called with the lock held. It tells whether this instance is to
// change the group's primary now, and why.
func (m *Manager) due(id state.GroupID, g *group, primary state.DatabaseID) (cause, bool) {
	stagger := time.Duration(m.members.rank(m.Self, m.liveWithin())) * staggerStep
	if g.record.Changing {
		if g.record.Promoter == m.runName {
			return causeResume, true
		}
		since := m.Clock.Now().Sub(g.seenAt) - stagger
		return causeTakeOver, since > m.Options.TakeOver || since > m.liveWithin() && m.members.ended(g.record.Promoter, m.liveWithin())
	}
	if !m.hasCandidate(id, primary) {
		return "", false
	}
	entry, registered := m.Directory.Server(id, primary)
	why, due := m.dueFor(id, g, entry, registered)
	if !due {
		g.suspectedAt = 0
		return "", false
	}
	if g.suspectedAt == 0 {
		g.suspectedAt = m.Clock.Now()
	}
	return why, m.Clock.Now().Sub(g.suspectedAt) >= stagger
}

// dueFor must be called with the lock held. It judges the primary of a group
// that is not being changed.
func (m *Manager) dueFor(id state.GroupID, g *group, entry directory.Entry, registered bool) (cause, bool) {
	if !g.suspected {
		if entry.Leaving {
			return causeLeaving, true
		}
		return causeGone, !registered
	}
	// Instances that are cut off together with the primary may go on using
	// it, so they count against a change for as long.
	suspecting, all := m.members.votes(id, g.record.Epoch, m.Options.LongestLease)
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

// probe asks a primary that is doubted or has been silent, and makes this
// instance's suspicion known to the others.
func (m *Manager) probe(ctx context.Context, id state.GroupID, primary state.DatabaseID) {
	entry, registered := m.Directory.Server(id, primary)
	if registered && (m.Health.Degraded(primary) || m.Health.SilentFor(primary) > idleProbeAfter) {
		m.probeOnce(ctx, entry.Server)
	}
	suspected := m.Health.Suspected(primary)
	m.mu.Lock()
	g := m.group(id)
	news := suspected != g.suspected && !g.record.Changing
	if news {
		g.suspected = suspected
	}
	epoch := g.record.Epoch
	m.mu.Unlock()
	if !news {
		return
	}
	m.Log.Info().Str("group", string(id)).Str("database", string(primary)).Uint64("epoch", epoch).Bool("suspected", suspected).Msg("opinion of the primary changed")
	ask(m.beatNow)
	ask(m.readNow)
}

// probeReplicas asks the replicas that are doubted. While they are, hardly a
// read goes to them, so that nothing else would show that they are back.
func (m *Manager) probeReplicas(ctx context.Context, id state.GroupID, primary state.DatabaseID) {
	for _, entry := range m.Directory.Servers(id) {
		if entry.ID != primary && !entry.Leaving && m.Health.Degraded(entry.ID) && m.probeDue(entry.ID) {
			m.probeOnce(ctx, entry.Server)
		}
	}
}

// probeDue reports whether a replica has not been probed for a while, and
// counts it as probed now.
func (m *Manager) probeDue(id state.DatabaseID) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.probedAt[id]) < replicaProbeInterval {
		return false
	}
	m.probedAt[id] = now
	return true
}

// probeOnce asks a database for its state in the background, one question at a
// time.
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
		m.noteProbe(server.ID, err)
		m.mu.Lock()
		delete(m.probing, server.ID)
		m.mu.Unlock()
	}()
}

// noteProbe takes in the result of a probe. A database that hangs up may have no
// connection left, or serve nothing.
func (m *Manager) noteProbe(id state.DatabaseID, err error) {
	if err == nil || answered(err) {
		m.Health.Success(id)
		return
	}
	m.Log.Debug().Err(err).Str("database", string(id)).Msg("probe failed")
	if errors.Is(err, state.ErrClosedAtStartup) {
		m.Health.Warning(id)
		return
	}
	m.Health.Failure(id)
}

// answered reports whether an error is a database's own refusal: it runs, be it
// that it has no connection left.
func answered(err error) bool {
	var refusal interface{ Answered() bool }
	return errors.As(err, &refusal) && refusal.Answered()
}
