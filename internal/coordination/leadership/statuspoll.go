package leadership

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// statusPoll asks databases for their status again and again, each on its own, so that
// a slow one holds up no other. A query that gets no reply is followed by one that
// waits twice as long: the connection may have gone silent, or the database may be slow.
type statusPoll struct {
	manager *Manager
	// cancel ends the queries.
	cancel context.CancelFunc
	ctx    context.Context
	// replied is signalled with each reply or failure.
	replied chan struct{}

	// mu is a leaf.
	mu     sync.Mutex
	states map[state.DatabaseID]polledStatus
}

// polledStatus is what is known of a polled database.
type polledStatus struct {
	candidate
	// replied is set once the database has replied; failing is set if the last query
	// got no reply. asked is set once a query has ended, alive once the database has given
	// a sign of life.
	replied, failing, asked, alive bool
}

func (m *Manager) newStatusPoll(ctx context.Context) *statusPoll {
	ctx, cancel := context.WithCancel(ctx)
	return &statusPoll{manager: m, ctx: ctx, cancel: cancel, replied: make(chan struct{}, 1), states: make(map[state.DatabaseID]polledStatus)}
}

// ask starts to poll a database, unless it is polled already, and returns what is known
// of it. From now on its given run is asked.
func (p *statusPoll) ask(server state.Server) polledStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, polled := p.states[server.ID]
	known.server = server
	p.states[server.ID] = known
	if !polled {
		go p.poll(server.ID)
	}
	return known
}

// reply returns the last reply of a database that is polled from now on at the latest.
// A nil poll has none.
func (p *statusPoll) reply(server state.Server) (candidate, bool) {
	if p == nil {
		return candidate{}, false
	}
	known := p.ask(server)
	return known.candidate, known.replied
}

func (p *statusPoll) poll(id state.DatabaseID) {
	for timeout := statusTimeout; p.ctx.Err() == nil; {
		server := p.asked(id)
		ctx, cancel := context.WithTimeout(p.ctx, timeout)
		status, err := p.manager.Databases.Status(ctx, server)
		cancel()
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			p.manager.Log.Warn().Err(err).Str("database", string(server.ID)).Msg("failed to query the status of a candidate")
			timeout = min(2*timeout, maxStatusTimeout)
		}
		p.record(server, status, err)
		state.Pause(p.ctx, statusInterval)
	}
}

// asked returns the run of a polled database that is to be asked.
func (p *statusPoll) asked(id state.DatabaseID) state.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[id].server
}

func (p *statusPoll) record(server state.Server, status state.ServerStatus, err error) {
	p.mu.Lock()
	known := p.states[server.ID]
	known.asked, known.alive = true, known.alive || !notReached(err)
	if known.failing = err != nil; err == nil {
		known.status, known.replied = status, true
	}
	p.states[server.ID] = known
	p.mu.Unlock()
	signal(p.replied)
}

// await waits for the next reply or failure, for up to the given time.
func (p *statusPoll) await(limit time.Duration) {
	state.PauseOrWake(p.ctx, limit, p.replied)
}
