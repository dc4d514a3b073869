package replication

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// maxTermsKept is the number of latest terms for which the offsets that a member
// proved are kept. A waiter for an older term has already failed with
// ErrSuperseded.
const maxTermsKept = 4

// member is the Watcher's state of one database. The fields below requestDue
// are protected by Watcher.mu.
type member struct {
	database   state.Database
	control    Control
	requestDue chan struct{} // holds one token when a request is due

	responded   bool
	status      state.DatabaseStatus
	sequence    uint64    // number of the request that returned status
	sentAt      time.Time // when that request was sent
	respondedAt time.Time // when its response arrived
	// provenOffsets maps a term to the highest offset of that term that the
	// database reported while it was in that term. Such a report remains
	// valid after the database has moved to a later term: its log contained
	// the entry when it was fenced, so the promoter saw it.
	provenOffsets map[state.Term]uint64
	// provenAt is a time such that the database holds everything that was
	// acknowledged before it. Zero when none is proven.
	provenAt time.Time
	health   Health
	// unchangedResponses counts consecutive responses without progress. It
	// determines the pause between requests.
	unchangedResponses int
}

func newMember(database state.Database, control Control) *member {
	return &member{
		database:      database,
		control:       control,
		requestDue:    make(chan struct{}, 1),
		provenOffsets: make(map[state.Term]uint64),
	}
}

func (m *member) makeRequestDue() {
	select {
	case m.requestDue <- struct{}{}:
	default:
	}
}

// clearRequestDue removes the token, if any, because a request is about to be
// sent.
func (m *member) clearRequestDue() {
	select {
	case <-m.requestDue:
	default:
	}
}

// discardProofs discards what the database proved, after it reported a lower
// term than before. The caller holds Watcher.mu.
func (m *member) discardProofs() {
	clear(m.provenOffsets)
	m.provenAt = time.Time{}
}

// record stores the status of a response. The caller holds Watcher.mu.
func (m *member) record(sequence uint64, sentAt, respondedAt time.Time, status state.DatabaseStatus) {
	if m.responded && status.Log == m.status.Log && status.Term == m.status.Term {
		m.unchangedResponses++
	} else {
		m.unchangedResponses = 0
	}
	m.responded = true
	m.status = status
	m.sequence = sequence
	m.sentAt = sentAt
	m.respondedAt = respondedAt
	m.health = Health{}
	if status.Log.Term == status.Term {
		m.provenOffsets[status.Term] = max(m.provenOffsets[status.Term], status.Log.Offset)
		m.dropOldTerms()
	}
}

func (m *member) dropOldTerms() {
	for term := range m.provenOffsets {
		if term+maxTermsKept <= m.status.Term {
			delete(m.provenOffsets, term)
		}
	}
}

// holds reports whether the database proved that it holds position while it was
// in position's term. A log whose last entry is of an earlier term proves
// nothing, since that entry may come from a superseded primary.
func (m *member) holds(position state.Position) bool {
	offset, known := m.provenOffsets[position.Term]
	return known && offset >= position.Offset
}

// canStillProve reports whether a later response may prove a position of term.
func (m *member) canStillProve(term state.Term) bool {
	return !m.responded || m.status.Term <= term
}
