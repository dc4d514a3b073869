package replication

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// View is what a Watcher knows at one moment. It is a copy.
type View struct {
	Group state.GroupID `json:"group"`
	// Primary is the database known to be the primary of Term. Empty when no
	// database reported it or a majority has left that term; Term is then zero.
	Primary state.DatabaseID `json:"primary,omitempty"`
	Term    state.Term       `json:"term"`
	// HighestTerm is the highest term that any database reported.
	HighestTerm state.Term     `json:"highest_term"`
	Databases   []DatabaseView `json:"databases"`
	// RoundAge is the time since the start of the newest round that reached
	// the primary and a majority of its term. Negative when there was none.
	RoundAge time.Duration `json:"round_age_ns"`
	Waiting  Waiting       `json:"waiting"`
	Counts   Counts        `json:"counts"`
}

// DatabaseView is what a Watcher knows of one database.
type DatabaseView struct {
	Database state.Database `json:"database"`
	// Responded is whether it has ever answered; the next fields are zero if not.
	Responded bool                 `json:"heard"`
	Status    state.DatabaseStatus `json:"status"`
	// SentAt is when the request that Status answers was sent, and HeardAt
	// when the answer arrived. Both carry a monotonic reading.
	SentAt      time.Time     `json:"sent_at,omitzero"`
	RespondedAt time.Time     `json:"heard_at,omitzero"`
	Age         time.Duration `json:"heard_age_ns"`
	Health      Health        `json:"health"`
	// ProvenAge bounds the age of its data where AgeProven is set.
	ProvenAge time.Duration `json:"proven_age_ns"`
	AgeProven bool          `json:"age_proven"`
}

// Waiting counts the callers that wait.
type Waiting struct {
	Acknowledges int `json:"acknowledges"`
	Barriers     int `json:"barriers"`
	Holds        int `json:"holds"`
}

// Counts are totals since the Watcher was made.
type Counts struct {
	// Requests is how many status requests were sent, to all databases.
	Requests uint64 `json:"requests"`
	// SilentPaths is how often the kept connection failed and a new one
	// answered.
	SilentPaths uint64 `json:"silent_paths"`
	// Rounds is how many rounds reached the primary and a majority.
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

// View returns what is known now.
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
			Holds:        len(w.holds),
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
		Responded:   m.heard,
		Status:      m.status,
		SentAt:      m.sentAt,
		RespondedAt: m.heardAt,
		Health:      m.health,
	}
	if m.heard {
		view.Age = now.Sub(m.heardAt)
	}
	view.ProvenAge, view.AgeProven = w.provenAge(m, now)
	return view
}
