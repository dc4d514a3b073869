package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Run renews the lease and watches over the primaries until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.lease.length, m.lease.longest = m.Options.Lease, m.Options.LongestLease
	m.mu.Unlock()
	go m.beatLoop(ctx)
	go m.memberLoop(ctx)
	go m.vouchLoop(ctx)
	m.evaluateLoop(ctx)
}

// Leave removes this instance's row. It is called after the last request.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.lease.based = false
	m.mu.Unlock()
	_, err := m.Store.Transact(ctx, rowstore.Transaction{Deletes: []rowstore.Row{{Table: TableInstances, Key: string(m.Self)}}})
	if err != nil {
		m.Log.Warn().Err(err).Msg("instance's row not removed, it lapses by itself")
	}
}

// liveWithin must be called with the lock held.
func (m *Manager) liveWithin() time.Duration {
	return liveIntervals * m.beatInterval()
}

// beatInterval must be called with the lock held.
func (m *Manager) beatInterval() time.Duration {
	crowd := float64(len(m.members.byName)) / float64(m.Options.MostMembers)
	return time.Duration(float64(m.Options.BeatInterval) * max(1, crowd))
}

func (m *Manager) beatLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		ready, interval := m.ready, m.beatInterval()
		m.mu.Unlock()
		if !ready {
			// Nothing is renewed before the primaries have been read.
			interval = acknowledgementInterval
		} else if !m.beat(ctx) {
			interval = m.retryBeatAfter()
		}
		state.PauseOrWake(ctx, interval, m.beatNow)
	}
}

// beat writes this instance's row and reports whether the store confirmed it.
func (m *Manager) beat(ctx context.Context) bool {
	value, err := encode(m.nextBeat())
	if err != nil {
		m.Log.Error().Err(err).Msg("instance's row not written")
		return false
	}
	conditions := append(m.followedPrimaries(), m.Followed()...)
	err = m.renew(ctx, value, conditions)
	var conflict *rowstore.Conflict
	if errors.As(err, &conflict) {
		m.catchUp(ctx, conflict, conditions)
		err = m.renew(ctx, value, m.followedPrimaries())
	}
	m.noteRenewal(err)
	return err == nil
}

// followedPrimaries is the condition that no primary has changed since the
// last change that this instance has seen.
func (m *Manager) followedPrimaries() []rowstore.Condition {
	m.mu.Lock()
	defer m.mu.Unlock()
	return []rowstore.Condition{{Table: TableGenerations, Key: rowPrimaries, Version: m.generation}}
}

// renew writes this instance's row on conditions.
func (m *Manager) renew(ctx context.Context, value []byte, conditions []rowstore.Condition) error {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := m.Clock.Now()
	commit, err := m.Store.Transact(ctx, rowstore.Transaction{
		Conditions: conditions,
		Puts:       []rowstore.Row{{Table: TableInstances, Key: string(m.Self), Value: value}},
	})
	received := m.Clock.Now()
	m.Link.Record(err)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease.clock.observe(sent, received, commit.Now)
	m.lease.renewed(commit.Version, commit.Now)
	if m.joined == 0 {
		m.joined = int64(commit.Now)
	}
	m.broadcast()
	return nil
}

// retryBeatAfter is how long to wait after a failure to renew the lease. An
// instance that never had it serves nothing yet, and waits less.
func (m *Manager) retryBeatAfter() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.based {
		return retryBeat
	}
	return firstRetryBeat
}

// noteRenewal logs the first failure to renew the lease and the end of the
// failures.
func (m *Manager) noteRenewal(err error) {
	now := m.Clock.Now()
	m.mu.Lock()
	before := m.renewalFailures
	if m.renewalFailures++; err == nil {
		m.renewalFailures = 0
	} else if before == 0 {
		m.failingSince = now
	}
	left := m.lease.left(now)
	m.mu.Unlock()
	switch {
	case err != nil && before == 0:
		m.Log.Warn().Err(err).Dur("lease_left_ms", left).Msg("lease not renewed")
	case err == nil && before > 0:
		m.Log.Info().Int("failures", before).Dur("lease_left_ms", left).Msg("lease renewed again")
	}
}

// catchUp reads what a renewal has shown to be changed, because the answer that
// was to tell of the change may be lost.
func (m *Manager) catchUp(ctx context.Context, conflict *rowstore.Conflict, conditions []rowstore.Condition) {
	m.Log.Info().Err(conflict).Msg("a change was not seen yet, reading again")
	for _, condition := range conditions {
		switch {
		case conflict.Holds(condition):
		case condition.Table == TableGenerations:
			m.readPrimaries(ctx)
		default:
			m.Outdated()
		}
	}
}

func (m *Manager) readPrimaries(ctx context.Context) {
	asked := m.Clock.Now()
	snapshot, err := m.Store.List(ctx, TablePrimaries)
	if err != nil {
		m.Log.Warn().Err(err).Msg("primaries not read")
		return
	}
	m.Apply(rowstore.Update{Snapshot: snapshot, Complete: true, RequestedAt: asked, RespondedAt: m.Clock.Now()})
}

func (m *Manager) nextBeat() beat {
	var demand map[state.GroupID]uint16
	if m.Demand != nil {
		demand = m.Demand()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.beats++
	return beat{
		Demand: demand, Run: m.Config.Run, Address: m.Address, Joined: m.joined, Count: m.beats,
		Acknowledged: m.acknowledgedGroups(), Suspected: m.suspectedGroups(),
	}
}

func (m *Manager) memberLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := membersInterval
		switch read := m.readMembers(ctx); {
		case !read && !m.Ready():
			// Nothing is served before the first read.
			wait = firstRetryBeat
		case !read || m.anyInQuestion():
			wait = voteInterval
		}
		state.PauseOrWake(ctx, wait, m.readNow)
	}
}

// anyInQuestion reports whether a primary is suspected or being changed.
func (m *Manager) anyInQuestion() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, g := range m.groups {
		if g.suspected || g.record.Changing {
			return true
		}
	}
	return false
}

// readMembers reads the instances' rows and removes those long abandoned. It
// reports whether they could be read.
func (m *Manager) readMembers(ctx context.Context) bool {
	sent := m.Clock.Now()
	snapshot, err := m.Store.List(ctx, TableInstances)
	received := m.Clock.Now()
	if err != nil {
		m.Log.Debug().Err(err).Msg("instances' rows not read")
		return false
	}
	m.mu.Lock()
	m.lease.clock.observe(sent, received, snapshot.Now)
	unreadable := m.members.update(snapshot)
	var abandoned []rowstore.Transaction
	for name, entry := range m.members.byName {
		if name != m.Self && !m.members.renewed(entry, forgetAfter) {
			row := rowstore.Row{Table: TableInstances, Key: string(name)}
			abandoned = append(abandoned, rowstore.Transaction{
				Conditions: []rowstore.Condition{{Table: row.Table, Key: row.Key, Version: entry.version}}, Deletes: []rowstore.Row{row},
			})
		}
	}
	m.mu.Unlock()
	for _, key := range unreadable {
		m.Log.Warn().Str("peer", key).Msg("instance's row can't be read")
	}
	for _, removal := range abandoned {
		if _, err := m.Store.Transact(ctx, removal); err != nil {
			m.Log.Warn().Err(err).Msg("abandoned instance's row not removed")
		}
	}
	return true
}

func changesTotal(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_primary_changes_total{result="` + result + `"}`)
}
