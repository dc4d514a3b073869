package peerlink

import (
	"cmp"
	"slices"

	"github.com/cyclamenpin/cyclamenpin/internal/protocol/peerproto"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// LinkSnapshot is the state of one link in the state dump.
type LinkSnapshot struct {
	Peer             state.InstanceID  `json:"peer"`
	Incarnation      state.Incarnation `json:"incarnation"`
	Address          string            `json:"address"`
	Version          peerproto.Version `json:"version"`
	Streams          int               `json:"streams"`
	ResponsesAwaited int               `json:"answers_awaited"`
	Probes           uint64            `json:"probes"`
	BytesIn          uint64            `json:"bytes_in"`
	BytesOut         uint64            `json:"bytes_out"`
	QueuedFrames     int               `json:"queued_frames"`
	QueuedBytes      int               `json:"queued_bytes"`
	Draining         bool              `json:"draining,omitempty"`
}

// TargetSnapshot is the state of a target to which the client has no link.
type TargetSnapshot struct {
	Peer        state.InstanceID  `json:"peer"`
	Incarnation state.Incarnation `json:"incarnation"`
	Dialling    bool              `json:"dialling,omitempty"`
	Leaving     bool              `json:"leaving,omitempty"`
	Failures    int               `json:"failures,omitempty"`
	LastFailure string            `json:"last_failure,omitempty"`
}

// ClientSnapshot is the state of a Client in the state dump.
type ClientSnapshot struct {
	Links    []LinkSnapshot   `json:"links"`
	Unlinked []TargetSnapshot `json:"unlinked"`
}

// ServerSnapshot is the state of a Server in the state dump.
type ServerSnapshot struct {
	Links       []LinkSnapshot `json:"links"`
	Streams     int            `json:"streams"`
	QueuedCalls int            `json:"queued_calls"`
	Leaving     bool           `json:"leaving"`
}

func (l *link) snapshot() LinkSnapshot {
	awaited, openStreams, probes := l.prober.counts()
	frames, bytes := l.outbox.depth()
	return LinkSnapshot{
		Peer: l.peer.ID, Incarnation: l.peer.Incarnation, Address: l.peer.PeerAddress, Version: l.version,
		Streams: openStreams, ResponsesAwaited: awaited, Probes: probes,
		BytesIn: l.bytesIn.Load(), BytesOut: l.bytesOut.Load(),
		QueuedFrames: frames, QueuedBytes: bytes,
	}
}

func sortLinks(links []LinkSnapshot) {
	slices.SortFunc(links, func(a, b LinkSnapshot) int {
		return cmp.Or(cmp.Compare(a.Peer, b.Peer), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// Snapshot returns the state of all links and of targets without one, sorted by
// peer.
func (c *Client) Snapshot() ClientSnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	var snapshot ClientSnapshot
	for key, route := range c.routes {
		if route.link != nil {
			link := route.link.snapshot()
			link.Draining = route.leaving
			snapshot.Links = append(snapshot.Links, link)
			continue
		}
		unlinked := TargetSnapshot{
			Peer: key.id, Incarnation: key.incarnation,
			Dialling: route.dialling != nil, Leaving: route.leaving, Failures: route.failures,
		}
		if route.failure != nil {
			unlinked.LastFailure = route.failure.Error()
		}
		snapshot.Unlinked = append(snapshot.Unlinked, unlinked)
	}
	sortLinks(snapshot.Links)
	slices.SortFunc(snapshot.Unlinked, func(a, b TargetSnapshot) int {
		return cmp.Or(cmp.Compare(a.Peer, b.Peer), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return snapshot
}

// Snapshot returns the state of all links, sorted by peer.
func (s *Server) Snapshot() ServerSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := ServerSnapshot{Streams: s.streams, QueuedCalls: len(s.callQueue), Leaving: s.leaving}
	for link := range s.links {
		entry := link.snapshot()
		entry.Draining = s.leaving
		snapshot.Links = append(snapshot.Links, entry)
	}
	sortLinks(snapshot.Links)
	return snapshot
}
