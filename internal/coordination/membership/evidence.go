package membership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// evidence is what is known of the highest incarnation of an instance that was
// ever listed or reported. It outlives an instance's absence from the list, so
// that an out-of-date list cannot bring an earlier incarnation back.
type evidence struct {
	incarnation state.Incarnation
	leaving     bool
	failures    int       // in a row
	until       time.Time // suspected before this; zero if not
	lastFailure string
	seen        time.Time // when it was last listed or reported
}

// about returns the evidence of an incarnation, or nil when a later one of the
// instance is known. Called with mu held.
func (m *Membership) about(id state.InstanceID, incarnation state.Incarnation) *evidence {
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
		m.view = nil // the incarnation before is gone
	}
	known.seen = time.Now()
	return known
}

// ReportFailure suspects an incarnation that could not be reached, for a time
// that doubles with each failure in a row. Reports made while it is suspected
// already do not add to it: they are of the same fault.
func (m *Membership) ReportFailure(id state.InstanceID, incarnation state.Incarnation, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.about(id, incarnation)
	if known == nil || time.Now().Before(known.until) {
		return
	}
	known.until = time.Now().Add(m.suspicion(known.failures))
	known.failures++
	known.lastFailure = err.Error()
	m.view = nil
	m.config.Logger.Info().Err(err).Str("instance", string(id)).Msg("instance suspected")
}

// suspicion is how long an instance is suspected after a number of earlier
// failures in a row. Called with mu held.
func (m *Membership) suspicion(failures int) time.Duration {
	const maxShift = 16
	longest := min(m.config.MinSuspicion<<min(failures, maxShift), m.config.MaxSuspicion)
	return longest - time.Duration(m.random.Int64N(int64(longest)/2+1))
}

// ReportSuccess ends the suspicion of an incarnation that was reached.
func (m *Membership) ReportSuccess(id state.InstanceID, incarnation state.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.about(id, incarnation)
	if known == nil {
		return
	}
	if !known.until.IsZero() {
		m.view = nil
	}
	known.failures, known.until, known.lastFailure = 0, time.Time{}, ""
}

// ReportLeaving notes that an incarnation said that it is leaving. That is
// final for the incarnation.
func (m *Membership) ReportLeaving(id state.InstanceID, incarnation state.Incarnation) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.about(id, incarnation)
	if known == nil || known.leaving {
		return
	}
	known.leaving = true
	m.view = nil
}

// isLeaving reports whether the listed instance is leaving, by the list or by
// its own word. An incarnation that evidence shows to be superseded counts as
// gone. Called with mu held.
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
	return known.until
}

// forget drops evidence that nothing has renewed for long. Called with mu held.
func (m *Membership) forget() {
	for id, known := range m.evidence {
		if time.Since(known.seen) > forgetAfter {
			delete(m.evidence, id)
		}
	}
}
