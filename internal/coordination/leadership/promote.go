package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// promote requests the promotion of a database and waits until it leads. The call is
// repeated only if it failed: one that is silent may be slow.
func (m *Manager) promote(ctx context.Context, attempt *changeAttempt, chosen candidate) (state.ServerStatus, error) {
	var deadline state.Instant
	var call *promotionCall
	var poll *statusPoll
	var accepted bool
	var nextCall state.Instant
	// A database that leads already may be the primary of a superseded term. If another one was
	// called last, only a later term shows that the promotion took effect.
	mayLead := attempt.uncertain || attempt.isSuccessor(chosen)
	leastTerm := chosen.status.Term
	if last := m.lastCalled(attempt.group); last != "" && last != chosen.server.ID {
		leastTerm++
	}
	for {
		if call == nil && m.Clock.Now() >= nextCall {
			var err error
			if call, err = m.startCall(ctx, attempt, chosen); err != nil {
				return state.ServerStatus{}, err
			}
			deadline = m.Clock.Now().Add(silentCallPatience)
		}
		answered, err := call.await(ctx, statusInterval)
		switch {
		case !answered:
		case errors.Is(err, state.ErrNotRunning):
			return state.ServerStatus{}, err
		case err != nil:
			call, nextCall = nil, m.Clock.Now().Add(promoteInterval)
		default:
			accepted, deadline = true, m.Clock.Now().Add(promotionTimeout)
			if mayLead {
				// The database may report itself as primary of a superseded term
				// until the promotion takes effect.
				state.Pause(ctx, promotionSettles)
			}
		}
		if poll == nil && (accepted || !mayLead) {
			poll = m.newStatusPoll(ctx)
			defer poll.cancel()
		}
		if reply, ok := poll.reply(chosen.server); ok && attempt.isSuccessor(reply) && reply.status.Term >= leastTerm {
			m.endCarriedOut(attempt.group, reply)
			m.logEffect(attempt, reply)
			return reply.status, nil
		}
		if ctx.Err() != nil || m.Clock.Now() >= deadline {
			return state.ServerStatus{}, eris.Errorf("database %s does not lead, promotion accepted %t", chosen.server.ID, accepted)
		}
	}
}

// await waits for the call's answer for up to the given time, or only waits if there is
// no call or its answer is known. It reports whether the answer came.
func (c *promotionCall) await(ctx context.Context, limit time.Duration) (answered bool, err error) {
	var answers chan error
	if c != nil {
		answers = c.answered
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-answers:
		return true, err
	case <-timer.C:
	case <-ctx.Done():
	}
	return false, nil
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
