package leadership

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Run renews the lease, monitors the primaries and changes them where necessary,
// until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.lease.maxLength = m.Options.MaxLease
	m.mu.Unlock()
	go m.heartbeatLoop(ctx)
	go m.memberLoop(ctx)
	go m.confirmationLoop(ctx)
	go state.Every(ctx, leaseWatchInterval, m.revokeAfterLease)
	m.evaluateLoop(ctx)
}

// errLeft is returned for a renewal whose response comes after Leave.
var errLeft = errors.New("this instance has left")

// Leave removes this instance's row. It must be called after the last request.
func (m *Manager) Leave(ctx context.Context) {
	m.mu.Lock()
	m.left, m.lease.acquired, m.lease.carriedUntil = true, false, 0
	eraNumber, version := m.era.number, m.rowVersion
	m.mu.Unlock()
	err := m.removeOwnRow(ctx, eraNumber, version)
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// A renewal without a response may have been committed.
		if row, found := conflict.Row(m.ownCondition(version)); found && m.isOfThisRun(row) {
			err = m.removeOwnRow(ctx, eraNumber, row.Version)
		}
	}
	if err != nil {
		m.Log.Warn().Err(err).Msg("failed to remove the instance's row, it expires on its own")
	}
}

// removeOwnRow removes this instance's row if it has the given version: a removal that
// takes effect late must not remove the row of the next run.
func (m *Manager) removeOwnRow(ctx context.Context, eraNumber, version uint64) error {
	_, err := m.Store.Transact(ctx, rowstore.Transaction{
		Era: eraNumber, Conditions: []rowstore.Condition{m.ownCondition(version)}, Deletes: []rowstore.Row{m.ownRow(nil)},
	})
	return err
}

// isOfThisRun reports whether this run wrote an instance's row.
func (m *Manager) isOfThisRun(row rowstore.Row) bool {
	var written heartbeat
	return decode(row.Key, row.Value, &written) == nil && written.Run == m.Config.Run
}

// ownCondition returns the condition that this instance's row has the given version.
func (m *Manager) ownCondition(version uint64) rowstore.Condition {
	return rowstore.Condition{Table: TableInstances, Key: string(m.Self), Version: version}
}

// ownRow returns this instance's row with the given value.
func (m *Manager) ownRow(value []byte) rowstore.Row {
	return rowstore.Row{Table: TableInstances, Key: string(m.Self), Value: value}
}

// liveWithin returns the longest time since its last heartbeat for which an
// instance counts as live. The caller must hold m.mu.
func (m *Manager) liveWithin() time.Duration {
	return liveIntervals * m.heartbeatInterval()
}

// heartbeatInterval returns the time between two heartbeats, which grows with the
// number of instances above FullRateMembers. The caller must hold m.mu.
func (m *Manager) heartbeatInterval() time.Duration {
	load := float64(len(m.members.byName)) / float64(m.Options.FullRateMembers)
	interval := time.Duration(float64(m.Options.HeartbeatInterval) * max(1, load))
	return min(interval, m.Options.MaxHeartbeatInterval)
}

// nextLease returns the length of the lease that the next renewal requests. The
// caller must hold m.mu.
func (m *Manager) nextLease() time.Duration {
	return max(m.lease.length, m.Options.Lease, leaseIntervals*m.heartbeatInterval())
}

// heartbeatLoop renews the lease until ctx ends. Instances that started together, or
// that an outage of the store has stopped, would go on to renew together, and the store
// commits one renewal after another: what is written last would wait for all others. So
// the first renewal after a start or a failure is followed by another one after a random
// part of the interval.
func (m *Manager) heartbeatLoop(ctx context.Context) {
	for together := true; ctx.Err() == nil; {
		m.mu.Lock()
		ready, interval := m.ready, m.heartbeatInterval()
		m.mu.Unlock()
		switch {
		case !ready:
			// The lease is not renewed before the primaries have been read.
			interval = acknowledgementInterval
		case !m.prepareRenewal(ctx):
			interval = m.settlementRetryDelay()
		case !m.sendHeartbeat(ctx):
			interval, together = m.heartbeatRetryDelay(), true
		case together:
			interval, together = rand.N(interval), false
		}
		if guarded, guards := m.guardsRow(); guards {
			interval, together = min(interval, guarded), true
		}
		m.pauseHeartbeat(ctx, interval)
	}
}

// pauseHeartbeat waits for the given time, and longer while another instance sends this
// one's renewals or has been offered one.
func (m *Manager) pauseHeartbeat(ctx context.Context, wait time.Duration) {
	for wait > 0 && ctx.Err() == nil {
		if state.PauseOrWake(ctx, wait, m.heartbeatNow) {
			return
		}
		wait = m.untilOwnRenewal()
	}
}

// sendHeartbeat writes this instance's row and reports whether the store
// committed it.
func (m *Manager) sendHeartbeat(ctx context.Context) bool {
	m.setRenewing(true)
	defer m.setRenewing(false)
	next := m.nextHeartbeat()
	value, err := encode(next)
	if err != nil {
		m.Log.Error().Err(err).Msg("failed to encode the instance's row")
		return false
	}
	era, conditions := m.renewalConditions()
	watched := m.WatchedRows()
	conditions = append(conditions, watched...)
	sent := m.Clock.Now()
	err = m.renew(ctx, value, next, era, conditions)
	if err == nil && len(watched) > 0 && m.OnWatchedRowsCurrent != nil {
		m.OnWatchedRowsCurrent(sent)
	}
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		m.refreshOutdated(ctx, conflict, conditions)
		era, conditions = m.renewalConditions()
		err = m.renew(ctx, value, next, era, conditions)
	}
	m.recordRenewal(err)
	return err == nil
}

// renewalConditions returns the conditions that no primary has changed since the last
// change that this instance has seen, and that its row is the one that it wrote last.
// era is that of the versions.
func (m *Manager) renewalConditions() (era uint64, conditions []rowstore.Condition) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era.number, []rowstore.Condition{
		{Table: TableGenerations, Key: rowPrimaries, Version: m.generation},
		m.ownCondition(m.rowVersion),
	}
}

// renew writes this instance's row if the conditions hold, which renews the
// lease as the row says. The first renewal after an era that began while the
// lease was valid states that the records of the era are known.
func (m *Manager) renew(ctx context.Context, value []byte, row heartbeat, eraNumber uint64, conditions []rowstore.Condition) error {
	transaction := rowstore.Transaction{
		Era: eraNumber, Conditions: conditions, Puts: []rowstore.Row{m.ownRow(value)},
	}
	if err := m.addEraStatement(&transaction); err != nil {
		return err
	}
	err := callStore(ctx, heartbeatTimeout,
		func(ctx context.Context) error { return m.transactRenewal(ctx, transaction, row) },
		func(err error) { m.recordLateRenewal(err, conditions) })
	m.Availability.Record(err)
	return err
}

func (m *Manager) transactRenewal(ctx context.Context, transaction rowstore.Transaction, row heartbeat) error {
	sent := m.Clock.Now()
	sender := m.Renewals
	if sender == nil {
		sender = m.Store
	}
	commit, err := sender.Transact(ctx, transaction)
	if err != nil {
		return err
	}
	return m.applyRenewal(transaction, row, sent, commit)
}

// applyRenewal takes over a renewal that the store has committed since it was sent.
func (m *Manager) applyRenewal(transaction rowstore.Transaction, row heartbeat, sent state.Instant, commit rowstore.Commit) error {
	received := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.left {
		return errLeft
	}
	if m.era.number != transaction.Era {
		return eris.Wrapf(rowstore.ErrEraChanged, "renewal in era %d", transaction.Era)
	}
	m.observeStore(sent, received, commit.Now)
	m.era.stated = m.era.carried
	m.rowVersion = max(m.rowVersion, commit.Version)
	m.lease.beforeExtension(received)
	m.lease.recordRenewal(commit.Version, row.leaseStart(commit.Now), row.Lease)
	if m.joined == 0 {
		m.joined = int64(commit.Now)
	}
	m.broadcast()
	return nil
}

// heartbeatRetryDelay returns how long to wait after a failed renewal of the
// lease. The delay is shorter before the first lease, as the instance serves no
// requests until then.
func (m *Manager) heartbeatRetryDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease.acquired {
		return heartbeatRetryInterval
	}
	return initialRetryInterval
}

// recordRenewal counts consecutive failures to renew the lease. It logs the
// first of them and the renewal that ends them.
func (m *Manager) recordRenewal(err error) {
	now := m.Clock.Now()
	m.mu.Lock()
	before := m.renewalFailures
	if m.renewalFailures++; err == nil {
		m.renewalFailures = 0
	} else if before == 0 {
		m.failingSince = now
	}
	remaining := m.lease.remaining(now)
	m.mu.Unlock()
	switch {
	case err != nil && before == 0:
		m.Log.Warn().Err(err).Dur("lease_left_ms", remaining).Msg("lease not renewed")
	case err == nil && before > 0:
		m.Log.Info().Int("failures", before).Dur("lease_left_ms", remaining).Msg("lease renewed again")
	}
}

// refreshOutdated reads the rows that failed the conditions of a renewal again,
// because the response that reported their change may have been lost.
func (m *Manager) refreshOutdated(ctx context.Context, conflict *rowstore.ConflictError, conditions []rowstore.Condition) {
	m.Log.Info().Err(conflict).Msg("a change was not seen yet, reading again")
	for _, condition := range conditions {
		switch {
		case conflict.Holds(condition):
		case condition.Table == TableGenerations:
			m.readPrimaries(ctx)
		case condition.Table == TableInstances:
			m.applyOwnRow(conflict, condition)
		default:
			m.OnWatchedRowChange()
		}
	}
}

// applyOwnRow takes over the version of this instance's row from a conflict. It differs
// from the expected one if the response to a renewal was lost, or if the row is that of
// an earlier run. A renewal whose response was lost counts all the same.
func (m *Manager) applyOwnRow(conflict *rowstore.ConflictError, condition rowstore.Condition) {
	row, found := conflict.Row(condition)
	m.mu.Lock()
	defer m.mu.Unlock()
	if conflict.Era != m.era.number {
		return
	}
	m.rowVersion = row.Version
	var written heartbeat
	if !found {
		if m.joined != 0 {
			m.Log.Warn().Msg("this instance's row was removed by somebody else, it is written again")
		}
		return
	}
	if err := decode(row.Key, row.Value, &written); err != nil {
		m.Log.Warn().Err(err).Msg("cannot decode the own row, it is written again")
		return
	}
	m.continuity.recordOwnRow(m, written)
	if written.Run == m.Config.Run && written.Era == m.era.number && !written.Waiting && written.Until != 0 {
		m.lease.beforeExtension(m.Clock.Now())
		m.lease.recordRenewal(row.Version, written.leaseStart(time.Duration(written.Until)), written.Lease)
		m.broadcast()
	}
}

func (m *Manager) readPrimaries(ctx context.Context) {
	err := awaitRead(ctx, func(ctx context.Context) error {
		requestedAt := m.Clock.Now()
		snapshot, err := m.Store.List(ctx, TablePrimaries)
		if err != nil {
			return err
		}
		m.Apply(rowstore.Update{Snapshot: snapshot, Complete: true, RequestedAt: requestedAt, RespondedAt: m.Clock.Now()})
		return nil
	})
	if err != nil {
		m.Log.Warn().Err(err).Msg("failed to read the primaries table")
	}
}

func (m *Manager) nextHeartbeat() heartbeat {
	var demand demands
	if m.Demand != nil {
		demand = newDemands(m.Demand())
	}
	var configuration uint64
	if m.ConfigurationInForce != nil {
		configuration = m.ConfigurationInForce()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heartbeats++
	length := m.nextLease()
	return heartbeat{
		Until:  int64(m.lease.nextExpiry(m.Clock.Now(), length)),
		Demand: demand, Run: m.Config.Run, Era: m.era.number, Address: m.Address, DataCentre: m.DataCentre, Lease: length, Joined: m.joined, Since: m.continuity.update(m), Count: m.heartbeats,
		Acknowledged: m.acknowledgedGroups(), Positions: m.positionsAcknowledged(), Suspected: m.suspectedGroups(),
		Configuration: configuration, Level: m.Level, LeasedOnly: true, Calls: m.endedCalls(m.Clock.Now()),
	}
}

func (m *Manager) memberLoop(ctx context.Context) {
	for ctx.Err() == nil {
		read := m.readMembers(ctx)
		wait := m.membersWait(read)
		state.PauseOrWake(ctx, wait, m.readMembersNow)
	}
}

// membersWait returns the time until the next read of the instances' rows. read
// is whether the last one succeeded.
func (m *Manager) membersWait(read bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !read && m.members.now == 0:
		// Requests are served only after the first read.
		return initialRetryInterval
	case !m.membersSettled:
		return membersSettledAfter
	case !read || m.watchesSuspectedOrChanging() || m.rowsPending():
		return fastMembersInterval
	default:
		return m.members.readInterval()
	}
}

// watchesSuspectedOrChanging reports whether this instance watches a group whose
// primary is suspected or being changed. The caller must hold m.mu.
func (m *Manager) watchesSuspectedOrChanging() bool {
	for id, g := range m.groups {
		if (g.suspected || g.record.Changing) && m.rankingOf(id).watches() {
			return true
		}
	}
	return false
}

// membersWaitLimit returns how long a read of the instances' rows is waited for.
// Until the first one has succeeded, this instance serves nothing, so that it asks
// again soon.
func (m *Manager) membersWaitLimit() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.members.now == 0 {
		return heartbeatTimeout
	}
	return readTimeout
}

// readMembers reads the instances' rows and deletes those that have not been
// renewed for staleRowAge. It reports whether the rows could be read.
func (m *Manager) readMembers(ctx context.Context) bool {
	return m.readMembersBy(ctx, func(ctx context.Context, read func(context.Context) error) error {
		return callStore(ctx, m.membersWaitLimit(), read, func(error) {})
	})
}

// readMembersBy is readMembers with the given way to wait for the store.
func (m *Manager) readMembersBy(ctx context.Context, wait func(context.Context, func(context.Context) error) error) bool {
	abandoned := make(chan []rowstore.Transaction, 1)
	err := wait(ctx, func(ctx context.Context) error {
		found, err := m.listMembers(ctx)
		select {
		case abandoned <- found:
		default: // another attempt has found them
		}
		return err
	})
	if err != nil {
		m.Log.Debug().Err(err).Msg("failed to read the instances table")
		return false
	}
	for _, removal := range <-abandoned {
		if _, err := m.Store.Transact(ctx, removal); err != nil {
			m.Log.Warn().Err(err).Msg("failed to remove the row of an expired instance")
		}
	}
	return true
}

// listMembers reads the instances' rows and returns the transactions that remove
// those of expired instances.
func (m *Manager) listMembers(ctx context.Context) ([]rowstore.Transaction, error) {
	sent := m.Clock.Now()
	snapshot, err := m.Store.List(ctx, TableInstances)
	received := m.Clock.Now()
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.era.number != snapshot.Era {
		return nil, eris.Wrapf(rowstore.ErrEraChanged, "instances of era %d", snapshot.Era)
	}
	m.observeStore(sent, received, snapshot.Now)
	if m.members.newerThan(snapshot) {
		return nil, nil // a later read was faster
	}
	for _, key := range m.members.update(snapshot) {
		m.Log.Warn().Str("peer", key).Msg("cannot decode an instance's row")
	}
	m.members.configuration, m.members.currentEra = m.members.newestConfiguration(m.Options.MaxLease), m.members.allWrittenIn(snapshot.Era)
	m.rowVersion = max(m.rowVersion, m.members.byName[m.Self].version)
	m.membersSettled = m.membersSettled || m.joined != 0 && snapshot.Now-time.Duration(m.joined) >= membersSettledAfter/2
	var abandoned []rowstore.Transaction
	for name, entry := range m.members.byName {
		if name != m.Self && !m.members.renewedWithin(entry, staleRowAge) {
			row := rowstore.Row{Table: TableInstances, Key: string(name)}
			abandoned = append(abandoned, rowstore.Transaction{
				Era: snapshot.Era, Conditions: []rowstore.Condition{{Table: row.Table, Key: row.Key, Version: entry.version}}, Deletes: []rowstore.Row{row},
			})
		}
	}
	return abandoned, nil
}

func changesTotal(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_primary_changes_total{result="` + result + `"}`)
}
