package leadership

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// withdrawal says how it is known that no instance uses a group's old primary.
type withdrawal struct {
	// acknowledged instances have stopped using it. lapsed ones have not said so, and
	// can't hold a lease any more.
	acknowledged, lapsed []state.InstanceID
}

// withdrawal sorts the other instances with a row by whether they have acknowledged an
// epoch.
func (m *members) withdrawal(self state.InstanceID, id state.GroupID, epoch uint64) withdrawal {
	var found withdrawal
	for name, entry := range m.byName {
		switch {
		case name == self:
		case entry.heartbeat.Acknowledged[id] >= epoch:
			found.acknowledged = append(found.acknowledged, name)
		default:
			found.lapsed = append(found.lapsed, name)
		}
	}
	slices.Sort(found.acknowledged)
	slices.Sort(found.lapsed)
	return found
}

// logWithdrawal logs on whom a change relies when it goes on, and which version of the
// instances' rows it went by.
func (m *Manager) logWithdrawal(attempt *changeAttempt) {
	m.mu.Lock()
	found := m.members.withdrawal(m.Self, attempt.group, attempt.epoch)
	rows := m.members.version
	m.mu.Unlock()
	instancesLapsed.Add(len(found.lapsed))
	m.Log.Info().Str("group", string(attempt.group)).Uint64("epoch", attempt.epoch).Str("old", string(attempt.old)).
		Interface("acknowledged", found.acknowledged).Interface("lapsed", found.lapsed).Uint64("announced_version", attempt.announceCommit.Version).Uint64("rows_version", rows).
		Bool("stepped_down", attempt.final).Stringer("target", attempt.target).Msg("no instance uses the old primary any more")
}

// logSending logs a promotion call before it is sent: a promoter that is killed logs no
// answer.
func (m *Manager) logSending(attempt *changeAttempt, call *promotionCall) {
	m.Log.Info().Str("group", string(call.Group)).Str("database", string(call.Database)).Uint64("epoch", attempt.epoch).
		Uint64("token", attempt.token).Uint64("call", call.Number).Bool("repeated", call.Repeated).Msg("sending a promotion call")
}

// logEffect logs that a promoted database leads.
func (m *Manager) logEffect(attempt *changeAttempt, reply candidate) {
	m.Log.Info().Str("group", string(attempt.group)).Uint64("epoch", attempt.epoch).Uint64("token", attempt.token).
		Str("database", string(reply.server.ID)).Uint64("term", uint64(reply.status.Term)).Stringer("received", reply.status.Received).
		Dur("changing_ms", m.Clock.Now().Sub(attempt.since)).Msg("the promoted database leads")
}

// logAcquiredDuty logs from whom this instance has taken the promotion duty over.
func (m *Manager) logAcquiredDuty(previous dutyRecord, token uint64) {
	m.Log.Info().Uint64("token", token).Str("previous_holder", previous.Holder).Uint64("previous_token", previous.Token).
		Int("previous_calls", len(previous.Calls)).Msg("promotion duty acquired")
}

var instancesLapsed = metrics.GetOrCreateCounter(`cyclamenpin_instances_lapsed_in_changes_total`)

func promotionCallsTotal(result string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`cyclamenpin_promotion_calls_total{result="` + result + `"}`)
}
