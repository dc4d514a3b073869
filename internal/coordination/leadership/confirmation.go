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
	kindRequest  = 1
	kindResponse = 2
)

// peerMessage is one datagram. Rows are those of TablePrimaries that the
// receiver lacks.
type peerMessage struct {
	Kind  uint8            `msgpack:"k"`
	Nonce uint64           `msgpack:"n"`
	From  state.InstanceID `msgpack:"f"`
	// Seen is the store's version up to which the sender of a question has
	// followed TablePrimaries.
	Seen uint64      `msgpack:"s"`
	Rows []recordRow `msgpack:"r"`
	// Acknowledged holds the epochs whose old primary the sender of an answer
	// no longer uses.
	Acknowledged map[state.GroupID]uint64 `msgpack:"a"`
	// Suspected holds the epochs of the groups whose primary the sender cannot
	// reach.
	Suspected map[state.GroupID]uint64 `msgpack:"u"`
}

type recordRow struct {
	Group   state.GroupID `msgpack:"g"`
	Version uint64        `msgpack:"v"`
	Record  Record        `msgpack:"r"`
}

// confirmations counts the answers to the last question.
type confirmations struct {
	nonce       uint64
	requestedAt state.Instant
	from        map[state.InstanceID]bool
}

// confirmationLoop asks the other instances while the store does not renew the lease,
// and while this instance suspects a primary, so that they look for themselves.
func (m *Manager) confirmationLoop(ctx context.Context) {
	state.Every(ctx, confirmationInterval, func() {
		if addresses, request := m.nextRequest(); request != nil {
			for _, address := range addresses {
				m.Messenger.Send(address, request)
			}
		}
	})
}

// nextRequest returns the question to ask and whom, none while the lease is
// renewed and nothing is suspected.
func (m *Manager) nextRequest() ([]string, []byte) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	suspectedEpochs := m.suspectedGroups()
	if !m.lease.acquired || m.lease.remaining(now) > confirmationLead && len(suspectedEpochs) == 0 && m.renewalFailures == 0 {
		return nil, nil
	}
	m.confirmations = confirmations{nonce: m.confirmations.nonce + 1, requestedAt: now, from: map[state.InstanceID]bool{m.Self: true}}
	m.countConfirmations()
	return m.peerAddresses(), m.encodeMessage(peerMessage{
		Kind: kindRequest, Nonce: m.confirmations.nonce, From: m.Self, Seen: m.lease.seenVersion, Suspected: suspectedEpochs,
	})
}

// peerAddresses must be called with the lock held.
func (m *Manager) peerAddresses() []string {
	var addresses []string
	for name, entry := range m.members.byName {
		if name != m.Self && entry.heartbeat.Address != "" {
			addresses = append(addresses, entry.heartbeat.Address)
		}
	}
	return addresses
}

func (m *Manager) encodeMessage(message peerMessage) []byte {
	encoded, err := msgpack.Marshal(message)
	if err != nil {
		m.Log.Error().Err(err).Msg("message to other instances not encoded")
		return nil
	}
	return encoded
}

// countConfirmations must be called with the lock held.
func (m *Manager) countConfirmations() {
	if 2*len(m.confirmations.from) >= len(m.members.byName) {
		m.lease.confirmedUntil = max(m.lease.confirmedUntil, m.confirmations.requestedAt.Add(confirmationTTL))
	}
}

// Isolated reports whether neither the store nor half of the instances answer
// this one. Its lease lapses soon or has lapsed, and clients are served better
// elsewhere. While the store is away for all, instances answer each other.
func (m *Manager) Isolated() bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmedAt := m.lease.confirmedUntil.Add(-confirmationTTL)
	return m.lease.acquired && m.renewalFailures > 0 && now.Sub(max(confirmedAt, m.failingSince)) > isolatedAfter
}

// Receive handles a datagram of another instance and returns the answer, nil
// for none.
func (m *Manager) Receive(datagram []byte) []byte {
	var message peerMessage
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
	m.handleSuspicions(message)
	switch message.Kind {
	case kindRequest:
		return m.respond(message)
	case kindResponse:
		m.handleResponse(message)
	}
	return nil
}

// respond must be called with the lock held. An instance that has not read the
// primaries yet knows nothing to vouch for.
func (m *Manager) respond(request peerMessage) []byte {
	if !m.ready {
		return nil
	}
	response := peerMessage{Kind: kindResponse, Nonce: request.Nonce, From: m.Self, Acknowledged: m.acknowledgedGroups(), Suspected: m.suspectedGroups()}
	for id, g := range m.groups {
		if g.version > request.Seen {
			response.Rows = append(response.Rows, recordRow{Group: id, Version: g.version, Record: g.record})
		}
	}
	return m.encodeMessage(response)
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

// handleSuspicions must be called with the lock held. It notes what another
// instance suspects, and lets those primaries be probed from here too.
func (m *Manager) handleSuspicions(message peerMessage) {
	if _, known := m.members.byName[message.From]; !known {
		return
	}
	m.members.recordSuspicions(message.From, message.Suspected)
	for id, epoch := range message.Suspected {
		g := m.group(id)
		if primary, ok := m.primaryOf(id, g); ok && !g.suspected && g.record.Epoch == epoch {
			m.Health.Doubt(primary)
		}
	}
}

// handleResponse must be called with the lock held.
func (m *Manager) handleResponse(response peerMessage) {
	if _, known := m.members.byName[response.From]; !known {
		return
	}
	for id, epoch := range response.Acknowledged {
		m.members.recordAcknowledgement(response.From, id, epoch)
	}
	if response.Nonce == m.confirmations.nonce && m.confirmations.from != nil {
		m.confirmations.from[response.From] = true
		m.countConfirmations()
	}
}

// notifyPending sends an announced change directly to the instances that have
// not acknowledged it, for those that can't reach the store.
func (m *Manager) notifyPending(id state.GroupID, names []state.InstanceID) {
	m.mu.Lock()
	g := m.group(id)
	row := recordRow{Group: id, Version: g.version, Record: g.record}
	request := m.encodeMessage(peerMessage{Kind: kindRequest, From: m.Self, Seen: m.lease.seenVersion, Rows: []recordRow{row}})
	var addresses []string
	for _, name := range names {
		if address := m.members.byName[name].heartbeat.Address; address != "" {
			addresses = append(addresses, address)
		}
	}
	m.mu.Unlock()
	for _, address := range addresses {
		m.Messenger.Send(address, request)
	}
}
