package leadership

import (
	"context"
	"maps"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// A promotion call may be carried out long after the store has lost the duty's row that
// records it. So the duty of a new era is acquired, and an era that nobody remembers is
// settled, only once no call of an earlier era can be carried out any more. That is known
//
//   - earlierCallsEnd after the beginning of the era, whoever sent the calls, or
//   - earlier, if each run that may have sent one lately states in a row of this era that
//     none of its calls is pending.
//
// Which runs these are follows from the announcements: a call is sent only after each
// instance with a lease has acknowledged its announcement. So an instance whose lease has
// been valid without a gap for earlierCallsEnd has seen all that matter. One that was
// started or without a lease meanwhile knows nothing of that and has to wait.

// endedCalls is what an instance's row says of promotion calls of earlier eras.
type endedCalls uint8

const (
	// endedNotStated is that of earlier builds, and of instances with a pending call.
	endedNotStated endedCalls = iota
	// endedOfRun says that no call of this run is pending.
	endedOfRun
	// endedOfInstance says the same of the instance's earlier runs, too.
	endedOfInstance
)

// observePromoters records that a group's record was replaced by a newer one. The caller
// must hold m.mu.
func (m *Manager) observePromoters(earlier, record Record, now state.Instant) {
	maps.DeleteFunc(m.promoters, func(_ string, at state.Instant) bool { return now.Sub(at) > m.earlierCallsEnd() })
	if earlier.Changing {
		m.promoters[earlier.Promoter] = now
	}
	m.promoters[record.Promoter] = now
}

// earlierCallsEnd returns how long after the end of its announcement, or after the
// beginning of the next era, a promotion call can't be carried out any more: it is sent
// under the duty's lease.
func (m *Manager) earlierCallsEnd() time.Duration {
	return m.Options.DutyLease + leaseMargin + callLifetime
}

// endedCalls returns what this instance's row says. The caller must hold m.mu.
func (m *Manager) endedCalls(now state.Instant) endedCalls {
	switch {
	case m.era.number == 0 || len(m.duty.calls) > 0:
		return endedNotStated
	case now.Sub(m.startedAt) <= m.earlierCallsEnd():
		return endedOfRun
	default:
		return endedOfInstance
	}
}

// awaitedCallsEnded reports whether no promotion call of an earlier era can be carried out
// any more. age is a lower bound of the present era's age.
func (m *Manager) awaitedCallsEnded(ctx context.Context, age time.Duration) bool {
	if m.earlierCallsEnded(age) {
		return true
	}
	// The rows may say more by now.
	return m.readMembers(ctx) && m.earlierCallsEnded(age)
}

func (m *Manager) earlierCallsEnded(age time.Duration) bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if age > m.earlierCallsEnd() {
		return true
	}
	if len(m.duty.calls) > 0 || !m.era.carried || !m.lease.valid(now) || now.Sub(m.lease.heldSince) <= m.earlierCallsEnd() {
		return false
	}
	for run, at := range m.promoters {
		if now.Sub(at) <= m.earlierCallsEnd() && !m.runHasNoCalls(run) {
			return false
		}
	}
	for _, g := range m.groups {
		if g.record.Changing && !m.runHasNoCalls(g.record.Promoter) {
			return false
		}
	}
	return true
}

// runHasNoCalls reports whether no call of a run, named as in a record, is pending. The
// caller must hold m.mu.
func (m *Manager) runHasNoCalls(run string) bool {
	if run == m.runName {
		return true // see duty.calls
	}
	for name, entry := range m.members.byName {
		if nameOfRun(name, entry.heartbeat.Run) == run {
			return m.members.statesEndedCalls(name, endedOfRun, m.era.number)
		}
	}
	return false
}

// statesEndedCalls reports whether an instance's row of an era says at least what is given.
func (m *members) statesEndedCalls(name state.InstanceID, least endedCalls, era uint64) bool {
	row := m.byName[name].heartbeat
	return !m.outdated && row.Era == era && row.Calls >= least
}

// allEndedCalls reports whether no instance can have a call of an earlier era pending, as
// far as the rows show. The caller must hold m.mu.
func (m *Manager) allEndedCalls() bool {
	for name := range m.members.byName {
		if name != m.Self && !m.members.statesEndedCalls(name, endedOfInstance, m.era.number) {
			return false
		}
	}
	return m.endedCalls(m.Clock.Now()) == endedOfInstance
}
