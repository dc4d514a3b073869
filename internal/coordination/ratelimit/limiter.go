package ratelimit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Messenger sends datagrams to other instances. Datagrams may be lost.
type Messenger interface {
	Send(address string, message []byte)
}

// Membership knows the instances.
type Membership interface {
	Standing(within time.Duration) (leadership.Standing, bool)
}

// Config holds the dependencies of a limiter.
type Config struct {
	Self state.InstanceID
	// Run increases with each run of the instance.
	Run        int64
	Tolerance  Tolerance
	Membership Membership
	// Routes returns the configuration, nil while there is none.
	Routes    func() *state.RoutingTable
	Messenger Messenger
	Clock     state.Clock
	Log       zerolog.Logger
	// RequestLog is the logger of lines on refused operations.
	RequestLog zerolog.Logger
}

// Limiter admits operations of workspaces within their limits over all instances.
type Limiter struct {
	Config
	startedAt state.Instant

	mu      sync.Mutex
	share   share
	links   [shardCount]*link
	homes   [shardCount]*home
	stocks  map[state.WorkspaceID]*stock
	table   *state.RoutingTable
	avoided map[state.InstanceID]avoidance
	leaving bool
	// forgetting is about the pledges of earlier runs of this instance.
	forgetting forgetting
	outgoing   []outgoing
	// renewedAt is the last renewal of the own row, and resumedAt the one that ended a
	// gap in which others may have stopped counting this instance.
	renewedAt, resumedAt time.Duration
	standingAt           state.Instant
	// rankedAt is when the rows were read by which the homes are ranked.
	rankedAt time.Duration
}

// outgoing is a message to be sent once the lock is released.
type outgoing struct {
	address string
	message *message
}

// New returns a limiter, which asks nobody until Run is called.
func New(config Config) *Limiter {
	if config.Tolerance.Window == 0 {
		config.Tolerance = defaultTolerance
	}
	l := &Limiter{Config: config, startedAt: config.Clock.Now(), stocks: make(map[state.WorkspaceID]*stock), avoided: make(map[state.InstanceID]avoidance)}
	for shard := range l.links {
		l.links[shard] = newLink(uint8(shard))
		l.homes[shard] = newHome(config.Run, uint8(shard), config.Tolerance, l.startedAt)
	}
	return l
}

// Run keeps up the relation to the homes until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	state.Every(ctx, tickInterval, l.tick)
}

// Admit waits briefly for a permit. If the operation is not admitted, retryAfter says
// when the caller may return.
func (l *Limiter) Admit(ctx context.Context, workspace state.WorkspaceID) (retryAfter time.Duration, admitted bool) {
	table := l.Routes()
	if table == nil || table.Workspaces[workspace].Limit.IsZero() {
		return 0, true
	}
	now := l.Clock.Now()
	l.mu.Lock()
	l.adopt(table, now)
	s, known := l.stocks[workspace]
	if !known { // a newer configuration has no limit
		l.mu.Unlock()
		return 0, true
	}
	w, admitted := l.request(workspace, s, now)
	l.flush()
	if w != nil {
		admitted = l.await(ctx, workspace, s, w)
	}
	if admitted {
		return 0, true
	}
	return l.refuse(workspace, s), false
}

// request admits an operation or refuses it by what is known here. If the home must be
// asked, it returns a waiter. The caller must hold l.mu.
func (l *Limiter) request(workspace state.WorkspaceID, s *stock, now state.Instant) (w *waiter, admitted bool) {
	link := l.links[shardOf(workspace)]
	s.decay(now)
	s.demand++
	if s.takePermit(now) {
		l.ask(link, workspace, now)
		return nil, true
	}
	partial := link.weight < fullWeight || link.silent(now)
	if partial && l.admitUnaided(s, now) {
		return nil, true
	}
	if now < s.emptyUntil && !partial || len(s.waiters) >= maxWaiters {
		return nil, false
	}
	w = &waiter{result: make(chan bool, 1), wait: answerWait}
	if partial {
		w.wait = partialAnswerWait
	}
	s.waiters = append(s.waiters, w)
	l.ask(link, workspace, now)
	return w, false
}

// await waits for the home's answer. It decides without it if there is none in time.
func (l *Limiter) await(ctx context.Context, workspace state.WorkspaceID, s *stock, w *waiter) bool {
	ctx, cancel := context.WithTimeout(ctx, w.wait)
	defer cancel()
	select {
	case admitted := <-w.result:
		return admitted
	case <-ctx.Done():
		return l.giveUp(workspace, s, w)
	}
}

// giveUp ends the wait for an answer.
func (l *Limiter) giveUp(workspace state.WorkspaceID, s *stock, w *waiter) (admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if admitted, answered := s.abandon(w); answered {
		return admitted
	}
	metrics.GetOrCreateCounter(`cyclamenpin_limits_unanswered_total`).Inc()
	l.Log.Debug().Str("workspace", string(workspace)).Str("peer", string(l.links[shardOf(workspace)].home)).Msg("no answer on a limit in time")
	return l.admitUnaided(s, l.Clock.Now())
}

// admitUnaided admits an operation without a permit, within this instance's share of
// what the limit tolerates in excess. An earlier run may have used the share in the
// first Window of this one. The caller must hold l.mu.
func (l *Limiter) admitUnaided(s *stock, now state.Instant) bool {
	if !l.share.valid(now) || now.Sub(l.startedAt) < withDrift(l.Tolerance.Window) {
		return false
	}
	allowed := int(l.Tolerance.withoutPermit(s.limit) / float64(l.share.denominator))
	if !s.takeUnaided(now, withDrift(l.Tolerance.Window), allowed) {
		return false
	}
	s.admitted++
	s.admittedUnaided++
	return true
}

// refuse records a refusal and returns when the caller may return: when the limit has
// room for the operations refused in the last second, at a random place among them.
func (l *Limiter) refuse(workspace state.WorkspaceID, s *stock) time.Duration {
	now := l.Clock.Now()
	l.mu.Lock()
	s.decay(now)
	s.refusals++
	s.refused++
	wait := max(0, s.emptyUntil.Sub(now))
	ownRate := s.limit.PerSecond / float64(max(1, l.share.instances))
	partial := l.links[shardOf(workspace)].weight < fullWeight
	missed, ofLimit, home := s.refusals, s.limit, l.links[shardOf(workspace)].home
	demand := s.demand
	l.mu.Unlock()
	if partial { // what was missed will be admitted soon
		wait, missed = partialRetry, ownRate*partialRetry.Seconds()
	}
	retryAfter := min(max(l.Tolerance.Window, maxWait), wait+time.Duration(rand.Float64()*missed/ownRate*float64(time.Second)))
	l.RequestLog.Warn().Str("workspace", string(workspace)).Float64("limit", ofLimit.PerSecond).Float64("burst", ofLimit.Burst).
		Float64("asked_here", demand).Float64("refused_here", missed).Str("home", string(home)).Dur("bucket_wait_ms", wait).
		Dur("retry_after_ms", retryAfter).Msg("operation refused: the workspace's limit is reached")
	return retryAfter
}

// Return gives back the permit of an operation of which nothing reached a database.
func (l *Limiter) Return(workspace state.WorkspaceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, known := l.stocks[workspace]; known {
		s.back++
		l.links[shardOf(workspace)].pending[workspace] = struct{}{}
	}
}

// Receive handles a message from another instance and returns the response, or nil if
// there is none to send.
func (l *Limiter) Receive(datagram []byte) []byte {
	m, err := decodeMessage(datagram)
	if err != nil {
		l.Log.Warn().Err(err).Int("bytes", len(datagram)).Msg("message on limits ignored")
		return nil
	}
	now := l.Clock.Now()
	l.mu.Lock()
	var answer *message
	switch m.Kind {
	case kindAsk:
		if of, found := l.avoided[m.From]; found && m.Run > of.run {
			delete(l.avoided, m.From) // it may be back
		}
		answer = l.answer(m, now)
	case kindGrant:
		l.receiveGrant(m, now)
	case kindLeave:
		l.receiveLeave(m, now)
	case kindForget:
		answer = l.forget(m, now)
	case kindForgotten:
		l.receiveForgotten(m)
	}
	l.flush()
	if answer == nil {
		return nil
	}
	encoded, err := answer.encode()
	if err != nil {
		l.Log.Error().Err(err).Str("peer", string(m.From)).Msg("answer on limits not sent")
	}
	return encoded
}

// answer answers as the home of a shard. The caller must hold l.mu.
func (l *Limiter) answer(m *message, now state.Instant) *message {
	if l.table == nil {
		return nil // the limits are not known yet
	}
	return l.homes[m.Shard].handle(m, now)
}

// adopt applies a configuration if it is newer. The caller must hold l.mu.
func (l *Limiter) adopt(table *state.RoutingTable, now state.Instant) {
	if table == nil || table == l.table || l.table != nil && table.Version < l.table.Version {
		return
	}
	l.table = table
	for id, workspace := range table.Workspaces {
		if workspace.Limit.IsZero() {
			continue
		}
		if l.stocks[id] == nil {
			l.stocks[id] = &stock{decayedAt: now}
		}
		l.stocks[id].limit = workspace.Limit
	}
	for id, s := range l.stocks {
		if !table.Workspaces[id].Limit.IsZero() {
			continue
		}
		for len(s.waiters) > 0 {
			s.answerFirst(true)
		}
		delete(l.stocks, id)
	}
	for _, h := range l.homes {
		h.configure(table.Version, table.Workspaces, now)
	}
}

// flush releases the lock and sends the messages that were left for it.
func (l *Limiter) flush() {
	pending := l.outgoing
	l.outgoing = nil
	l.mu.Unlock()
	for _, out := range pending {
		encoded, err := out.message.encode()
		if err != nil {
			l.Log.Error().Err(err).Str("peer", out.address).Msg("message on limits not sent")
			continue
		}
		l.Messenger.Send(out.address, encoded)
	}
}
