package capacity

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// lists returns a configuration of a number of plans.
func lists(plans int, verifier string) *state.Configuration {
	lists := &state.Configuration{Revision: 1, EditID: "measurement-1"}
	for i := range plans {
		id := state.PlanID(fmt.Sprintf("plan-%04d", i))
		lists.Plans = append(lists.Plans, state.Plan{
			ID: id, User: "user-" + string(id), PasswordVerifier: verifier, Description: "orders portal",
		})
		lists.Limits = append(lists.Limits, state.Limit{
			Plan: id, MaxConnections: 5, MaxStalenessMillis: 1000, Databases: []state.GroupID{"group-0001", "group-0002"},
		})
	}
	return lists
}

// measureConfiguration measures polls, exchanges and edits as plans grow.
func measureConfiguration(ctx context.Context, report *Report) error {
	verifier, err := configuration.NewVerifier("a password", "measurement-1", "plan")
	if err != nil {
		return err
	}
	series := func(name, unit string) Series {
		return Series{Section: "configuration", Name: name, Unit: unit, Per: "plans", Target: targetPlans}
	}
	document := series("document in an exchange", "bytes")
	digest := series("document taken in", "us")
	poll := series("poll with nothing new", "bytes")
	edit := series("edit", "bytes")
	editTime := series("edit, stand-in included", "us")
	for _, plans := range []int{10, 100, 1000} {
		size := float64(plans)
		current := lists(plans, verifier)
		encoded, err := msgpack.Marshal(configuration.Exchange{Digest: configuration.DigestOf(current), Document: current})
		if err != nil {
			return eris.Wrap(err, "encode exchange")
		}
		document.Points = append(document.Points, Point{size, float64(len(encoded))})
		digest.Points = append(digest.Points, Point{size, takeCost(ctx, current)})
		costs, err := editCosts(ctx, current)
		if err != nil {
			return err
		}
		poll.Points = append(poll.Points, Point{size, costs.pollBytes})
		edit.Points = append(edit.Points, Point{size, costs.editBytes})
		editTime.Points = append(editTime.Points, Point{size, costs.editTime})
	}
	return addAll(report, document, digest, poll, edit, editTime)
}

// noPeers is a system of one instance.
type noPeers struct{}

// Sample implements configuration.Peers.
func (noPeers) Sample(int) []state.InstanceID { return nil }

// All implements configuration.Peers.
func (noPeers) All() []state.InstanceID { return nil }

// Exchange implements configuration.Peers.
func (noPeers) Exchange(context.Context, state.InstanceID, configuration.Exchange) (configuration.Exchange, error) {
	return configuration.Exchange{}, state.NotRun(state.ReasonUnreachable, "find peer", "", 0, nil)
}

// takeCost measures what a follower does with a newer document of a peer.
func takeCost(ctx context.Context, current *state.Configuration) float64 {
	follower := configuration.NewFollower(configuration.NewStore(nil), noPeers{}, nil, configuration.FollowerOptions{}, zerolog.Nop())
	revision := current.Revision
	return perCall(func() {
		next := *current
		revision++
		next.Revision = revision
		follower.HandleExchange(ctx, configuration.Exchange{Digest: configuration.DigestOf(&next), Document: &next})
	}) - perCall(func() { configuration.DigestOf(current) })
}

type platformCosts struct {
	pollBytes, editBytes, editTime float64
}

// editCosts measures polls and edits of a configuration at the platform.
func editCosts(ctx context.Context, current *state.Configuration) (platformCosts, error) {
	service, err := startPlatform()
	if err != nil {
		return platformCosts{}, err
	}
	defer service.close()
	store := configuration.NewStore(service.client)
	groupIDs := []state.GroupID{"group-0001", "group-0002"}
	first := configuration.Edit{ID: current.EditID, Change: configuration.Change{PutPlans: current.Plans, PutLimits: current.Limits}}
	if _, err := store.Edit(ctx, first, nil, groupIDs); err != nil {
		return platformCosts{}, err
	}
	var costs platformCosts
	head, err := service.cost(func() error {
		_, err := store.Head(ctx)
		return err
	})
	if err != nil {
		return costs, err
	}
	costs.pollBytes = head.bytes
	number := state.Revision(1)
	edited, err := service.cost(func() error {
		limit := current.Limits[0]
		limit.MaxConnections = 5 + int(number%2)
		next := configuration.Edit{
			ID: fmt.Sprint("measurement-", number+1), Base: number,
			Change: configuration.Change{PutLimits: []state.Limit{limit}},
		}
		number++
		_, err := store.Edit(ctx, next, nil, groupIDs)
		return err
	})
	costs.editBytes, costs.editTime = edited.bytes, edited.processor
	return costs, err
}
