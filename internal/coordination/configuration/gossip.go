package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Exchange is the request and the response by which two instances bring each
// other up to date. Each side sends its digests, and the configuration and group
// records that the other side is known to lack.
type Exchange struct {
	// Digest is the digest of the configuration that the sender holds.
	Digest Digest `msgpack:"digest" json:"digest"`
	// InForce is the revision in force on the sender, zero if there is none. It
	// may be lower than that of Digest while the sender starts.
	InForce state.Revision `msgpack:"force" json:"in_force"`
	// Document is the sender's configuration, if the receiver is known to hold
	// an older one.
	Document *state.Configuration `msgpack:"doc" json:"document,omitempty"`
	// GroupsHash is the hash of the sender's group records.
	GroupsHash string `msgpack:"ghash" json:"groups_hash"`
	// Groups are the sender's group records, if the receiver is known to have
	// a different set.
	Groups []GroupRecord `msgpack:"groups" json:"groups,omitempty"`
}

// Peers gives access to the other instances. Implementations of Sample should
// prefer live ones.
type Peers interface {
	// Sample returns up to n distinct peers, chosen at random.
	Sample(n int) []state.InstanceID
	// All returns all known peers.
	All() []state.InstanceID
	// Exchange sends a message to a peer's HandleExchange and returns the
	// response. An error is a *state.Failure.
	Exchange(ctx context.Context, peer state.InstanceID, message Exchange) (Exchange, error)
}

// HandleExchange applies a peer's message and returns the response to it.
func (f *Follower) HandleExchange(ctx context.Context, message Exchange) Exchange {
	f.applyMessage(ctx, message)
	return f.messageFor(message.Digest, message.GroupsHash)
}

// applyMessage merges a message's group records and offers its configuration. A
// configuration that does not match the message's digest is reported as
// corruption.
func (f *Follower) applyMessage(ctx context.Context, message Exchange) {
	if f.groups != nil {
		f.groups.merge(message.Groups)
	}
	if message.Document == nil {
		return
	}
	if DigestOf(message.Document) != message.Digest {
		f.reportCorruption(message.Digest.Revision, string(SourcePeer))
		return
	}
	f.Offer(ctx, message.Document, SourcePeer)
}

// messageFor returns a message to a peer with the given configuration digest and
// hash of group records. It contains what the peer lacks.
func (f *Follower) messageFor(peer Digest, peerGroups string) Exchange {
	held := f.held()
	message := Exchange{Digest: held.digest, InForce: f.inForce.Load().digest.Revision}
	if held.digest.Revision > peer.Revision {
		message.Document = held.configuration
	}
	if f.groups != nil {
		message.GroupsHash, message.Groups = f.groups.messageFor(peerGroups)
	}
	return message
}

// digestsMessage returns a message that contains only digests.
func (f *Follower) digestsMessage() Exchange {
	message := Exchange{Digest: f.Digest(), InForce: f.inForce.Load().digest.Revision}
	if f.groups != nil {
		message.GroupsHash = f.groups.hash()
	}
	return message
}

// exchangeWith brings this instance and one peer up to date. It returns the
// revision that the peer last reported to be in force, and whether the exchange
// succeeded.
func (f *Follower) exchangeWith(ctx context.Context, peer state.InstanceID) (state.Revision, bool) {
	callContext, cancel := context.WithTimeout(ctx, f.options.CallTimeout)
	defer cancel()
	response, err := f.peers.Exchange(callContext, peer, f.digestsMessage())
	if err != nil {
		f.logger.Debug().Err(err).Str("peer", string(peer)).Msg("configuration exchange with a peer failed")
		return 0, false
	}
	f.applyMessage(ctx, response)
	f.isNewer(response.Digest, f.Digest(), string(SourcePeer))
	update := f.messageFor(response.Digest, response.GroupsHash)
	if update.Document == nil && update.Groups == nil {
		return response.InForce, true
	}
	if response, err = f.peers.Exchange(callContext, peer, update); err != nil {
		return 0, false
	}
	return response.InForce, true
}

func (f *Follower) exchangeWithAll(ctx context.Context, peers []state.InstanceID) {
	var exchanges sync.WaitGroup
	for _, peer := range peers {
		exchanges.Go(func() { f.exchangeWith(ctx, peer) })
	}
	exchanges.Wait()
}

// Limits of CheckInForce.
const (
	maxConcurrentExchanges = 128
	// checkInForceTimeout is the time after which peers that have not responded
	// count as unresponsive, so that an unreachable data centre does not delay
	// an edit further.
	checkInForceTimeout = 5 * time.Second
)

// InForce reports on which instances a revision, or a later one, is in force.
type InForce struct {
	Revision state.Revision `json:"revision"`
	// Confirmed counts the instances that have the revision or a later one in
	// force. It includes this instance if it does.
	Confirmed int `json:"confirmed"`
	// Instances is the number of known instances, including this one.
	Instances int `json:"instances"`
	// Highest is the highest revision in force on any instance that responded.
	Highest state.Revision `json:"highest_revision"`
	// Behind lists the instances with an older revision in force or none, and
	// Unresponsive those that did not respond.
	Behind       []state.InstanceID `json:"behind,omitempty"`
	Unresponsive []state.InstanceID `json:"silent,omitempty"`
}

// CheckInForce exchanges with every known peer, and reports where a revision is
// in force. The exchanges also bring the peers and this instance up to date.
func (f *Follower) CheckInForce(ctx context.Context, revision state.Revision) InForce {
	ctx, cancel := context.WithTimeout(ctx, checkInForceTimeout)
	defer cancel()
	peers := f.peers.All()
	responses := make([]peerResponse, len(peers))
	var exchanges sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentExchanges)
	for i, peer := range peers {
		slots <- struct{}{}
		exchanges.Go(func() {
			defer func() { <-slots }()
			responses[i].peer = peer
			responses[i].revision, responses[i].responded = f.exchangeWith(ctx, peer)
		})
	}
	exchanges.Wait()
	result := InForce{Revision: revision, Instances: len(peers) + 1}
	if own := f.Current(); own != nil {
		result.count(peerResponse{revision: own.Revision, responded: true})
	}
	for _, response := range responses {
		result.count(response)
	}
	return result
}

// peerResponse is the revision that one instance reported to be in force.
type peerResponse struct {
	peer      state.InstanceID
	revision  state.Revision
	responded bool
}

func (r *InForce) count(response peerResponse) {
	r.Highest = max(r.Highest, response.revision)
	switch {
	case !response.responded:
		r.Unresponsive = append(r.Unresponsive, response.peer)
	case response.revision >= r.Revision:
		r.Confirmed++
	default:
		r.Behind = append(r.Behind, response.peer)
	}
}
