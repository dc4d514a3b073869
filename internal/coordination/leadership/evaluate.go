package leadership

import (
	"context"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// cause is the reason for a change of a group's primary.
type cause string

const (
	causeLeaving     cause = "leaving"     // its backend server is being retired
	causeGone        cause = "gone"        // it is no longer registered
	causeNoPrimary   cause = "no_primary"  // none is recorded, and not one database registers as primary
	causeDemoted     cause = "demoted"     // it reports that it is no primary any more
	causeUnreachable cause = "unreachable" // more than half of its watchers cannot reach it
	causeResume      cause = "resume"      // a change announced by this run is unfinished
	causeTakeOver    cause = "take_over"   // a change by another instance does not progress
	causeUnconfirmed cause = "unconfirmed" // the store was restored, and nobody knows whether it was replaced
)

func (m *Manager) evaluateLoop(ctx context.Context) {
	state.Every(ctx, evaluateInterval, func() {
		for _, id := range m.Directory.Groups() {
			m.maintainReplicaSet(ctx, id)
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
	if !m.ready || g.running || !m.lease.valid(m.Clock.Now()) {
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	if known {
		m.probe(ctx, id, primary)
		m.updateSuspicion(id, primary)
	}

	m.mu.Lock()
	why, due := m.changeDue(id, g, primary, known)
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
// and why. known is whether the group has a primary. The caller must hold m.mu.
func (m *Manager) changeDue(id state.GroupID, g *group, primary state.DatabaseID, known bool) (cause, bool) {
	stagger := time.Duration(m.rankingOf(id).position) * staggerStep
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
	why, due := m.findCause(id, g, primary, known)
	if !due {
		g.dueSince = 0
		return "", false
	}
	if g.dueSince == 0 {
		g.dueSince = m.Clock.Now()
	}
	wait := stagger
	if why == causeNoPrimary {
		wait += noPrimaryPatience
	}
	return why, m.Clock.Now().Sub(g.dueSince) >= wait
}

// findCause reports whether the primary of a group that is not being changed
// should be replaced, and why. The caller must hold m.mu.
func (m *Manager) findCause(id state.GroupID, g *group, primary state.DatabaseID, known bool) (cause, bool) {
	entry, registered := m.Directory.Server(id, primary)
	switch {
	case !known:
		return causeNoPrimary, true
	case g.demoted:
		return causeDemoted, true
	case g.suspected:
		watchers := m.rankingOf(id).watchers
		return causeUnreachable, 2*m.members.votes(watchers, m.Self, id, g.record.Epoch) > len(watchers)
	case entry.Leaving:
		return causeLeaving, true
	default:
		return causeGone, !registered
	}
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
