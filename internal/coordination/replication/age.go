package replication

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Spacing and number of the samples kept, which bound how far behind a
// database may be and still have its age proven: 128 s.
const (
	fineSampleSpacing   = 10 * time.Millisecond
	coarseSampleSpacing = 500 * time.Millisecond
	fineSampleCount     = 64
	coarseSampleCount   = 256
)

// sample says that every write acknowledged before start is covered by
// position, as a majority of term confirmed.
type sample struct {
	start    time.Time
	term     state.Term
	position state.Position
}

// provedBy reports whether a log that ends at log lacks nothing acknowledged
// before the sample's start. An entry of the sample's term or a later one is a
// proof by itself where the position is of an earlier term, because that
// entry's primary began with everything acknowledged in the terms before.
func (s sample) provedBy(log state.Position) bool {
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

// sampleHistory keeps the newest sample, and older ones the sparser the older.
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

// latestProved returns the latest start of a sample that log proves.
func (h *sampleHistory) latestProved(log state.Position) time.Time {
	if !h.newest.start.IsZero() && h.newest.provedBy(log) {
		return h.newest.start
	}
	var latest time.Time
	for _, ring := range [][]sample{h.fine.samples, h.coarse.samples} {
		for _, s := range ring {
			if s.start.After(latest) && s.provedBy(log) {
				latest = s.start
			}
		}
	}
	return latest
}

// round returns the lowest sequence and the earliest sending time of the newest
// answers of the primary and of as many others of its term as make a majority.
// The caller holds mu.
func (w *Watcher) round() (sequence uint64, start time.Time, complete bool) {
	if w.primary == nil {
		return 0, time.Time{}, false
	}
	var others []*member
	for _, m := range w.members {
		if m != w.primary && m.heard && m.status.Term == w.primaryTerm {
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

// updateSamples takes a sample where the answer of m made one possible, and
// derives what the databases prove by it. The caller holds mu.
func (w *Watcher) updateSamples(m *member) {
	_, start, complete := w.round()
	if complete && start.After(w.samples.newest.start) {
		w.counts.Rounds++
		w.samples.add(sample{start: start, term: w.primaryTerm, position: w.primary.status.Log})
		for _, other := range w.members {
			w.prove(other)
		}
		return
	}
	w.prove(m)
}

func (w *Watcher) prove(m *member) {
	if !m.heard {
		return
	}
	if start := w.samples.latestProved(m.status.Log); start.After(m.provenAt) {
		m.provenAt = start
	}
}

// ProvenAge returns an upper bound of the age of the database's data now: it
// lacks nothing that was acknowledged longer ago. The bound is by this
// process's monotonic clock and grows while nothing new is proven. It is false
// where nothing is proven, or where the log may have entries that the group's
// primary lacks.
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
	if !m.heard || m.provenAt.IsZero() {
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
	// Without an entry of its term, the log may still hold entries of a
	// superseded primary.
	if w.primary == nil || w.primaryTerm != m.status.Term {
		return false
	}
	primaryLog := w.primary.status.Log
	return log.Term == primaryLog.Term && log.Offset <= primaryLog.Offset
}

// covers reports whether m may serve a read that must see floor. The caller
// holds mu.
func (w *Watcher) covers(m *member, floor state.Position) bool {
	if !m.heard || m.status.Role == state.RoleFenced {
		return false
	}
	if w.countAbove(m.status.Term) >= w.majority {
		return false
	}
	return w.isPrefix(m) && m.status.Log.Covers(floor)
}
