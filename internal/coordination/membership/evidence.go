package membership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// evidence records the reports on the highest incarnation of an instance that
// was ever listed or reported. It is kept for a time after the instance has
// disappeared from the list, so that an out-of-date list cannot restore an
// earlier incarnation.
type evidence struct {
	incarnation    state.Incarnation
	leaving        bool
	failures       int       // consecutive
	suspectedUntil time.Time // end of the suspicion; zero when not suspected
	lastFailure    string
	lastSeen       time.Time // when it was last listed or reported
}

// evidenceFor returns the evidence on an incarnation, creating it if needed. It
// returns nil for this instance itself, and when a later incarnation is known.
// Called with mu held.
func (m *Membership) evidenceFor(id state.InstanceID, incarnation state.Incarnation) *evidence {
	if id == m.self.ID {
		return nil
	}
	known, found := m.evidence[id]
	if found && known.incarnation > incarnation {
		return nil
	}
	if !found || known.incarnation < incarnation {
		known = &evidence{incarnation: incarnation}
		m.evidence[id] = known
		m.view = nil // any earlier incarnation has ended
	}
	known.lastSeen = time.Now()
	return known
}

// ReportFailure marks an incarnation that could not be reached as suspected,
// for a time that doubles with each consecutive failure. Reports on an
// incarnation that is already suspected are ignored, since they stem from the
// same fault.
func (m *Membership) ReportFailure(id state.InstanceID, incarnation state.Incarnation, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.evidenceFor(id, incarnation)
	if known == nil || time.Now().Before(known.suspectedUntil) {
		return
	}
	known.suspectedUntil = time.Now().Add(m.suspicionDuration(known.failures))
	known.failures++
	known.lastFailure = err.Error()
	m.view = nil
	m.config.Logger.Info().Err(err).Str("instance", string(id)).Msg("instance suspected")
}

// suspicionDuration returns how long an instance is suspected after the given
// number of earlier consecutive failures. Called with mu held.
func (m *Membership) suspicionDuration(failures int) time.Duration {
	const maxShift = 16
	longest := min(m.config.MinSuspicion<<min(failures, maxShift), m.config.MaxSuspicion)
	return longest - time.Duration(m.random.Int64N(int64(longest)/2+1))
}

// ReportSuccess ends the suspicion of an incarnation that was reached.
func (m *Membership) ReportSuccess(id state.InstanceID, incarnation state.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.evidenceFor(id, incarnation)
	if known == nil {
		return
	}
	if !known.suspectedUntil.IsZero() {
		m.view = nil
	}
	known.failures, known.suspectedUntil, known.lastFailure = 0, time.Time{}, ""
}

// ReportLeaving records that an incarnation announced that it is leaving. An
// incarnation that is leaving never becomes available again.
func (m *Membership) ReportLeaving(id state.InstanceID, incarnation state.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.evidenceFor(id, incarnation)
	if known == nil || known.leaving {
		return
	}
	known.leaving = true
	m.view = nil
}

// isLeaving reports whether the listed instance is leaving, according to the
// list or to its own announcement. An incarnation that a later one has replaced
// counts as leaving. Called with mu held.
func (m *Membership) isLeaving(instance state.Instance) bool {
	known, found := m.evidence[instance.ID]
	if !found || known.incarnation < instance.Incarnation {
		return instance.Leaving
	}
	return instance.Leaving || known.leaving || known.incarnation > instance.Incarnation
}

// suspectedUntil returns when the suspicion of an instance ends. Called with mu
// held.
func (m *Membership) suspectedUntil(instance state.Instance) time.Time {
	known, found := m.evidence[instance.ID]
	if !found || known.incarnation != instance.Incarnation {
		return time.Time{}
	}
	return known.suspectedUntil
}

// dropExpiredEvidence deletes the evidence on instances that were neither
// listed nor reported within evidenceRetention. Called with mu held.
func (m *Membership) dropExpiredEvidence() {
	for id, known := range m.evidence {
		if time.Since(known.lastSeen) > evidenceRetention {
			delete(m.evidence, id)
		}
	}
}
