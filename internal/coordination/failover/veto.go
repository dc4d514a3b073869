package failover

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// veto says how strongly others contradict a suspicion.
type veto uint8

const (
	// vetoNone leaves the change to go on.
	vetoNone veto = iota
	// vetoBounded holds it back for vetoBound: somebody hears the primary, and
	// nobody is known to get writes acknowledged by it.
	vetoBounded
	// vetoFirm holds it back for as long as it is repeated: another owner gets
	// writes acknowledged.
	vetoFirm
)

// vetoOfReplicas finds replicas that heard the suspected primary after the
// suspicion would have been cleared.
func vetoOfReplicas(s suspicion, view replication.View) veto {
	for _, database := range view.Databases {
		status := database.Status
		follows := database.Responded && status.Role == state.RoleReplica && status.Term == s.term
		if !follows || database.Database.ID == s.primary {
			continue
		}
		// The answer left the replica after SentAt, so this is the earliest
		// that the contact can have been.
		contact := database.SentAt.Add(-status.PrimaryContactAge)
		if contact.After(s.clearedBy) {
			return vetoBounded
		}
	}
	return vetoNone
}

// vetoOfOwners finds owners that heard the suspected primary, or a later one,
// after the suspicion would have been cleared. The observations were asked for
// at askedAt.
func vetoOfOwners(s suspicion, observations []Observation, askedAt time.Time) veto {
	strongest := vetoNone
	for _, observation := range observations {
		if observation.Term < s.term || observation.Primary == "" {
			continue
		}
		if observation.RoundAge >= 0 && askedAt.Add(-observation.RoundAge).After(s.clearedBy) {
			return vetoFirm
		}
		if askedAt.Add(-observation.Age).After(s.clearedBy) {
			strongest = vetoBounded
		}
	}
	return strongest
}
