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

// poll requests the status of one database repeatedly until ctx ends.
func (w *Watcher) poll(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		m.clearRequestDue()
		w.requestStatus(ctx, m)
		w.pause(ctx, m)
	}
}

// requestStatus requests the status once. After a failure it requests it again
// on a new connection, to distinguish a broken connection from a database that
// is down.
func (w *Watcher) requestStatus(ctx context.Context, m *member) {
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
	m.health.recordFailure(time.Now(), statusErr, probeErr)
}

func (w *Watcher) request(
	ctx context.Context, m *member, send func(context.Context) (state.DatabaseStatus, error),
) error {
	requestCtx, cancel := context.WithTimeout(ctx, w.options.StatusTimeout)
	defer cancel()
	sequence, sentAt := w.nextSequence()
	status, err := send(requestCtx)
	if err != nil {
		return err
	}
	return w.applyStatus(m, sequence, sentAt, status)
}

// nextSequence returns the sequence number and the send time of a request. It
// is called before the request is sent, so that the status in the response is
// newer than both.
func (w *Watcher) nextSequence() (uint64, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	w.counts.Requests++
	return w.sequence, time.Now()
}

// applyStatus records a response and completes the waiters that it satisfies.
func (w *Watcher) applyStatus(m *member, sequence uint64, sentAt time.Time, status state.DatabaseStatus) error {
	if status.Database != m.database.ID {
		return eris.Wrapf(errWrongDatabase, "want %s, got %s", m.database.ID, status.Database)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.responded && status.Term < m.status.Term {
		// The database lost a term that it had accepted, so what it reported
		// before no longer proves anything.
		m.discardProofs()
		return eris.Wrapf(errTermDecreased, "%s from %d to %d", m.database.ID, m.status.Term, status.Term)
	}
	m.record(sequence, sentAt, time.Now(), status)
	w.updatePrimary()
	w.updateSamples(m)
	w.completeAcknowledges()
	w.completeBarriers()
	w.completePositionWaiters()
	return nil
}

// pause waits until the next request to the database is due.
func (w *Watcher) pause(ctx context.Context, m *member) {
	w.mu.Lock()
	minPause, maxPause := w.pauseBounds(m)
	w.mu.Unlock()
	sleep(ctx, minPause)
	timer := time.NewTimer(maxPause - minPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.requestDue:
	case <-timer.C:
	}
}

// pauseBounds returns the minimum pause before the next request, and the maximum
// pause, which ends early when a request becomes due. The caller holds mu.
func (w *Watcher) pauseBounds(m *member) (minPause, maxPause time.Duration) {
	heartbeat := w.options.HeartbeatInterval
	if failures := m.health.Failures; failures > 0 {
		pause := heartbeat
		if failures == 1 {
			pause = heartbeat / 4
		}
		return pause, pause
	}
	minPause = min(w.options.MinRoundInterval, heartbeat)
	if !w.isAwaited(m) {
		return minPause, heartbeat
	}
	maxPause = minPause << min(m.unchangedResponses, 16)
	return minPause, max(minPause, min(maxPause, w.options.MaxRoundInterval))
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
