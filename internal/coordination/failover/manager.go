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

// Manager watches over the primary of one group for one owner.
type Manager struct {
	watcher   *replication.Watcher
	controls  map[state.DatabaseID]replication.Control
	claims    Claims
	observers Observers
	options   Options
	log       zerolog.Logger

	// background holds the requests that outlive the step which made them.
	background sync.WaitGroup
	// switchovers carries planned changes to the goroutine of Run, which closes
	// stopped when it ends.
	switchovers chan switchoverRequest
	stopped     chan struct{}

	// The fields from here to mu belong to the goroutine of Run.
	detector  detector
	suspected suspicion
	// suspectedSince is when the suspicion arose, and startAfter when this
	// owner may act on it by its rank.
	suspectedSince time.Time
	startAfter     time.Time
	strays         map[state.DatabaseID]time.Time
	random         *rand.Rand

	// mu protects what follows. No request is made while it is held.
	mu           sync.Mutex
	group        state.Group
	changePace   changePace
	attemptPace  attemptPace
	knownTerm    state.Term // the highest term tried here or claimed elsewhere
	promotedTerm state.Term
	recordedTerm state.Term
	nextRecord   time.Time
	attempts     uint64
	reports      []ChangeReport
}

// New makes the Manager of a group. The Watcher is run by the caller.
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
		strays:       make(map[state.DatabaseID]time.Time),
		group:        group,
		recordedTerm: group.Term,
	}
}

// Run detects and changes until ctx ends. It is called once.
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

// SetGroup takes in a newer record of the group: its hint and which of its
// databases are leaving. The databases themselves stay the same.
func (m *Manager) SetGroup(group state.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.group = group
	m.recordedTerm = max(m.recordedTerm, group.Term)
}

// Reports returns the latest attempts, oldest first.
func (m *Manager) Reports() []ChangeReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]ChangeReport(nil), m.reports...)
}

// Observe returns what this owner sees of the primary, for other owners.
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

// step looks at the group once and acts.
func (m *Manager) step(ctx context.Context) {
	now := time.Now()
	view := m.watcher.View()
	m.observeTerm(view, now)
	m.reconcile(ctx, view, now)
	s, suspected := m.detector.assess(view, now)
	if !suspected {
		m.suspected = suspicion{}
		m.leaveBackendServer(ctx, view, now)
		return
	}
	if !s.sameAs(m.suspected) {
		m.suspectedSince = now
		m.startAfter = now.Add(m.rankDelay())
		// The others' contacts with the primary must be newer than the signs
		// against it.
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
	m.changePace.observe(view.Term, now)
}

// mayStart reports whether this owner should change the primary now.
func (m *Manager) mayStart(ctx context.Context, s suspicion, view replication.View, now time.Time) bool {
	m.mu.Lock()
	paced := m.changePace.allows(s.cause, now) && !now.Before(m.attemptPace.next)
	m.mu.Unlock()
	if !paced || now.Before(m.startAfter) {
		return false
	}
	if s.cause == CauseIsolated || s.cause == CauseStranded {
		// The evidence is the databases' own, not this owner's path to them.
		return true
	}
	if !reachable(view, s.clearedBy) {
		return false
	}
	strongest := m.askOthers(ctx, s, view)
	if strongest == vetoNone {
		return true
	}
	changesVetoed.Inc()
	return strongest == vetoBounded && now.Sub(m.suspectedSince) >= vetoBound
}

func (m *Manager) askOthers(ctx context.Context, s suspicion, view replication.View) veto {
	askCtx, cancel := context.WithTimeout(ctx, observersTimeout)
	defer cancel()
	askedAt := time.Now()
	observations := m.observers.CollectObservations(askCtx, view.Group)
	return max(vetoOfReplicas(s, view), vetoOfOwners(s, observations, askedAt))
}

// change makes one attempt for the suspicion.
func (m *Manager) change(ctx context.Context, s suspicion, view replication.View) {
	a := m.newAttempt(s, view)
	switch s.cause {
	case CauseStranded:
		a.preferred = s.primary
	case CauseIsolated:
		// What it did not replicate was not acknowledged.
		a.excludeVoter(s.primary)
	}
	m.finish(a, a.run(ctx))
}

// finish notes the result of an attempt and sets when the next may start.
func (m *Manager) finish(a *attempt, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if err == nil {
		m.promotedTerm = a.term
		m.nextRecord = time.Time{}
		m.attemptPace.reset()
		changesDone.Inc()
		changeGap.Update(a.report.Gap().Seconds())
	} else {
		a.report.Error = err.Error()
		var least time.Duration
		var claimed *ClaimedError
		if errors.As(err, &claimed) {
			least = progressTimeout
		}
		m.attemptPace.failed(now, least, m.jitter)
		changesFailed.Inc()
	}
	m.reports = append(m.reports, a.report)
	if len(m.reports) > keptReports {
		m.reports = m.reports[1:]
	}
	m.log.Info().Err(err).Str("cause", string(a.report.Cause)).Uint64("term", uint64(a.term)).
		Str("from", string(a.report.From)).Str("to", string(a.report.To)).
		Dur("gap", a.report.Gap()).Msg("change of primary")
}

// rankDelay is how long this owner leaves others time to act first.
func (m *Manager) rankDelay() time.Duration {
	rank := m.options.Rank()
	if rank <= 0 {
		return 0
	}
	return time.Duration(rank)*rankDelay + m.jitter(rankJitter)
}

// jitter returns a duration from 0 to most. Only Run's goroutine may call it.
func (m *Manager) jitter(most time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(most) + 1))
}

func (m *Manager) raiseKnownTerm(term state.Term) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.knownTerm = max(m.knownTerm, term)
}
