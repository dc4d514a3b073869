package replication

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// View is a copy of a Watcher's state at one moment.
type View struct {
	Group state.GroupID `json:"group"`
	// Primary is the database known to be the primary of Term. It is empty,
	// and Term zero, when no database reported that it is primary or when a
	// majority has moved to a later term.
	Primary state.DatabaseID `json:"primary,omitempty"`
	Term    state.Term       `json:"term"`
	// HighestTerm is the highest term that any database reported.
	HighestTerm state.Term     `json:"highest_term"`
	Databases   []DatabaseView `json:"databases"`
	// RoundAge is the time since the start of the newest round of requests to
	// which the primary and a majority of its term responded. Negative when
	// there was none.
	RoundAge time.Duration `json:"round_age_ns"`
	Waiting  Waiting       `json:"waiting"`
	Counts   Counts        `json:"counts"`
}

// DatabaseView is a Watcher's state of one database.
type DatabaseView struct {
	Database state.Database `json:"database"`
	// Responded says whether the database has ever responded. If not, the
	// fields from Status to Age are zero.
	Responded bool                 `json:"heard"`
	Status    state.DatabaseStatus `json:"status"`
	// SentAt is when the request that returned Status was sent, and
	// RespondedAt when the response arrived. Both have a monotonic clock
	// reading.
	SentAt      time.Time     `json:"sent_at,omitzero"`
	RespondedAt time.Time     `json:"heard_at,omitzero"`
	Age         time.Duration `json:"heard_age_ns"`
	Health      Health        `json:"health"`
	// ProvenAge is an upper bound on the age of the database's data, valid if
	// AgeProven is set.
	ProvenAge time.Duration `json:"proven_age_ns"`
	AgeProven bool          `json:"age_proven"`
}

// Waiting counts the callers that currently wait, by what they wait for.
type Waiting struct {
	Acknowledges int `json:"acknowledges"`
	Barriers     int `json:"barriers"`
	Positions    int `json:"holds"`
}

// Counts are totals since the Watcher was created.
type Counts struct {
	// Requests is the number of status requests sent to all databases.
	Requests uint64 `json:"requests"`
	// SilentPaths is how often a request failed on the kept connection and
	// succeeded on a new one.
	SilentPaths uint64 `json:"silent_paths"`
	// Rounds is the number of rounds of requests to which the primary and a
	// majority of its term responded.
	Rounds uint64 `json:"rounds"`
}

// Database returns the view of one database.
func (v View) Database(id state.DatabaseID) (DatabaseView, bool) {
	for _, database := range v.Databases {
		if database.Database.ID == id {
			return database, true
		}
	}
	return DatabaseView{}, false
}

// View returns a copy of the current state.
func (w *Watcher) View() View {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	view := View{
		Group:       w.group.ID,
		Term:        w.primaryTerm,
		HighestTerm: w.highestTerm,
		RoundAge:    -1,
		Waiting: Waiting{
			Acknowledges: len(w.acknowledges),
			Barriers:     len(w.barriers),
			Positions:    len(w.positionWaiters),
		},
		Counts: w.counts,
	}
	if w.primary != nil {
		view.Primary = w.primary.database.ID
	}
	if !w.samples.newest.start.IsZero() {
		view.RoundAge = now.Sub(w.samples.newest.start)
	}
	for _, m := range w.members {
		view.Databases = append(view.Databases, w.viewOf(m, now))
	}
	return view
}

func (w *Watcher) viewOf(m *member, now time.Time) DatabaseView {
	view := DatabaseView{
		Database:    m.database,
		Responded:   m.responded,
		Status:      m.status,
		SentAt:      m.sentAt,
		RespondedAt: m.respondedAt,
		Health:      m.health,
	}
	if m.responded {
		view.Age = now.Sub(m.respondedAt)
	}
	view.ProvenAge, view.AgeProven = w.provenAge(m, now)
	return view
}
