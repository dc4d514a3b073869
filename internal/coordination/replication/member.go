package replication

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// keptTerms is how many of the latest terms a member's held offsets are kept
// for. A waiter of an older term has been told that it is superseded.
const keptTerms = 4

// member is what the Watcher knows of one database. The fields below wake are
// protected by Watcher.mu.
type member struct {
	database state.Database
	control  Control
	wake     chan struct{} // holds one token when a request is due

	heard    bool
	status   state.DatabaseStatus
	sequence uint64    // of the request that status answers
	sentAt   time.Time // when that request was sent
	heardAt  time.Time // when its answer arrived
	// held maps a term to the highest offset of that term which the database
	// reported while it was in that term. Such a report stays a proof after
	// the database has moved on: whoever fenced it later got a log with the
	// entry in it.
	held map[state.Term]uint64
	// provenAt is a time before which nothing was acknowledged that the
	// database lacks. Zero when nothing is proven.
	provenAt time.Time
	health   Health
	// unchanged counts answers in a row without progress, for pacing.
	unchanged int
}

func newMember(database state.Database, control Control) *member {
	return &member{
		database: database,
		control:  control,
		wake:     make(chan struct{}, 1),
		held:     make(map[state.Term]uint64),
	}
}

func (m *member) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// clearWake takes the token that the request about to be sent satisfies.
func (m *member) clearWake() {
	select {
	case <-m.wake:
	default:
	}
}

// distrust forgets what the database proved, after it went back on a term. The
// caller holds Watcher.mu.
func (m *member) distrust() {
	clear(m.held)
	m.provenAt = time.Time{}
}

// record takes an answer in. The caller holds Watcher.mu.
func (m *member) record(sequence uint64, sentAt, heardAt time.Time, status state.DatabaseStatus) {
	if m.heard && status.Log == m.status.Log && status.Term == m.status.Term {
		m.unchanged++
	} else {
		m.unchanged = 0
	}
	m.heard = true
	m.status = status
	m.sequence = sequence
	m.sentAt = sentAt
	m.heardAt = heardAt
	m.health = Health{}
	if status.Log.Term == status.Term {
		m.held[status.Term] = max(m.held[status.Term], status.Log.Offset)
		m.forgetOldTerms()
	}
}

func (m *member) forgetOldTerms() {
	for term := range m.held {
		if term+keptTerms <= m.status.Term {
			delete(m.held, term)
		}
	}
}

// holds reports whether the database proved position while in its term. A log
// whose last entry is of an earlier term proves nothing: it may come from a
// superseded primary.
func (m *member) holds(position state.Position) bool {
	offset, known := m.held[position.Term]
	return known && offset >= position.Offset
}

// mayStillHold reports whether a later answer may prove a position of term.
func (m *member) mayStillHold(term state.Term) bool {
	return !m.heard || m.status.Term <= term
}
