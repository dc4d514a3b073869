package failover

import (
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/replication"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// suspicion is a reason to change the primary.
type suspicion struct {
	cause   Cause
	primary state.DatabaseID
	term    state.Term
	// lastAlive is the last time at which the primary is known to have worked.
	lastAlive time.Time
	// disprovedAfter is the time after which any contact of a replica or another
	// owner with the primary disproves the suspicion.
	disprovedAfter time.Time
}

// samePrimary reports whether other is a suspicion of the same primary in the
// same term. The causes may differ.
func (s suspicion) samePrimary(other suspicion) bool {
	return other.cause != "" && s.primary == other.primary && s.term == other.term
}

// detector derives suspicions from successive views of a group.
type detector struct {
	// leaderlessSince is when the group was first seen without a primary. It
	// starts anew at each higher term.
	leaderlessSince time.Time
	strandedSince   time.Time
	highestTerm     state.Term
}

// assess returns the suspicion that the view justifies, if any.
func (d *detector) assess(view replication.View, now time.Time) (suspicion, bool) {
	termRose := view.HighestTerm != d.highestTerm
	d.highestTerm = view.HighestTerm
	if view.Primary == "" {
		d.strandedSince = time.Time{}
		return d.assessLeaderless(view, termRose, now)
	}
	d.leaderlessSince = time.Time{}
	primary, _ := view.Database(view.Primary)
	if s, suspected := assessSilence(view, primary, now); suspected {
		return s, true
	}
	if s, suspected := assessIsolation(view, primary, now); suspected {
		return s, true
	}
	return d.assessStranded(view, primary, termRose, now)
}

// assessSilence detects a dead or frozen primary. An overloaded primary, or one
// whose existing connection became silent, is not suspected: it responds on a new
// connection, and the Watcher then reports no failure.
func assessSilence(view replication.View, primary replication.DatabaseView, now time.Time) (suspicion, bool) {
	s := suspicion{primary: view.Primary, term: view.Term, lastAlive: primary.RespondedAt}
	if primary.Health.Refused >= deadAfterRefusals {
		s.cause = CauseDead
		s.disprovedAfter = primary.Health.RefusedSince
		return s, true
	}
	if primary.Health.Failures > 0 && now.Sub(primary.RespondedAt) >= frozenAfter {
		s.cause = CauseFrozen
		s.disprovedAfter = primary.RespondedAt.Add(contactGrace)
		return s, true
	}
	return suspicion{}, false
}

// assessIsolation detects a primary that responds while its replication reaches
// too few databases for a majority.
func assessIsolation(view replication.View, primary replication.DatabaseView, now time.Time) (suspicion, bool) {
	reached := len(view.Databases)
	lastContact := time.Time{}
	for _, database := range view.Databases {
		status := database.Status
		follows := database.Responded && status.Role == state.RoleReplica && status.Term == view.Term
		if follows && status.PrimaryContactAge >= isolatedAfter && database.Age < contactGrace {
			reached--
			contact := database.SentAt.Add(-status.PrimaryContactAge)
			if contact.After(lastContact) {
				lastContact = contact
			}
		}
	}
	if primary.Health.Failures > 0 || reached >= majorityOf(view) {
		return suspicion{}, false
	}
	return suspicion{
		cause: CauseIsolated, primary: view.Primary, term: view.Term,
		lastAlive: lastContact, disprovedAfter: now,
	}, true
}

func (d *detector) assessLeaderless(view replication.View, termRose bool, now time.Time) (suspicion, bool) {
	if d.leaderlessSince.IsZero() || termRose {
		d.leaderlessSince = now
	}
	if now.Sub(d.leaderlessSince) < leaderlessAfter {
		return suspicion{}, false
	}
	return suspicion{
		cause: CauseLeaderless, term: view.HighestTerm,
		lastAlive: d.leaderlessSince, disprovedAfter: d.leaderlessSince.Add(contactGrace),
	}, true
}

// assessStranded detects a database that a promoter fenced before it abandoned
// its attempt. Such a database cannot follow the primary, whose term is lower.
func (d *detector) assessStranded(
	view replication.View, primary replication.DatabaseView, termRose bool, now time.Time,
) (suspicion, bool) {
	if view.HighestTerm <= view.Term {
		d.strandedSince = time.Time{}
		return suspicion{}, false
	}
	if d.strandedSince.IsZero() || termRose {
		d.strandedSince = now
	}
	if now.Sub(d.strandedSince) < strandedAfter {
		return suspicion{}, false
	}
	return suspicion{
		cause: CauseStranded, primary: view.Primary, term: view.Term,
		lastAlive: primary.RespondedAt, disprovedAfter: now,
	}, true
}

func majorityOf(view replication.View) int {
	return len(view.Databases)/2 + 1
}

// majorityReachable reports whether a majority of the databases responded
// to requests sent after since, so that it can be fenced and its contacts with
// the primary are known.
func majorityReachable(view replication.View, since time.Time) bool {
	count := 0
	for _, database := range view.Databases {
		if database.Responded && database.Health.Failures == 0 && database.SentAt.After(since) {
			count++
		}
	}
	return count >= majorityOf(view)
}
