package membership

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// InstanceSnapshot is the state of one instance for the dump.
type InstanceSnapshot struct {
	Instance state.Instance `json:"instance"`
	Leaving  bool           `json:"leaving,omitempty"`
	// SuspectedFor is the remaining time of the suspicion; zero if the
	// instance is not suspected.
	SuspectedFor time.Duration `json:"suspected_for_ns,omitempty"`
	Failures     int           `json:"failures,omitempty"`
	LastFailure  string        `json:"last_failure,omitempty"`
}

// Snapshot is the state of a Membership for the dump.
type Snapshot struct {
	Self state.Instance `json:"self"`
	// ListAge is the time since the list was last read; negative if it never
	// was.
	ListAge   time.Duration      `json:"list_age_ns"`
	ListError string             `json:"list_error,omitempty"`
	Instances []InstanceSnapshot `json:"instances"`
}

// Snapshot returns the state of this instance, of the list, and of every listed
// instance, sorted by id.
func (m *Membership) Snapshot() Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	snapshot := Snapshot{Self: m.self, ListAge: -1}
	if !m.listedAt.IsZero() {
		snapshot.ListAge = time.Since(m.listedAt)
	}
	if m.listErr != nil {
		snapshot.ListError = m.listErr.Error()
	}
	for _, instance := range m.listed {
		entry := InstanceSnapshot{Instance: instance, Leaving: m.isLeaving(instance)}
		if until := m.suspectedUntil(instance); !until.IsZero() {
			entry.SuspectedFor = max(time.Until(until), 0)
		}
		if known := m.evidence[instance.ID]; known != nil && known.incarnation == instance.Incarnation {
			entry.Failures = known.failures
			entry.LastFailure = known.lastFailure
		}
		snapshot.Instances = append(snapshot.Instances, entry)
	}
	return snapshot
}
