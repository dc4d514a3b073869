package failover

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var (
	changesDone   = metrics.GetOrCreateCounter(`cyclamenpin_primary_changes_total{result="done"}`)
	changesFailed = metrics.GetOrCreateCounter(`cyclamenpin_primary_changes_total{result="failed"}`)
	changesVetoed = metrics.GetOrCreateCounter(`cyclamenpin_primary_change_vetoes_total`)
	changeGap     = metrics.GetOrCreateHistogram(`cyclamenpin_primary_change_gap_seconds`)
)

// Manager detects failures of one group's primary and changes the primary, on
// behalf of one owner.
type Manager struct {
	watcher   *replication.Watcher
	controls  map[state.DatabaseID]replication.Control
	claims    Claims
	observers Observers
	options   Options
	log       zerolog.Logger

	// background tracks requests that may outlive the step that started them.
	background sync.WaitGroup
	// switchovers carries planned changes to the goroutine of Run, which closes
	// stopped when it returns.
	switchovers chan switchoverRequest
	stopped     chan struct{}

	// The fields from here to mu are used by the goroutine of Run only.
	detector  detector
	suspected suspicion
	// suspectedSince is when the suspicion arose. startAfter is the earliest time
	// at which this owner may act on it, according to its rank.
	suspectedSince time.Time
	startAfter     time.Time
	// nextFollow is when a database that does not follow the primary may next be
	// pointed to it.
	nextFollow map[state.DatabaseID]time.Time
	random     *rand.Rand

	// mu protects the fields below. No request is made while it is held.
	mu             sync.Mutex
	group          state.Group
	changeLimiter  changeLimiter
	attemptBackoff attemptBackoff
	knownTerm      state.Term // the highest term tried here or claimed elsewhere
	promotedTerm   state.Term
	recordedTerm   state.Term
	nextRecord     time.Time
	attempts       uint64
	reports        []ChangeReport
}

// New returns the Manager of a group. The caller runs the Watcher.
func New(
	group state.Group, watcher *replication.Watcher, controls map[state.DatabaseID]replication.Control,
	claims Claims, observers Observers, options Options,
) *Manager {
	if options.Rank == nil {
		options.Rank = func() int { return 0 }
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	return &Manager{
		watcher:      watcher,
		controls:     controls,
		claims:       claims,
		observers:    observers,
		options:      options,
		log:          options.Logger.With().Str("group", string(group.ID)).Logger(),
		switchovers:  make(chan switchoverRequest),
		stopped:      make(chan struct{}),
		random:       rand.New(rand.NewPCG(options.Seed, 0)),
		nextFollow:   make(map[state.DatabaseID]time.Time),
		group:        group,
		recordedTerm: group.Term,
	}
}

// Run detects failures and changes the primary until ctx ends. It must be called
// only once.
func (m *Manager) Run(ctx context.Context) error {
	defer m.background.Wait()
	defer close(m.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changes := m.watcher.Changes()
		m.step(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case request := <-m.switchovers:
			m.serveSwitchover(ctx, request)
		case <-changes:
		case <-ticker.C:
		}
	}
}

// SetGroup replaces the group's record by a newer one. The primary hint and the
// leaving marks of databases may differ; the set of databases must not.
func (m *Manager) SetGroup(group state.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.group = group
	m.recordedTerm = max(m.recordedTerm, group.Term)
}

// Reports returns the reports of the latest attempts, oldest first.
func (m *Manager) Reports() []ChangeReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]ChangeReport(nil), m.reports...)
}

// Observe returns this owner's observation of the primary, for other owners.
func (m *Manager) Observe() Observation {
	view := m.watcher.View()
	observation := Observation{
		Observer: m.options.Self, Term: view.Term, Primary: view.Primary, RoundAge: view.RoundAge,
	}
	if primary, known := view.Database(view.Primary); known {
		observation.Age = time.Since(primary.SentAt)
	}
	return observation
}

// step evaluates the group's current view once and acts on it.
func (m *Manager) step(ctx context.Context) {
	now := time.Now()
	view := m.watcher.View()
	m.observeTerm(view, now)
	m.reconcile(ctx, view, now)
	s, suspected := m.detector.assess(view, now)
	if !suspected {
		m.suspected = suspicion{}
		m.moveOffLeavingServer(ctx, view, now)
		return
	}
	if !s.samePrimary(m.suspected) {
		m.suspectedSince = now
		m.startAfter = now.Add(m.rankDelay())
		// Only contacts of the other parties that are newer than the evidence
		// against the primary count, so fetch new statuses.
		m.watcher.Refresh()
	}
	m.suspected = s
	if m.mayStart(ctx, s, view, now) {
		m.change(ctx, s, view)
	}
}

func (m *Manager) observeTerm(view replication.View, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeLimiter.observe(view.Term, now)
}

// mayStart reports whether this owner should start a change of primary now.
func (m *Manager) mayStart(ctx context.Context, s suspicion, view replication.View, now time.Time) bool {
	m.mu.Lock()
	due := m.changeLimiter.allows(s.cause, now) && !now.Before(m.attemptBackoff.next)
	m.mu.Unlock()
	if !due || now.Before(m.startAfter) {
		return false
	}
	if s.cause == CauseIsolated || s.cause == CauseStranded {
		// The databases themselves reported the evidence, so that a broken path
		// from this owner cannot be its cause.
		return true
	}
	if !majorityReachable(view, s.disprovedAfter) {
		return false
	}
	strongest := m.strongestVeto(ctx, s, view)
	if strongest == vetoNone {
		return true
	}
	changesVetoed.Inc()
	return strongest == vetoBounded && now.Sub(m.suspectedSince) >= boundedVetoTimeout
}

func (m *Manager) strongestVeto(ctx context.Context, s suspicion, view replication.View) veto {
	requestCtx, cancel := context.WithTimeout(ctx, observersTimeout)
	defer cancel()
	requestedAt := time.Now()
	observations := m.observers.CollectObservations(requestCtx, view.Group)
	return max(replicaVeto(s, view), ownerVeto(s, observations, requestedAt))
}

// change makes one attempt to change the suspected primary.
func (m *Manager) change(ctx context.Context, s suspicion, view replication.View) {
	a := m.newAttempt(s, view)
	switch s.cause {
	case CauseStranded:
		a.preferred = s.primary
	case CauseIsolated:
		// Writes that it did not replicate were not acknowledged.
		a.excludeVoter(s.primary)
	}
	m.finish(a, a.run(ctx))
}

// finish records the result of an attempt and the earliest start of the next.
func (m *Manager) finish(a *attempt, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if err == nil {
		m.promotedTerm = a.term
		m.nextRecord = time.Time{}
		m.attemptBackoff.reset()
		changesDone.Inc()
		changeGap.Update(a.report.Gap().Seconds())
	} else {
		a.report.Error = err.Error()
		var minDelay time.Duration
		var claimed *ClaimedError
		if errors.As(err, &claimed) {
			minDelay = progressTimeout
		}
		m.attemptBackoff.failed(now, minDelay, m.jitter)
		changesFailed.Inc()
	}
	m.reports = append(m.reports, a.report)
	if len(m.reports) > maxReports {
		m.reports = m.reports[1:]
	}
	m.log.Info().Err(err).Str("cause", string(a.report.Cause)).Uint64("term", uint64(a.term)).
		Str("from", string(a.report.From)).Str("to", string(a.report.To)).
		Dur("gap", a.report.Gap()).Msg("change of primary")
}

// rankDelay returns how long this owner waits for owners of a lower rank to act
// first.
func (m *Manager) rankDelay() time.Duration {
	rank := m.options.Rank()
	if rank <= 0 {
		return 0
	}
	return time.Duration(rank)*rankDelay + m.jitter(rankJitter)
}

// jitter returns a random duration from 0 to limit. Only Run's goroutine may call
// it.
func (m *Manager) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(limit) + 1))
}

func (m *Manager) raiseKnownTerm(term state.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownTerm = max(m.knownTerm, term)
}
