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

// newConfiguration returns a configuration with the given number of plans, each
// with a limit.
func newConfiguration(plans int, verifier string) *state.Configuration {
	document := &state.Configuration{Revision: 1, EditID: "measurement-1"}
	for i := range plans {
		id := state.PlanID(fmt.Sprintf("plan-%04d", i))
		document.Plans = append(document.Plans, state.Plan{
			ID: id, User: "user-" + string(id), PasswordVerifier: verifier, Description: "orders portal",
		})
		document.Limits = append(document.Limits, state.Limit{
			Plan: id, MaxConnections: 5, MaxStalenessMillis: 1000, Databases: []state.GroupID{"group-0001", "group-0002"},
		})
	}
	return document
}

// measureConfiguration measures polls, exchanges and edits of configurations
// with growing numbers of plans.
func measureConfiguration(ctx context.Context, report *Report) error {
	verifier, err := configuration.NewVerifier("a password", "measurement-1", "plan")
	if err != nil {
		return err
	}
	series := func(name, unit string) Series {
		return Series{Section: "configuration", Name: name, Unit: unit, Per: "plans", Target: targetPlans}
	}
	document := series("document in an exchange", "bytes")
	handleTime := series("document taken in", "us")
	poll := series("poll with nothing new", "bytes")
	edit := series("edit", "bytes")
	editTime := series("edit, stand-in included", "us")
	for _, plans := range []int{10, 100, 1000} {
		size := float64(plans)
		current := newConfiguration(plans, verifier)
		encoded, err := msgpack.Marshal(configuration.Exchange{Digest: configuration.DigestOf(current), Document: current})
		if err != nil {
			return eris.Wrap(err, "encode exchange")
		}
		document.Points = append(document.Points, Point{size, float64(len(encoded))})
		handleTime.Points = append(handleTime.Points, Point{size, handleExchangeCost(ctx, current)})
		costs, err := pollAndEditCosts(ctx, current)
		if err != nil {
			return err
		}
		poll.Points = append(poll.Points, Point{size, costs.pollBytes})
		edit.Points = append(edit.Points, Point{size, costs.editBytes})
		editTime.Points = append(editTime.Points, Point{size, costs.editTime})
	}
	return addAll(report, document, handleTime, poll, edit, editTime)
}

// noPeers implements configuration.Peers for a system of one instance.
type noPeers struct{}

// Sample implements configuration.Peers.
func (noPeers) Sample(int) []state.InstanceID { return nil }

// All implements configuration.Peers.
func (noPeers) All() []state.InstanceID { return nil }

// Exchange implements configuration.Peers.
func (noPeers) Exchange(context.Context, state.InstanceID, configuration.Exchange) (configuration.Exchange, error) {
	return configuration.Exchange{}, state.NotRun(state.ReasonUnreachable, "find peer", "", 0, nil)
}

// handleExchangeCost returns the processor time, in microseconds, in which a
// follower handles a peer's newer document. The time of the digest that the
// caller computes is subtracted.
func handleExchangeCost(ctx context.Context, current *state.Configuration) float64 {
	follower := configuration.NewFollower(configuration.NewStore(nil), noPeers{}, nil, configuration.FollowerOptions{}, zerolog.Nop())
	revision := current.Revision
	return processorTimePerCall(func() {
		next := *current
		revision++
		next.Revision = revision
		follower.HandleExchange(ctx, configuration.Exchange{Digest: configuration.DigestOf(&next), Document: &next})
	}) - processorTimePerCall(func() { configuration.DigestOf(current) })
}

// platformCosts holds the bytes of a poll and of an edit at the platform, and
// the processor time of an edit in microseconds.
type platformCosts struct {
	pollBytes, editBytes, editTime float64
}

// pollAndEditCosts measures polls and edits of a configuration at the platform
// stand-in.
func pollAndEditCosts(ctx context.Context, current *state.Configuration) (platformCosts, error) {
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
	head, err := service.measureCall(func() error {
		_, err := store.Head(ctx)
		return err
	})
	if err != nil {
		return costs, err
	}
	costs.pollBytes = head.bytes
	revision := state.Revision(1)
	edited, err := service.measureCall(func() error {
		limit := current.Limits[0]
		limit.MaxConnections = 5 + int(revision%2)
		next := configuration.Edit{
			ID: fmt.Sprint("measurement-", revision+1), Base: revision,
			Change: configuration.Change{PutLimits: []state.Limit{limit}},
		}
		revision++
		_, err := store.Edit(ctx, next, nil, groupIDs)
		return err
	})
	costs.editBytes, costs.editTime = edited.bytes, edited.processor
	return costs, err
}
