package leadership

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// promote requests the promotion of a database and waits until it leads.
func (m *Manager) promote(ctx context.Context, attempt *changeAttempt, server state.Server) (state.ServerStatus, error) {
	deadline := m.Clock.Now().Add(promotionTimeout)
	var accepted bool
	var nextRequest state.Instant
	for {
		now := m.Clock.Now()
		if !accepted && now >= nextRequest {
			var err error
			if accepted, err = m.requestPromotion(ctx, attempt, server); err != nil {
				return state.ServerStatus{}, err
			}
			nextRequest = m.Clock.Now().Add(promoteInterval)
			if accepted && attempt.uncertain {
				// The database may report itself as primary of a superseded term
				// until the promotion takes effect.
				state.Pause(ctx, promotionSettles)
			}
		}
		if reply, ok := m.queryCandidate(ctx, directory.Entry{Server: server}); ok && attempt.isSuccessor(reply) {
			return reply.status, nil
		}
		if ctx.Err() != nil || m.Clock.Now() >= deadline {
			return state.ServerStatus{}, eris.Errorf("database %s does not lead %s after its promotion was requested", server.ID, promotionTimeout)
		}
		state.Pause(ctx, statusInterval)
	}
}

// requestPromotion sends one promotion call. It returns false if the call failed
// and must be repeated.
func (m *Manager) requestPromotion(ctx context.Context, attempt *changeAttempt, server state.Server) (bool, error) {
	if !m.dutyValid() {
		return false, eris.New("the promotion duty has expired")
	}
	if !m.isCurrent(attempt) {
		return false, eris.Wrapf(errSuperseded, "group %s, epoch %d", attempt.group, attempt.epoch)
	}
	sent := m.Clock.Now()
	err := m.Promoter.Promote(ctx, attempt.group, server.ID, m.Self, attempt.token)
	m.Log.Info().Err(err).Str("group", string(attempt.group)).Str("database", string(server.ID)).Uint64("epoch", attempt.epoch).
		Uint64("token", attempt.token).Dur("held_ms", m.Clock.Now().Sub(sent)).Msg("promotion requested")
	if errors.Is(err, state.ErrNotRunning) {
		return false, err
	}
	if err != nil && !errors.Is(err, state.ErrTooManyCalls) {
		m.markDutyUncertain()
	}
	return err == nil, nil
}

// isCurrent reports whether no later announcement than the attempt's is known.
func (m *Manager) isCurrent(attempt *changeAttempt) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.group(attempt.group).record.Epoch == attempt.epoch
}

// publish ends the change with a record of the new primary. From then on
// instances use it.
func (m *Manager) publish(ctx context.Context, attempt *changeAttempt, primary state.DatabaseID, status state.ServerStatus) error {
	// The condition on the announcement's version fails if another instance has taken
	// the change over meanwhile.
	record := Record{Epoch: attempt.epoch, Primary: primary, Term: status.Term, Start: status.Received, Promoter: m.runName}
	return m.withRetries(ctx, func(ctx context.Context) error {
		_, err := m.writeRecord(ctx, attempt.group, record, attempt.era, attempt.announceCommit.Version)
		return err
	})
}
