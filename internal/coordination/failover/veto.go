package failover

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// veto is the strength of other parties' evidence against a suspicion.
type veto uint8

const (
	// vetoNone allows the change.
	vetoNone veto = iota
	// vetoBounded delays the change for boundedVetoTimeout: a replica or another
	// owner has contact with the primary, but no owner is known to have had a
	// round in which its writes could be acknowledged.
	vetoBounded
	// vetoFirm delays the change for as long as the veto is repeated: another
	// owner had a round in which writes could be acknowledged.
	vetoFirm
)

// replicaVeto returns the veto of replicas that had contact with the suspected
// primary after s.disprovedAfter.
func replicaVeto(s suspicion, view replication.View) veto {
	for _, database := range view.Databases {
		status := database.Status
		follows := database.Responded && status.Role == state.RoleReplica && status.Term == s.term
		if !follows || database.Database.ID == s.primary {
			continue
		}
		// The replica responded after SentAt, so this is the earliest possible
		// time of the contact.
		contact := database.SentAt.Add(-status.PrimaryContactAge)
		if contact.After(s.disprovedAfter) {
			return vetoBounded
		}
	}
	return vetoNone
}

// ownerVeto returns the strongest veto of owners that had contact with the
// suspected primary, or with one of a later term, after s.disprovedAfter. The
// observations were requested at requestedAt.
func ownerVeto(s suspicion, observations []Observation, requestedAt time.Time) veto {
	strongest := vetoNone
	for _, observation := range observations {
		if observation.Term < s.term || observation.Primary == "" {
			continue
		}
		if observation.RoundAge >= 0 && requestedAt.Add(-observation.RoundAge).After(s.disprovedAfter) {
			return vetoFirm
		}
		if requestedAt.Add(-observation.Age).After(s.disprovedAfter) {
			strongest = vetoBounded
		}
	}
	return strongest
}
