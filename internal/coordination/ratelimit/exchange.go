package ratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// tick keeps up the pledges, changes homes that don't answer and returns permits that
// are not needed.
func (l *Limiter) tick() {
	now := l.Clock.Now()
	table := l.Routes()
	standing, known := l.readStanding(now)
	homes, unforgotten := l.possibleHomes(now)
	l.mu.Lock()
	l.adopt(table, now)
	if known {
		l.applyStanding(standing, now)
	}
	if unforgotten {
		l.askToForget(homes, now)
	}
	maps.DeleteFunc(l.avoided, func(_ state.InstanceID, of avoidance) bool { return of.until <= now })
	for _, h := range l.homes {
		h.advance(now)
	}
	if len(l.stocks) > 0 && !l.leaving {
		for id, s := range l.stocks {
			if s.giveBack(now, min(returnBefore, l.Tolerance.permitLife()/2)); s.back > 0 || len(s.waiters) > 0 {
				l.links[shardOf(id)].pending[id] = struct{}{}
			}
		}
		for _, link := range l.links {
			l.tend(link, now)
		}
	}
	l.flush()
}

// readStanding reads the instances' rows, if those known here are due to be read again.
func (l *Limiter) readStanding(now state.Instant) (leadership.Standing, bool) {
	l.mu.Lock()
	due, instances := l.standingAt == 0 || now.Sub(l.standingAt) >= standingInterval, l.share.instances
	l.mu.Unlock()
	if !due {
		return leadership.Standing{}, false
	}
	return l.Membership.Standing(liveWithin(instances))
}

// applyStanding takes over the instances and this one's share. The caller must hold
// l.mu.
func (l *Limiter) applyStanding(standing leadership.Standing, now state.Instant) {
	if l.renewedAt != 0 && standing.RenewedAt-l.renewedAt > minRowsAge {
		// Others may not have counted this instance for a while.
		l.resumedAt = standing.RenewedAt
	}
	if standing.RenewedAt < l.renewedAt {
		l.resumedAt = 0 // the store's clock is another one
	}
	l.standingAt, l.renewedAt = now, standing.RenewedAt
	standing.Joined = max(standing.Joined, l.resumedAt)
	l.share = shareOf(standing, now)
	if standing.ReadAt == l.rankedAt {
		return
	}
	l.rankedAt = standing.ReadAt
	for _, link := range l.links {
		link.rank(standing.Instances)
	}
}

// tend keeps up the relation to one shard's home. The caller must hold l.mu.
func (l *Limiter) tend(link *link, now state.Instant) {
	for sequence, sent := range link.unanswered {
		if now.Sub(sent.at) > answerWait {
			l.settle(sent)
			delete(link.unanswered, sequence)
		}
	}
	if link.silent(now) {
		l.avoided[link.home] = avoidance{until: now.Add(avoidFor)}
	}
	best, found := link.best(l.avoided)
	_, avoided := l.avoided[link.home]
	switch {
	case !found:
	case link.home == "" || avoided:
		l.changeHome(link, best, now)
	case best.Name != link.home && now.Sub(link.prospectAt) >= prospectInterval:
		link.prospect, link.prospectAt = best.Name, now
		l.send(link, best, &message{}, now)
	}
	refresh := pledgeLength(l.share.instances) / refreshesPerPledge
	quiet := now.Sub(link.lastSent)
	l.transmit(link, now, quiet >= refresh || link.due && l.mayPledge(link, now) && quiet >= tickInterval || now.Sub(link.pledgedAt) >= refresh && quiet >= refresh/2)
}

// changeHome uses another home for a shard. The caller must hold l.mu.
func (l *Limiter) changeHome(link *link, next leadership.InstanceRow, now state.Instant) {
	l.Log.Info().Uint8("shard", link.shard).Str("from", string(link.home)).Str("home", string(next.Name)).
		Float64("weight", link.weight).Dur("pledged_ms", max(0, link.pledgedUntil.Sub(now))).Msg("home of limits changed")
	if old, known := link.row(link.pledgedTo); known && link.pledgedTo != next.Name && now < link.pledgedUntil {
		link.withdrawal = link.sequence + 1
		l.send(link, old, &message{Pledge: &pledge{}}, now)
	}
	link.switchTo(next)
}

// ask asks for permits of a workspace if it needs some. The caller must hold l.mu.
func (l *Limiter) ask(link *link, workspace state.WorkspaceID, now state.Instant) {
	link.pending[workspace] = struct{}{}
	l.transmit(link, now, false)
}

// transmit tells the home what the workspaces of a shard need or return. Without
// anything to tell it sends a message only if force is set. The caller must hold l.mu.
func (l *Limiter) transmit(link *link, now state.Instant, force bool) {
	if link.home == "" {
		return
	}
	m := &message{Nonce: link.nonce}
	for id := range link.pending {
		if len(m.Items) == maxItems {
			break
		}
		delete(link.pending, id)
		s, known := l.stocks[id]
		if !known {
			continue
		}
		it := item{Workspace: id, Count: s.wanted(now, l.Tolerance.permitLife()), Back: s.back}
		if it.Count == 0 && it.Back == 0 {
			continue
		}
		if link.version < l.table.Version && link.nonce.Run != 0 {
			it.Limit = &limit{PerSecond: s.limit.PerSecond, Burst: s.limit.Burst}
		}
		s.asked += it.Count
		s.back = 0
		m.Items = append(m.Items, it)
	}
	if len(m.Items) == 0 && !force {
		return
	}
	l.addPledge(link, m, now)
	l.send(link, leadership.InstanceRow{Name: link.home, Address: link.address}, m, now)
}

// mayPledge reports whether this instance has a share that it may pledge to the home.
// The caller must hold l.mu.
func (l *Limiter) mayPledge(link *link, now state.Instant) bool {
	return l.earlierPledgesOver(now) && !l.leaving && l.share.valid(now) && link.mayPledge(now)
}

// addPledge pledges this instance's share to the home, if it has one that is pledged
// nowhere else. The caller must hold l.mu.
func (l *Limiter) addPledge(link *link, m *message, now state.Instant) {
	if !l.mayPledge(link, now) {
		return
	}
	length := pledgeLength(l.share.instances)
	end := link.nonceAt.Add(withDrift(length))
	if now.Add(length/2) > end {
		link.due = true // the answer brings a newer nonce
		return
	}
	m.Pledge = &pledge{Denominator: l.share.denominator, Length: length}
	link.pledgedTo, link.pledgedUntil = link.home, max(link.pledgedUntil, end)
	link.pledgedAt, link.due, link.withdrawal = now, false, 0
}

// send sends a message to an instance as the home of a shard. The caller must hold l.mu.
func (l *Limiter) send(link *link, to leadership.InstanceRow, m *message, now state.Instant) {
	m.Kind, m.Shard, m.From, m.Run = kindAsk, link.shard, l.Self, l.Config.Run
	if l.table != nil {
		m.Configuration = l.table.Version
	}
	m.Sequence = link.sent(to.Name, m.Items, now)
	if to.Name != l.Self {
		l.outgoing = append(l.outgoing, outgoing{address: to.Address, message: m})
	} else if answer := l.answer(m, now); answer != nil {
		l.receiveGrant(answer, now)
	}
}

// settle ends the wait for an answer. The caller must hold l.mu.
func (l *Limiter) settle(sent sentAsk) {
	for _, it := range sent.items {
		if s, known := l.stocks[it.Workspace]; known {
			s.asked = max(0, s.asked-it.Count)
		}
	}
}

// receiveGrant handles a home's answer. The caller must hold l.mu.
func (l *Limiter) receiveGrant(m *message, now state.Instant) {
	link := l.links[m.Shard]
	sent, expected := link.unanswered[m.Sequence]
	if m.Run != l.Config.Run || !expected {
		return
	}
	m.From = sent.to
	delete(link.unanswered, m.Sequence)
	l.settle(sent)
	if link.withdrawal != 0 && m.Sequence == link.withdrawal {
		link.withdrawal, link.pledgedTo, link.pledgedUntil, link.due = 0, "", 0, true
	}
	if row, known := link.row(link.prospect); known && m.From == link.prospect && m.From != link.home {
		l.changeHome(link, row, now)
	}
	if m.From == link.home {
		link.waiting, link.version, link.weight = false, m.Configuration, float64(m.Weight)
		if m.Nonce.Run != link.nonce.Run || m.Nonce.At > link.nonce.At {
			link.nonce, link.nonceAt = m.Nonce, now
		}
	}
	until := sent.at.Add(l.Tolerance.permitLife())
	for i, it := range m.Items {
		if s, known := l.stocks[it.Workspace]; known && i < len(sent.items) {
			l.receiveItem(s, it, it.Count < sent.items[i].Count, float64(m.Weight), until, now)
		}
	}
	if link.due && m.From == link.home && link.home != l.Self {
		l.transmit(link, now, l.mayPledge(link, now))
	}
}

// receiveItem takes over granted permits. If the home had too few, the operations for
// which there are none are not kept waiting. The caller must hold l.mu.
func (l *Limiter) receiveItem(s *stock, it item, short bool, weight float64, until, now state.Instant) {
	s.receive(it.Count, until, now)
	if !short {
		return
	}
	wait := time.Duration(it.WaitMillis) * time.Millisecond
	if weight < fullWeight {
		wait = min(wait, partialWait)
	}
	s.emptyUntil = max(s.emptyUntil, now.Add(wait))
	for weight >= fullWeight && len(s.waiters) > s.asked {
		s.answerFirst(false)
	}
}

// receiveLeave handles the message that a home is leaving. The caller must hold l.mu.
func (l *Limiter) receiveLeave(m *message, now state.Instant) {
	link := l.links[m.Shard]
	l.avoided[m.From] = avoidance{until: now.Add(leaveTime), run: m.Nonce.Run}
	if m.From != link.pledgedTo || m.From != link.home || m.Nonce.Run != link.nonce.Run {
		return
	}
	link.pledgedTo, link.pledgedUntil = "", 0
	if best, found := link.best(l.avoided); found {
		l.changeHome(link, best, now)
		l.transmit(link, now, true)
	}
}

// leaveTime is how long an instance that is leaving is not used as a home: until its
// row is gone from the others' view.
const leaveTime = 10 * time.Second

// Leave withdraws this instance's pledges and ends those that it holds.
func (l *Limiter) Leave() {
	now := l.Clock.Now()
	l.mu.Lock()
	l.leaving = true
	for shard, h := range l.homes {
		link := l.links[shard]
		if row, known := link.row(link.pledgedTo); known && now < link.pledgedUntil {
			l.send(link, row, &message{Pledge: &pledge{}}, now)
		}
		for _, name := range slices.Sorted(maps.Keys(h.askers)) {
			if row, known := link.row(name); known && name != l.Self {
				l.outgoing = append(l.outgoing, outgoing{address: row.Address, message: &message{
					Kind: kindLeave, Shard: h.shard, From: l.Self, Nonce: nonce{Run: l.Config.Run, At: now},
				}})
			}
		}
		h.leaving = true
	}
	l.flush()
}
