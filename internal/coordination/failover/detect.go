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
	// lastSign is when the primary last showed that it works.
	lastSign time.Time
	// clearedBy is the time after which a contact of anybody else with the
	// primary disproves the suspicion.
	clearedBy time.Time
}

// sameAs reports whether both are of the same primary, for whatever cause.
func (s suspicion) sameAs(other suspicion) bool {
	return other.cause != "" && s.primary == other.primary && s.term == other.term
}

// detector derives suspicions from successive views.
type detector struct {
	// leaderlessSince is when the present state without a primary began.
	leaderlessSince time.Time
	strandedSince   time.Time
	highestTerm     state.Term
}

// assess returns the suspicion that view supports, if any.
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

// assessSilence tells a dead primary and a frozen one from an overloaded one
// and from a silent path: the last two answer a new connection, and the
// Watcher then reports no failure.
func assessSilence(view replication.View, primary replication.DatabaseView, now time.Time) (suspicion, bool) {
	s := suspicion{primary: view.Primary, term: view.Term, lastSign: primary.RespondedAt}
	if primary.Health.Refused >= refusalsOfDead {
		s.cause = CauseDead
		s.clearedBy = primary.Health.RefusedSince
		return s, true
	}
	if primary.Health.Failures > 0 && now.Sub(primary.RespondedAt) >= frozenAfter {
		s.cause = CauseFrozen
		s.clearedBy = primary.RespondedAt.Add(contactGrace)
		return s, true
	}
	return suspicion{}, false
}

// assessIsolation finds a primary that answers and whose replication reaches
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
		lastSign: lastContact, clearedBy: now,
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
		lastSign: d.leaderlessSince, clearedBy: d.leaderlessSince.Add(contactGrace),
	}, true
}

// assessStranded finds a database that a promoter fenced and then left. It
// cannot follow the primary, whose term is lower.
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
		lastSign: primary.RespondedAt, clearedBy: now,
	}, true
}

func majorityOf(view replication.View) int {
	return len(view.Databases)/2 + 1
}

// reachable reports whether a majority answered requests sent after since, so
// that it could be fenced and its contacts are known.
func reachable(view replication.View, since time.Time) bool {
	count := 0
	for _, database := range view.Databases {
		if database.Responded && database.Health.Failures == 0 && database.SentAt.After(since) {
			count++
		}
	}
	return count >= majorityOf(view)
}
