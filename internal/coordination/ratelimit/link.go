package ratelimit

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// link is this instance's relation to the home of one shard. It is pure state.
type link struct {
	shard uint8
	// home is the instance that is asked; it is empty while none is known.
	home    state.InstanceID
	address string
	// nonce is the last one of the home, received at nonceAt.
	nonce   nonce
	nonceAt state.Instant
	// pledgedTo may hold this instance's pledge until pledgedUntil.
	pledgedTo    state.InstanceID
	pledgedUntil state.Instant
	// withdrawal is the sequence number of the message that withdraws it, if any.
	withdrawal uint64
	sequence   uint64
	// unanswered are the messages without an answer yet.
	unanswered map[uint64]sentAsk
	// waitingSince is when the first message was sent that nothing followed, and
	// lastSent when the last one was.
	waitingSince, lastSent state.Instant
	waiting                bool
	// version is that of the home's configuration, and weight the sum of its pledges.
	version uint64
	weight  float64
	// prospect is the instance that should be the home and was asked at prospectAt
	// whether it answers.
	prospect   state.InstanceID
	prospectAt state.Instant
	// due is set if a pledge is to be sent at once, and pledgedAt when the last was.
	due       bool
	pledgedAt state.Instant
	// ranking lists the live instances, the shard's preferred home first.
	ranking []leadership.InstanceRow
	// pending are the workspaces with something to tell the home.
	pending map[state.WorkspaceID]struct{}
}

// avoidance is why an instance is not used as a home for a while.
type avoidance struct {
	until state.Instant
	// run is the run that is leaving, 0 if the instance was silent.
	run int64
}

// sentAsk is a message that the home has not answered.
type sentAsk struct {
	to    state.InstanceID
	at    state.Instant
	items []item
}

func newLink(shard uint8) *link {
	return &link{shard: shard, unanswered: make(map[uint64]sentAsk), pending: make(map[state.WorkspaceID]struct{})}
}

// rank orders the instances by preference as the shard's home. A lost instance's
// shards spread over the others, and nothing else moves.
func (l *link) rank(rows []leadership.InstanceRow) {
	type scored struct {
		leadership.InstanceRow
		score uint64
	}
	ranked := make([]scored, 0, len(rows))
	for _, row := range rows {
		ranked = append(ranked, scored{row, xxhash.Sum64String(string([]byte{'l', l.shard}) + string(row.Name))})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.Name, b.Name))
	})
	l.ranking = make([]leadership.InstanceRow, 0, len(rows))
	for _, of := range ranked {
		l.ranking = append(l.ranking, of.InstanceRow)
	}
}

// mayPledge reports whether a pledge to the home can't coincide with one elsewhere.
func (l *link) mayPledge(now state.Instant) bool {
	return l.nonce.Run != 0 && (l.pledgedTo == l.home || l.pledgedTo == "" || now >= l.pledgedUntil)
}

// silent reports whether the home has left messages unanswered for too long.
func (l *link) silent(now state.Instant) bool {
	return l.waiting && now.Sub(l.waitingSince) > silentAfter
}

// switchTo makes another instance the home.
func (l *link) switchTo(row leadership.InstanceRow) {
	l.home, l.address = row.Name, row.Address
	l.nonce, l.waiting, l.version, l.weight, l.prospect = nonce{}, false, 0, 0, ""
	l.due, l.lastSent = true, 0
}

// sent records a message to the home.
func (l *link) sent(to state.InstanceID, items []item, now state.Instant) uint64 {
	l.sequence++
	l.unanswered[l.sequence] = sentAsk{to: to, at: now, items: items}
	if to == l.home {
		l.lastSent = now
		if !l.waiting {
			l.waiting, l.waitingSince = true, now
		}
	}
	return l.sequence
}

// best returns the preferred home among those that are not avoided.
func (l *link) best(avoided map[state.InstanceID]avoidance) (leadership.InstanceRow, bool) {
	for _, row := range l.ranking {
		if _, avoid := avoided[row.Name]; !avoid && row.Address != "" {
			return row, true
		}
	}
	return leadership.InstanceRow{}, false
}

// row returns the row of an instance in the ranking.
func (l *link) row(name state.InstanceID) (leadership.InstanceRow, bool) {
	i := slices.IndexFunc(l.ranking, func(row leadership.InstanceRow) bool { return row.Name == name })
	if i < 0 {
		return leadership.InstanceRow{}, false
	}
	return l.ranking[i], true
}
