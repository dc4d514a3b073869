package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Spacing and number of the samples kept. The age of a database's data can be
// proven up to 128 s, which the coarse samples span.
const (
	fineSampleSpacing   = 10 * time.Millisecond
	coarseSampleSpacing = 500 * time.Millisecond
	fineSampleCount     = 64
	coarseSampleCount   = 256
)

// sample records that position covers every write acknowledged before start, as
// confirmed by a majority of databases in term.
type sample struct {
	start    time.Time
	term     state.Term
	position state.Position
}

// isProvedBy reports whether a log that ends at log contains everything
// acknowledged before the sample's start. If the log ends in a later term than
// the sample's position, its last entry must be of the sample's term or a later
// one: the primary that wrote that entry started with everything acknowledged
// in earlier terms.
func (s sample) isProvedBy(log state.Position) bool {
	if log.Term == s.position.Term {
		return log.Offset >= s.position.Offset
	}
	return log.Term > s.position.Term && log.Term >= s.term
}

// sampleRing keeps the latest samples that are at least spacing apart.
type sampleRing struct {
	samples []sample
	next    int
}

func (r *sampleRing) add(s sample, spacing time.Duration, capacity int) {
	if len(r.samples) > 0 {
		last := r.samples[(r.next+len(r.samples)-1)%len(r.samples)]
		if s.start.Sub(last.start) < spacing {
			return
		}
	}
	if len(r.samples) < capacity {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % capacity
}

// sampleHistory keeps the newest sample, and older samples at two spacings, so
// that old ones are sparser.
type sampleHistory struct {
	newest sample
	fine   sampleRing
	coarse sampleRing
}

func (h *sampleHistory) add(s sample) {
	h.newest = s
	h.fine.add(s, fineSampleSpacing, fineSampleCount)
	h.coarse.add(s, coarseSampleSpacing, coarseSampleCount)
}

// latestProved returns the latest start among the samples that log proves, or
// zero when it proves none.
func (h *sampleHistory) latestProved(log state.Position) time.Time {
	if !h.newest.start.IsZero() && h.newest.isProvedBy(log) {
		return h.newest.start
	}
	var latest time.Time
	for _, ring := range [][]sample{h.fine.samples, h.coarse.samples} {
		for _, s := range ring {
			if s.start.After(latest) && s.isProvedBy(log) {
				latest = s.start
			}
		}
	}
	return latest
}

// latestRound returns the lowest sequence number and the earliest send time
// among the newest responses of the primary and of the databases of its term
// that responded to the latest requests, as many as form a majority with the
// primary. complete is false when there are too few. The caller holds mu.
func (w *Watcher) latestRound() (sequence uint64, start time.Time, complete bool) {
	if w.primary == nil {
		return 0, time.Time{}, false
	}
	var others []*member
	for _, m := range w.members {
		if m != w.primary && m.responded && m.status.Term == w.primaryTerm {
			others = append(others, m)
		}
	}
	if len(others)+1 < w.majority {
		return 0, time.Time{}, false
	}
	slices.SortFunc(others, func(a, b *member) int { return cmp.Compare(b.sequence, a.sequence) })
	sequence, start = w.primary.sequence, w.primary.sentAt
	for _, m := range others[:w.majority-1] {
		sequence = min(sequence, m.sequence)
		if m.sentAt.Before(start) {
			start = m.sentAt
		}
	}
	return sequence, start, true
}

// updateSamples adds a sample if the response of m completed a newer round, and
// then updates provenAt of all databases, otherwise that of m only. The caller
// holds mu.
func (w *Watcher) updateSamples(m *member) {
	_, start, complete := w.latestRound()
	if complete && start.After(w.samples.newest.start) {
		w.counts.Rounds++
		w.samples.add(sample{start: start, term: w.primaryTerm, position: w.primary.status.Log})
		for _, other := range w.members {
			w.updateProvenAt(other)
		}
		return
	}
	w.updateProvenAt(m)
}

func (w *Watcher) updateProvenAt(m *member) {
	if !m.responded {
		return
	}
	if start := w.samples.latestProved(m.status.Log); start.After(m.provenAt) {
		m.provenAt = start
	}
}

// ProvenAge returns an upper bound on the current age of the database's data:
// the data includes everything acknowledged longer ago than that. The bound is
// measured by this process's monotonic clock and grows until a newer one is
// proven. ProvenAge returns false when no bound is proven, or when the log may
// have entries that the group's primary lacks.
func (w *Watcher) ProvenAge(database state.DatabaseID) (time.Duration, bool) {
	m, known := w.byID[database]
	if !known {
		return 0, false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.provenAge(m, time.Now())
}

func (w *Watcher) provenAge(m *member, now time.Time) (time.Duration, bool) {
	if !m.responded || m.provenAt.IsZero() {
		return 0, false
	}
	if w.primary != nil && m.status.Term <= w.primaryTerm && !w.isPrefix(m) {
		return 0, false
	}
	return now.Sub(m.provenAt), true
}

// isPrefix reports whether the log of m is proven to be a prefix of the log of
// the primary of m's term, and no later primary is known. The caller holds mu.
func (w *Watcher) isPrefix(m *member) bool {
	if m.status.Term < w.primaryTerm {
		return false
	}
	log := m.status.Log
	if log.Term == m.status.Term {
		return true
	}
	// A log without an entry of the current term may still contain entries of
	// a superseded primary.
	if w.primary == nil || w.primaryTerm != m.status.Term {
		return false
	}
	primaryLog := w.primary.status.Log
	return log.Term == primaryLog.Term && log.Offset <= primaryLog.Offset
}

// covers reports whether m may serve a read that must see minPosition. The
// caller holds mu.
func (w *Watcher) covers(m *member, minPosition state.Position) bool {
	if !m.responded || m.status.Role == state.RoleFenced {
		return false
	}
	if w.countAbove(m.status.Term) >= w.majority {
		return false
	}
	return w.isPrefix(m) && m.status.Log.Covers(minPosition)
}
