package ratelimit

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

const (
	// maxForgetting is the largest number of instances that a restarted one asks to
	// forget the pledges of its earlier runs.
	maxForgetting = 200
	// forgetInterval is the time between two messages to one that has not answered.
	forgetInterval = 100 * time.Millisecond
)

// forgetting tracks which instances have forgotten the pledges of this one's earlier
// runs. Until all that may hold one have, or such a pledge must have ended, this run
// pledges nothing.
type forgetting struct {
	// over is set once all have confirmed it.
	over    bool
	askedAt state.Instant
	// by holds those that have confirmed it, left those that have not, by name.
	by   map[state.InstanceID]bool
	left map[state.InstanceID]bool
}

// earlierPledgesOver reports whether no pledge of an earlier run can last. How long one
// lasts is known only once the rows have been read. The caller must hold l.mu.
func (l *Limiter) earlierPledgesOver(now state.Instant) bool {
	return l.forgetting.over || now.Sub(l.startedAt) >= withDrift(pledgeLength(l.share.instances))
}

// possibleHomes returns the instances that may hold a pledge of an earlier run: all that
// an earlier run could have believed to be live. It returns false once that no longer
// matters, or while they are not known.
func (l *Limiter) possibleHomes(now state.Instant) ([]leadership.InstanceRow, bool) {
	l.mu.Lock()
	over, instances := l.earlierPledgesOver(now), l.share.instances
	l.mu.Unlock()
	if over {
		return nil, false
	}
	// The rows that an earlier run relied on may have been old.
	standing, known := l.Membership.Standing(liveWithin(instances) + minRowsAge + rowsAgeSlack + pledgeLength(2*instances))
	return standing.Instances, known && !standing.RowsLost && len(standing.Instances) <= maxForgetting
}

// askToForget asks those that may hold a pledge of an earlier run to forget it. The
// caller must hold l.mu.
func (l *Limiter) askToForget(homes []leadership.InstanceRow, now state.Instant) {
	f := &l.forgetting
	f.left = make(map[state.InstanceID]bool)
	ask := f.askedAt == 0 || now.Sub(f.askedAt) >= forgetInterval
	for _, row := range homes {
		if row.Name == l.Self || f.by[row.Name] {
			continue
		}
		f.left[row.Name] = true
		if ask {
			f.askedAt = now
			l.outgoing = append(l.outgoing, outgoing{address: row.Address, message: &message{Kind: kindForget, From: l.Self, Run: l.Config.Run}})
		}
	}
	f.over = len(f.left) == 0
}

// forget ends the pledges of earlier runs of an instance at all homes here and accepts
// no late ones. It returns the confirmation. The caller must hold l.mu.
func (l *Limiter) forget(m *message, now state.Instant) *message {
	for _, h := range l.homes {
		if !h.forget(m.From, m.Run, now) {
			return nil
		}
	}
	return &message{Kind: kindForgotten, From: l.Self, Run: m.Run}
}

// receiveForgotten handles the confirmation of another instance. The caller must hold
// l.mu.
func (l *Limiter) receiveForgotten(m *message) {
	f := &l.forgetting
	if f.over || m.Run != l.Config.Run || !f.left[m.From] {
		return
	}
	if f.by == nil {
		f.by = make(map[state.InstanceID]bool)
	}
	f.by[m.From] = true
	delete(f.left, m.From)
	if f.over = len(f.left) == 0; f.over {
		for _, link := range l.links {
			link.due = true
		}
	}
}

// forget ends the pledges of an asker's earlier runs. It returns false if a later run
// has asked.
func (h *home) forget(name state.InstanceID, run int64, now state.Instant) bool {
	h.advance(now)
	a := h.askers[name]
	switch {
	case a != nil && a.run > run:
		return false
	case a == nil || a.run < run:
		earlier := a
		a = &asker{run: run}
		h.askers[name] = a
		if earlier != nil && earlier.weight > 0 {
			h.reweigh()
		}
	}
	a.keptUntil = max(a.keptUntil, now.Add(withDrift(maxPledge)))
	return true
}
