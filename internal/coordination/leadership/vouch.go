package leadership

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// An instance that can't renew its lease at the store asks the others whether
// they know of a change of a primary. While half of all instances answer, it
// may go on: a promoter that does not wait for this instance's acknowledgement
// has that of more than half, one of which would have told. An even split thus
// leaves things as they are.

// Messenger sends datagrams to other instances. A message may be lost.
type Messenger interface {
	Send(address string, message []byte)
}

// Kinds of messages between instances.
const (
	kindQuestion = 1
	kindAnswer   = 2
)

// vouchMessage is one datagram. Rows are those of TablePrimaries that the
// receiver lacks.
type vouchMessage struct {
	Kind  uint8            `msgpack:"k"`
	Nonce uint64           `msgpack:"n"`
	From  state.InstanceID `msgpack:"f"`
	// Seen is the store's version up to which the sender of a question has
	// followed TablePrimaries.
	Seen uint64     `msgpack:"s"`
	Rows []vouchRow `msgpack:"r"`
	// Acknowledged holds the epochs whose old primary the sender of an answer
	// no longer uses.
	Acknowledged map[state.GroupID]uint64 `msgpack:"a"`
	// Suspected holds the epochs of the groups whose primary the sender cannot
	// reach.
	Suspected map[state.GroupID]uint64 `msgpack:"u"`
}

type vouchRow struct {
	Group   state.GroupID `msgpack:"g"`
	Version uint64        `msgpack:"v"`
	Record  Record        `msgpack:"r"`
}

// vouches counts the answers to the last question.
type vouches struct {
	nonce   uint64
	askedAt state.Instant
	from    map[state.InstanceID]bool
}

// vouchLoop asks the other instances while the store does not renew the lease,
// and while this instance suspects a primary, so that they look for themselves.
func (m *Manager) vouchLoop(ctx context.Context) {
	state.Every(ctx, vouchInterval, func() {
		if addresses, question := m.nextQuestion(); question != nil {
			for _, address := range addresses {
				m.Messenger.Send(address, question)
			}
		}
	})
}

// nextQuestion returns the question to ask and whom, none while the lease is
// renewed and nothing is suspected.
func (m *Manager) nextQuestion() ([]string, []byte) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	suspected := m.suspectedGroups()
	if !m.lease.based || m.lease.left(now) > vouchBefore && len(suspected) == 0 && m.renewalFailures == 0 {
		return nil, nil
	}
	m.vouches = vouches{nonce: m.vouches.nonce + 1, askedAt: now, from: map[state.InstanceID]bool{m.Self: true}}
	m.countVouches()
	return m.peerAddresses(), m.encodeMessage(vouchMessage{
		Kind: kindQuestion, Nonce: m.vouches.nonce, From: m.Self, Seen: m.lease.seen, Suspected: suspected,
	})
}

// peerAddresses must be called with the lock held.
func (m *Manager) peerAddresses() []string {
	var addresses []string
	for name, entry := range m.members.byName {
		if name != m.Self && entry.beat.Address != "" {
			addresses = append(addresses, entry.beat.Address)
		}
	}
	return addresses
}

func (m *Manager) encodeMessage(message vouchMessage) []byte {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		m.Log.Error().Err(err).Msg("message to other instances not encoded")
		return nil
	}
	return encoded
}

// countVouches must be called with the lock held.
func (m *Manager) countVouches() {
	if 2*len(m.vouches.from) >= len(m.members.byName) {
		m.lease.vouchedUntil = max(m.lease.vouchedUntil, m.vouches.askedAt.Add(vouchLasts))
	}
}

// Isolated reports whether neither the store nor half of the instances answer
// this one. Its lease lapses soon or has lapsed, and clients are served better
// elsewhere. While the store is away for all, instances answer each other.
func (m *Manager) Isolated() bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	supportedAt := m.lease.vouchedUntil.Add(-vouchLasts)
	return m.lease.based && m.renewalFailures > 0 && now.Sub(max(supportedAt, m.failingSince)) > isolatedAfter
}

// Receive handles a datagram of another instance and returns the answer, nil
// for none.
func (m *Manager) Receive(datagram []byte) []byte {
	var message vouchMessage
	if err := msgpack.Unmarshal(datagram, &message); err != nil {
		m.Log.Warn().Err(err).Int("bytes", len(datagram)).Msg("message of another instance can't be read")
		return nil
	}
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range message.Rows {
		m.applyRecord(row.Group, row.Record, row.Version, now)
	}
	if len(message.Rows) > 0 {
		m.broadcast()
	}
	m.takeSuspicions(message)
	switch message.Kind {
	case kindQuestion:
		return m.answer(message)
	case kindAnswer:
		m.takeAnswer(message)
	}
	return nil
}

// answer must be called with the lock held. An instance that has not read the
// primaries yet knows nothing to vouch for.
func (m *Manager) answer(question vouchMessage) []byte {
	if !m.ready {
		return nil
	}
	answer := vouchMessage{Kind: kindAnswer, Nonce: question.Nonce, From: m.Self, Acknowledged: m.acknowledgedGroups(), Suspected: m.suspectedGroups()}
	for id, g := range m.groups {
		if g.version > question.Seen {
			answer.Rows = append(answer.Rows, vouchRow{Group: id, Version: g.version, Record: g.record})
		}
	}
	return m.encodeMessage(answer)
}

// acknowledgedGroups must be called with the lock held. It returns the epochs
// of the groups in change whose old primary this instance no longer uses.
func (m *Manager) acknowledgedGroups() map[state.GroupID]uint64 {
	acknowledged := make(map[state.GroupID]uint64)
	for id, g := range m.groups {
		if g.record.Changing && g.acknowledged > 0 {
			acknowledged[id] = g.acknowledged
		}
	}
	return acknowledged
}

// suspectedGroups must be called with the lock held. It returns the epochs of
// the groups whose primary this instance cannot reach.
func (m *Manager) suspectedGroups() map[state.GroupID]uint64 {
	suspected := make(map[state.GroupID]uint64)
	for id, g := range m.groups {
		if g.suspected {
			suspected[id] = g.record.Epoch
		}
	}
	return suspected
}

// takeSuspicions must be called with the lock held. It notes what another
// instance suspects, and lets those primaries be probed from here too.
func (m *Manager) takeSuspicions(message vouchMessage) {
	if _, known := m.members.byName[message.From]; !known {
		return
	}
	m.members.suspect(message.From, message.Suspected)
	for id, epoch := range message.Suspected {
		g := m.group(id)
		if primary, ok := m.primaryOf(id, g); ok && !g.suspected && g.record.Epoch == epoch {
			m.Health.Warning(primary)
		}
	}
}

// takeAnswer must be called with the lock held.
func (m *Manager) takeAnswer(answer vouchMessage) {
	if _, known := m.members.byName[answer.From]; !known {
		return
	}
	for id, epoch := range answer.Acknowledged {
		m.members.acknowledge(answer.From, id, epoch)
	}
	if answer.Nonce == m.vouches.nonce && m.vouches.from != nil {
		m.vouches.from[answer.From] = true
		m.countVouches()
	}
}

// tellHoldouts sends an announced change directly to the instances that have
// not acknowledged it, for those that can't reach the store.
func (m *Manager) tellHoldouts(id state.GroupID, names []state.InstanceID) {
	m.mu.Lock()
	g := m.group(id)
	row := vouchRow{Group: id, Version: g.version, Record: g.record}
	question := m.encodeMessage(vouchMessage{Kind: kindQuestion, From: m.Self, Seen: m.lease.seen, Rows: []vouchRow{row}})
	var addresses []string
	for _, name := range names {
		if address := m.members.byName[name].beat.Address; address != "" {
			addresses = append(addresses, address)
		}
	}
	m.mu.Unlock()
	for _, address := range addresses {
		m.Messenger.Send(address, question)
	}
}
