package replication

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

var (
	statusRequests = metrics.GetOrCreateCounter(`cyclamenpin_replication_requests_total{kind="status"}`)
	probeRequests  = metrics.GetOrCreateCounter(`cyclamenpin_replication_requests_total{kind="probe"}`)
	statusFailures = metrics.GetOrCreateCounter(`cyclamenpin_replication_failures_total`)
)

// poll asks one database for its status until ctx ends.
func (w *Watcher) poll(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		m.clearWake()
		w.exchange(ctx, m)
		w.pause(ctx, m)
	}
}

// exchange makes one request, and after a failure one more on a new
// connection, which tells a silent path from a database that is gone.
func (w *Watcher) exchange(ctx context.Context, m *member) {
	statusRequests.Inc()
	statusErr := w.request(ctx, m, m.control.Status)
	if statusErr == nil || ctx.Err() != nil {
		return
	}
	probeRequests.Inc()
	probeErr := w.request(ctx, m, m.control.Probe)
	if ctx.Err() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if probeErr == nil {
		w.counts.SilentPaths++
		return
	}
	statusFailures.Inc()
	m.health.fail(time.Now(), statusErr, probeErr)
}

func (w *Watcher) request(
	ctx context.Context, m *member, ask func(context.Context) (state.DatabaseStatus, error),
) error {
	requestCtx, cancel := context.WithTimeout(ctx, w.options.StatusTimeout)
	defer cancel()
	sequence, sentAt := w.nextSequence()
	status, err := ask(requestCtx)
	if err != nil {
		return err
	}
	return w.apply(m, sequence, sentAt, status)
}

// nextSequence numbers a request before it is sent, and reads the time before
// it is sent, so that both bound the answer from below.
func (w *Watcher) nextSequence() (uint64, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.counts.Requests++
	return w.sequence, time.Now()
}

// apply takes in an answer and tells those for whom it was enough.
func (w *Watcher) apply(m *member, sequence uint64, sentAt time.Time, status state.DatabaseStatus) error {
	if status.Database != m.database.ID {
		return eris.Wrapf(errOtherDatabase, "want %s, got %s", m.database.ID, status.Database)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.heard && status.Term < m.status.Term {
		// The database lost what it promised, so its answers prove nothing.
		m.distrust()
		return eris.Wrapf(errTermWentDown, "%s from %d to %d", m.database.ID, m.status.Term, status.Term)
	}
	m.record(sequence, sentAt, time.Now(), status)
	w.updatePrimary()
	w.updateSamples(m)
	w.settleAcknowledges()
	w.settleBarriers()
	w.settleHolds()
	return nil
}

// pause waits until the next request to the database is due.
func (w *Watcher) pause(ctx context.Context, m *member) {
	w.mu.Lock()
	least, most := w.pauseBounds(m)
	w.mu.Unlock()
	sleep(ctx, least)
	timer := time.NewTimer(most - least)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.wake:
	case <-timer.C:
	}
}

// pauseBounds returns the pause that nothing shortens and the whole pause. The
// caller holds mu.
func (w *Watcher) pauseBounds(m *member) (least, most time.Duration) {
	heartbeat := w.options.HeartbeatInterval
	if failures := m.health.Failures; failures > 0 {
		pause := heartbeat
		if failures == 1 {
			pause = heartbeat / 4
		}
		return pause, pause
	}
	least = min(w.options.MinRoundInterval, heartbeat)
	if !w.isNeeded(m) {
		return least, heartbeat
	}
	most = least << min(m.unchanged, 16)
	return least, max(least, min(most, w.options.MaxRoundInterval))
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
