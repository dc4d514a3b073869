package leadership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// A promoter tells the other instances when it expects its change to end, so that
// they can tell their clients when to come back. Nothing else depends on it: a lost
// message leaves the default.

const (
	// usualAcknowledgement is how long instances that respond take to acknowledge a
	// change, usualPromotion how long a change takes from then on.
	usualAcknowledgement = 200 * time.Millisecond
	usualPromotion       = 700 * time.Millisecond
	// expectationInterval is the time between two messages with the same expectation,
	// expectationChange the difference at which another is sent at once.
	expectationInterval = time.Second
	expectationChange   = 200 * time.Millisecond
)

// expectation is when a change of primary is expected to end.
type expectation struct {
	epoch uint64
	ends  state.Instant
}

// expectedChange is the promoter's expectation as it is sent.
type expectedChange struct {
	Group state.GroupID `msgpack:"g"`
	Epoch uint64        `msgpack:"e"`
	// Left is the time from the sending of the message to the end of the change.
	Left time.Duration `msgpack:"l"`
}

// expectationSender sends one change's expectations while its promoter waits for
// acknowledgements.
type expectationSender struct {
	announcedAt, sentAt, ends state.Instant
}

// due reports whether an expectation differs from the last one sent, or whether that
// should be repeated.
func (s *expectationSender) due(ends, now state.Instant) bool {
	return s.sentAt == 0 || ends.Sub(s.ends).Abs() > expectationChange || now.Sub(s.sentAt) >= expectationInterval
}

// sendExpectation tells all instances when the change is expected to end, given the
// instances for which it still waits.
func (m *Manager) sendExpectation(s *expectationSender, attempt *changeAttempt, pending pendingInstances) {
	now := m.Clock.Now()
	usual := usualAcknowledgement
	if attempt.planned {
		usual += m.Options.PlannedDrain
	}
	// Instances that respond acknowledge within the usual time.
	if now.Sub(s.announcedAt) < usual || pending.wait() == 0 {
		return
	}
	left := pending.wait() + usualPromotion
	ends := now.Add(left)
	if !s.due(ends, now) {
		return
	}
	s.sentAt, s.ends = now, ends
	expected := expectedChange{Group: attempt.group, Epoch: attempt.epoch, Left: left}
	m.mu.Lock()
	m.applyExpectation(expected, now)
	message := m.encodeMessage(peerMessage{Kind: kindExpectation, Era: m.era.number, From: m.Self, Expected: []expectedChange{expected}})
	addresses := m.peerAddresses()
	m.mu.Unlock()
	m.sendAll(addresses, message)
}

// applyExpectation records an expectation. One for a change that is not known yet, or
// is over, has no effect on requests. The caller must hold m.mu.
func (m *Manager) applyExpectation(expected expectedChange, now state.Instant) {
	g, known := m.groups[expected.Group]
	if known && expected.Epoch >= g.expected.epoch {
		g.expected = expectation{expected.Epoch, now.Add(min(expected.Left, m.Options.MaxLease+changeTimeout))}
	}
}

// expectedLeft returns the expected time until the end of the group's change, or 0 if
// that is not known. The caller must hold m.mu.
func (g *group) expectedLeft(now state.Instant) time.Duration {
	if g.expected.epoch != g.record.Epoch {
		return 0
	}
	return max(0, g.expected.ends.Sub(now))
}

// wait returns the time for which the change still waits for the pending instances.
func (p pendingInstances) wait() time.Duration {
	switch {
	case len(p.confirmed)+len(p.leased) == 0:
		return 0
	case !p.isMinority():
		return p.confirmedFor
	case len(p.confirmed) > 0:
		return max(p.leasedFor, minorityPatience)
	default:
		return p.leasedFor
	}
}
