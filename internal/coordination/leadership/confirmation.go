package leadership

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
)

// An instance that cannot renew its lease in the store requests from its peers
// the changes of primaries that it has not seen. While at least half of all
// instances, itself included, respond, its lease is extended up to MaxLease.
// This is safe because before MaxLease has passed a promoter proceeds without
// this instance's acknowledgement only if more than half of the instances have
// acknowledged the change: at least one of these is among those that respond,
// and its response contains the change. If the instances are split into two
// equal halves, neither can therefore replace a primary that the other uses.

// Messenger sends datagrams to other instances. Messages may be lost.
type Messenger interface {
	Send(address string, message []byte)
}

// Kinds of messages between instances.
const (
	kindRequest  = 1
	kindResponse = 2
	kindNotice   = 3 // suspicions, without a response
	// kindExpectation is a promoter's expectation, without a response.
	kindExpectation = 4
)

// peerMessage is one datagram. Rows holds the rows of TablePrimaries that the
// receiver has not seen.
type peerMessage struct {
	Kind  uint8  `msgpack:"k"`
	Nonce uint64 `msgpack:"n"`
	// Era is the newest era of the store that the sender has seen; Seen and the
	// versions of Rows belong to it.
	Era  uint64           `msgpack:"e"`
	From state.InstanceID `msgpack:"f"`
	// Seen is the store's version up to which the sender of a request has seen
	// all changes of TablePrimaries.
	Seen uint64      `msgpack:"s"`
	Rows []recordRow `msgpack:"r"`
	// Acknowledged holds the epochs whose old primary the sender of a response
	// no longer uses.
	Acknowledged map[state.GroupID]uint64 `msgpack:"a"`
	// Positions is as in heartbeat.
	Positions map[state.GroupID]state.Position `msgpack:"p,omitempty"`
	// Suspected holds the epochs of the groups whose primary the sender cannot
	// reach.
	Suspected map[state.GroupID]uint64 `msgpack:"u"`
	// Expected holds when the sender expects its changes to end.
	Expected []expectedChange `msgpack:"x,omitempty"`
}

type recordRow struct {
	Group   state.GroupID `msgpack:"g"`
	Version uint64        `msgpack:"v"`
	Record  Record        `msgpack:"r"`
}

// confirmations is one round of confirmations: the last request and the instances
// that have responded to it, this one included.
type confirmations struct {
	// nonce counts from a random number, so that no response to a request of an earlier
	// run counts.
	nonce       uint64
	requestedAt state.Instant
	from        map[state.InstanceID]bool
}

// confirmationLoop sends requests to the other instances while the lease cannot be
// renewed in the store. While this instance watches a group whose primary it
// suspects, it notifies the group's other watchers.
func (m *Manager) confirmationLoop(ctx context.Context) {
	state.Every(ctx, confirmationInterval, func() {
		if addresses, request := m.startRequest(); request != nil {
			m.sendAll(addresses, request)
			return
		}
		m.sendAll(m.repeatedNotice())
	})
}

func (m *Manager) sendAll(addresses []string, message []byte) {
	for _, address := range addresses {
		m.Messenger.Send(address, message)
	}
}

// notifyWatchers sends this instance's suspicions to those who watch a group, so
// that they probe its primary too.
func (m *Manager) notifyWatchers(id state.GroupID) {
	m.mu.Lock()
	addresses := m.otherWatcherAddresses(map[state.GroupID]uint64{id: 0})
	notice := m.encodeMessage(peerMessage{Kind: kindNotice, From: m.Self, Suspected: m.suspectedGroups()})
	m.mu.Unlock()
	m.sendAll(addresses, notice)
}

// repeatedNotice returns the message that repeats this instance's suspicions of the
// groups that it watches, and the addresses of their other watchers.
func (m *Manager) repeatedNotice() ([]string, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	suspected := m.suspectedGroups()
	watched := make(map[state.GroupID]uint64)
	for id, epoch := range suspected {
		if m.rankingOf(id).watches() {
			watched[id] = epoch
		}
	}
	if len(watched) == 0 {
		return nil, nil
	}
	return m.otherWatcherAddresses(watched), m.encodeMessage(peerMessage{Kind: kindNotice, From: m.Self, Suspected: suspected})
}

// startRequest begins a new round of confirmations. It returns the request and the
// addresses to send it to, or nil while the lease is renewed regularly.
func (m *Manager) startRequest() ([]string, []byte) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	suspectedEpochs := m.suspectedGroups()
	if !m.lease.acquired || m.lease.remaining(now) > confirmationLead && m.renewalFailures == 0 {
		return nil, nil
	}
	m.confirmations = confirmations{nonce: m.confirmations.nonce + 1, requestedAt: now, from: map[state.InstanceID]bool{m.Self: true}}
	m.extendLeaseIfConfirmed()
	return m.peerAddresses(), m.encodeMessage(peerMessage{
		Kind: kindRequest, Nonce: m.confirmations.nonce, Era: m.era.number, From: m.Self, Seen: m.lease.seenVersion, Suspected: suspectedEpochs,
	})
}

// peerAddresses returns the addresses of the other instances. The caller must hold
// m.mu.
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
		m.Log.Error().Err(err).Msg("failed to encode a peer message")
		return nil
	}
	return encoded
}

// extendLeaseIfConfirmed extends the lease if at least half of the instances have
// responded to the last request. The caller must hold m.mu.
func (m *Manager) extendLeaseIfConfirmed() {
	if !m.members.readWithin(rowReadIntervals*m.members.readInterval(), m.lease.renewedAt) {
		return // half of these may be less than half of all
	}
	if 2*len(m.confirmations.from) >= len(m.members.byName) {
		m.lease.beforeExtension(m.Clock.Now())
		m.lease.confirmedUntil = max(m.lease.confirmedUntil, m.confirmations.requestedAt.Add(confirmationTTL))
	}
}

// Isolated reports whether neither the store nor half of the instances respond to
// this one. Its lease has expired or will soon, so clients should use another
// instance. During an outage of the store for all instances, the instances still
// respond to each other, so none is isolated.
func (m *Manager) Isolated() bool {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmedAt := m.lease.confirmedUntil.Add(-confirmationTTL)
	return m.lease.acquired && m.renewalFailures > 0 && now.Sub(max(confirmedAt, m.failingSince)) > isolatedAfter
}

// Receive handles a datagram from another instance. It returns the response to
// send back, or nil.
func (m *Manager) Receive(datagram []byte) []byte {
	var message peerMessage
	if err := packed.Unmarshal(datagram, &message); err != nil {
		m.Log.Warn().Err(err).Int("bytes", len(datagram)).Msg("cannot decode a peer message")
		return nil
	}
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, row := range message.Rows {
		if message.Era != m.era.number {
			row.Version = 0
		}
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
	case kindExpectation:
		for _, expected := range message.Expected {
			m.applyExpectation(expected, now)
		}
	}
	return nil
}

// respond returns the response to a request, with all records that the sender has
// not seen. It returns nil until this instance has read the primaries, because it
// could not report their changes. If its own lease could not be confirmed any more, it
// confirms none: it responds with nonce 0, which matches no request, as promoters no longer
// wait for its acknowledgement. The caller must hold m.mu.
func (m *Manager) respond(request peerMessage) []byte {
	if !m.ready {
		return nil
	}
	response := peerMessage{Kind: kindResponse, Nonce: request.Nonce, Era: m.era.number, From: m.Self, Acknowledged: m.acknowledgedGroups(), Positions: m.positionsAcknowledged(), Suspected: m.suspectedGroups()}
	if now := m.Clock.Now(); !m.lease.valid(now) && !m.lease.confirmable(now) {
		response.Nonce = 0
	}
	for id, g := range m.groups {
		if g.version > request.Seen || request.Era != m.era.number && g.record.Epoch != 0 {
			response.Rows = append(response.Rows, recordRow{Group: id, Version: g.version, Record: g.record})
		}
	}
	return m.encodeMessage(response)
}

// acknowledgedGroups returns the acknowledged epochs of the groups being changed,
// whose old primaries this instance no longer uses. The caller must hold m.mu.
func (m *Manager) acknowledgedGroups() map[state.GroupID]uint64 {
	acknowledged := make(map[state.GroupID]uint64)
	for id, g := range m.groups {
		if g.record.Changing && g.acknowledged > 0 {
			acknowledged[id] = g.acknowledged
		}
	}
	return acknowledged
}

// suspectedGroups returns the epochs of the groups whose primary this instance
// cannot reach. The caller must hold m.mu.
func (m *Manager) suspectedGroups() map[state.GroupID]uint64 {
	suspected := make(map[state.GroupID]uint64)
	for id, g := range m.groups {
		if g.suspected {
			suspected[id] = g.record.Epoch
		}
	}
	return suspected
}

// handleSuspicions records which primaries another instance suspects. It records
// a warning for each of them, so that this instance probes them too. The caller
// must hold m.mu.
func (m *Manager) handleSuspicions(message peerMessage) {
	if _, known := m.members.byName[message.From]; !known {
		return
	}
	m.members.recordSuspicions(message.From, message.Suspected)
	for id, epoch := range message.Suspected {
		g := m.group(id)
		if primary, ok := m.primaryOf(id, g); ok && !g.suspected && g.record.Epoch == epoch {
			m.Health.RecordWarning(primary)
		}
	}
}

// handleResponse records the acknowledgements in a response and counts it as a
// confirmation if it belongs to the last request. The caller must hold m.mu.
func (m *Manager) handleResponse(response peerMessage) {
	if _, known := m.members.byName[response.From]; !known {
		return
	}
	for id, epoch := range response.Acknowledged {
		m.members.recordAcknowledgement(response.From, id, epoch, response.Positions[id])
	}
	if response.Era == m.era.number && response.Nonce == m.confirmations.nonce && m.confirmations.from != nil {
		m.confirmations.from[response.From] = true
		m.extendLeaseIfConfirmed()
	}
}

// notifyPending sends an announced change directly to the instances that have not
// acknowledged it, because they may not be able to reach the store.
func (m *Manager) notifyPending(id state.GroupID, names []state.InstanceID) {
	m.mu.Lock()
	g := m.group(id)
	row := recordRow{Group: id, Version: g.version, Record: g.record}
	request := m.encodeMessage(peerMessage{Kind: kindRequest, Era: m.era.number, From: m.Self, Seen: m.lease.seenVersion, Rows: []recordRow{row}})
	var addresses []string
	for _, name := range names {
		if address := m.members.byName[name].heartbeat.Address; address != "" {
			addresses = append(addresses, address)
		}
	}
	m.mu.Unlock()
	m.sendAll(addresses, request)
}
