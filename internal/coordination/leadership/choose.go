package leadership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// errNoCandidate is returned for a group without a replica that can be promoted.
var errNoCandidate = errors.New("no eligible replica responded")

// candidate is a database that responded, with its status.
type candidate struct {
	server state.Server
	status state.ServerStatus
}

// chooseReplica returns the replica with the newest received position. It waits
// up to catchUpTimeout for a replica to receive the old primary's last writes.
// done is set if the returned database is primary already, by an earlier
// attempt. While a promotion call of an earlier attempt may still be carried out, it
// returns no other database than the one that the call makes primary.
func (m *Manager) chooseReplica(ctx context.Context, attempt *changeAttempt) (chosen candidate, done bool, err error) {
	deadline := m.Clock.Now().Add(catchUpTimeout)
	for {
		candidates := m.queryCandidates(ctx, attempt)
		successor, found := attempt.newestSuccessor(candidates)
		if found {
			m.endCarriedOut(attempt.group, successor)
		}
		if database, pending := m.pendingCall(attempt.group); pending && (!found || database != successor.server.ID || attempt.uncertain) {
			if ctx.Err() != nil {
				return candidate{}, false, eris.Wrapf(state.ErrNoAnswer, "promotion of %s", database)
			}
			deadline = m.Clock.Now().Add(catchUpTimeout)
			state.Pause(ctx, statusInterval)
			continue
		}
		if found {
			return successor, !attempt.uncertain, nil
		}
		late := m.Clock.Now() >= deadline
		candidates = slices.DeleteFunc(candidates, func(c candidate) bool { return !attempt.acceptable(c.status) })
		if len(candidates) > 0 && (late || candidates[0].status.Received.Covers(attempt.target)) {
			return candidates[0], false, nil
		}
		if late || ctx.Err() != nil {
			return candidate{}, false, eris.Wrapf(errNoCandidate, "group %s", attempt.group)
		}
		state.Pause(ctx, statusInterval)
	}
}

// newestSuccessor returns the database that leads the group in the highest term after
// the old primary, if there is one.
func (a *changeAttempt) newestSuccessor(candidates []candidate) (newest candidate, ok bool) {
	for _, found := range candidates {
		if a.isSuccessor(found) && (!ok || found.status.Term > newest.status.Term) {
			newest, ok = found, true
		}
	}
	return newest, ok
}

// queryCandidates returns the replicas that respond, ordered by received
// position, the newest first.
func (m *Manager) queryCandidates(ctx context.Context, attempt *changeAttempt) []candidate {
	var mu sync.Mutex
	var queries sync.WaitGroup
	var found []candidate
	for _, entry := range m.Directory.Servers(attempt.group) {
		if entry.ID == attempt.old || entry.Leaving {
			continue
		}
		queries.Go(func() {
			if reply, ok := m.queryCandidate(ctx, entry); ok {
				mu.Lock()
				found = append(found, reply)
				mu.Unlock()
			}
		})
	}
	queries.Wait()
	slices.SortFunc(found, func(a, b candidate) int {
		if c := b.status.Received.Compare(a.status.Received); c != 0 {
			return c
		}
		return cmp.Compare(a.server.ID, b.server.ID)
	})
	return found
}

func (m *Manager) queryCandidate(ctx context.Context, entry directory.Entry) (candidate, bool) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := m.Databases.Status(ctx, entry.Server)
	if err != nil {
		m.Log.Warn().Err(err).Str("database", string(entry.ID)).Msg("failed to query the status of a candidate")
		return candidate{}, false
	}
	return candidate{server: entry.Server, status: status}, true
}
