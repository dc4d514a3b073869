package app

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/execution"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/failover"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/membership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ownership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/state/packed"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/peerlink"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/pgserver"
)

// Methods of calls between instances.
const (
	methodBarrier  = "barrier"
	methodExchange = "exchange"
	methodObserve  = "observe"
	methodCancel   = "cancel"
)

// groupRequest names the group that a call is about.
type groupRequest struct {
	Group state.GroupID `msgpack:"group"`
}

// cancelResponse reports whether the peer has the session to be cancelled.
type cancelResponse struct {
	Found bool `msgpack:"found"`
}

// peerCaller makes calls to other instances for the coordination components.
type peerCaller struct {
	client     *peerlink.Client
	membership *membership.Membership
}

// Open implements routing.Peers.
func (p peerCaller) Open(ctx context.Context, peer state.Instance, request execution.OpenRequest) (execution.Stream, error) {
	return p.client.Open(ctx, peer, request)
}

// Barrier implements routing.Peers.
func (p peerCaller) Barrier(ctx context.Context, peer state.Instance, group state.GroupID) (state.Position, error) {
	var position state.Position
	err := p.client.Call(ctx, peer, methodBarrier, groupRequest{Group: group}, &position)
	return position, err
}

// Sample implements configuration.Peers.
func (p peerCaller) Sample(n int) []state.InstanceID {
	return instanceIDs(p.membership.SamplePeers(n, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
}

// All implements configuration.Peers.
func (p peerCaller) All() []state.InstanceID {
	return instanceIDs(p.membership.Peers())
}

// Exchange implements configuration.Peers.
func (p peerCaller) Exchange(ctx context.Context, id state.InstanceID, message configuration.Exchange) (configuration.Exchange, error) {
	var response configuration.Exchange
	for _, peer := range p.membership.Peers() {
		if peer.ID == id {
			err := p.client.Call(ctx, peer, methodExchange, message, &response)
			return response, err
		}
	}
	return response, state.NotRun(state.ReasonUnreachable, "find peer", string(id), 0, nil)
}

// ForwardCancel implements pgserver.CancelForwarder.
func (p peerCaller) ForwardCancel(ctx context.Context, key pgserver.CancelKey) {
	for _, peer := range p.membership.Peers() {
		if pgserver.InstanceHash(peer.ID) != key.InstanceHash() {
			continue
		}
		var response cancelResponse
		if err := p.client.Call(ctx, peer, methodCancel, key, &response); err == nil && response.Found {
			return
		}
	}
}

func instanceIDs(instances []state.Instance) []state.InstanceID {
	ids := make([]state.InstanceID, len(instances))
	for i, instance := range instances {
		ids[i] = instance.ID
	}
	return ids
}

// groupObservers requests observations of a group's primary from the other
// owners of its databases.
type groupObservers struct {
	caller peerCaller
	groups *configuration.Groups
}

// CollectObservations implements failover.Observers.
func (o groupObservers) CollectObservations(ctx context.Context, id state.GroupID) []failover.Observation {
	group, found := o.groups.Get(id)
	if !found {
		return nil
	}
	var mu sync.Mutex
	var observations []failover.Observation
	var calls sync.WaitGroup
	for _, peer := range o.otherOwners(group) {
		calls.Go(func() {
			var observation failover.Observation
			if err := o.caller.client.Call(ctx, peer, methodObserve, groupRequest{Group: id}, &observation); err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			observations = append(observations, observation)
		})
	}
	calls.Wait()
	return observations
}

// otherOwners returns the first owner of each database, without duplicates and
// without this instance.
func (o groupObservers) otherOwners(group state.Group) []state.Instance {
	seen := map[state.InstanceID]bool{o.caller.membership.Self().ID: true}
	var owners []state.Instance
	for _, database := range group.Databases {
		candidates := o.caller.membership.Owners(database)
		if len(candidates) == 0 || seen[candidates[0].ID] {
			continue
		}
		seen[candidates[0].ID] = true
		owners = append(owners, candidates[0])
	}
	return owners
}

// peerHandler serves calls and streams from other instances.
type peerHandler struct {
	ownership *ownership.Manager
	follower  *configuration.Follower
	clients   *pgserver.Server
}

// Open implements execution.Executor.
func (h *peerHandler) Open(ctx context.Context, request execution.OpenRequest) (execution.Stream, error) {
	return h.ownership.Open(ctx, request)
}

// HandleCall implements peerlink.Handler.
func (h *peerHandler) HandleCall(ctx context.Context, _ state.InstanceID, method string, body []byte) (any, error) {
	switch method {
	case methodBarrier:
		return decodeAndServe(body, func(request groupRequest) (any, error) {
			return h.ownership.Barrier(ctx, request.Group)
		})
	case methodExchange:
		return decodeAndServe(body, func(message configuration.Exchange) (any, error) {
			return h.follower.HandleExchange(ctx, message), nil
		})
	case methodObserve:
		return decodeAndServe(body, h.observe)
	case methodCancel:
		return decodeAndServe(body, func(key pgserver.CancelKey) (any, error) {
			return cancelResponse{Found: h.clients.Cancel(ctx, key)}, nil
		})
	default:
		return nil, eris.Errorf("unknown method %q", method)
	}
}

func (h *peerHandler) observe(request groupRequest) (any, error) {
	runner, found := h.ownership.Runner(request.Group)
	if !found {
		return nil, state.NotRun(state.ReasonUnreachable, "observe group", string(request.Group), 0, nil)
	}
	observer, ok := runner.(interface{ Observe() failover.Observation })
	if !ok {
		return nil, eris.Errorf("group %s has no observer", request.Group)
	}
	return observer.Observe(), nil
}

// decodeAndServe decodes the body of a call and passes it to serve.
func decodeAndServe[Request any](body []byte, serve func(Request) (any, error)) (any, error) {
	var request Request
	if err := packed.Unmarshal(body, &request); err != nil {
		return nil, eris.Wrap(err, "decode call")
	}
	return serve(request)
}
