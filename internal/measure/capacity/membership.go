package capacity

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/membership"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// fixedList is a list of instances that does not change.
type fixedList []state.Instance

// List implements membership.Lister.
func (l fixedList) List(context.Context) ([]state.Instance, error) {
	return l, nil
}

// newRefreshedMembership returns the first instance's membership after it has read
// the list.
func newRefreshedMembership(ctx context.Context, list []state.Instance) (*membership.Membership, error) {
	members := membership.New(membership.Config{Self: list[0], Lister: fixedList(list), Logger: zerolog.Nop()})
	return members, members.Refresh(ctx)
}

// measureMembership measures reads of the list of instances, and the selection
// of owners from it.
func measureMembership(ctx context.Context, report *Report) error {
	read := Series{Section: "membership", Name: "read of an unchanged list", Unit: "bytes", Per: "instances", Target: targetInstances}
	changed := Series{Section: "membership", Name: "read of a list that changed", Unit: "bytes", Per: "instances", Target: targetInstances}
	readTime := Series{Section: "membership", Name: "read of an unchanged list, stand-in included", Unit: "us", Per: "instances", Target: targetInstances}
	refresh := Series{Section: "membership", Name: "refresh and rebuild of the view", Unit: "us", Per: "instances", Target: targetInstances}
	owners := Series{Section: "membership", Name: "Owners of one of 1,800 databases", Unit: "us", Per: "instances", Target: targetInstances}
	for _, size := range []int{100, 500, targetInstances} {
		cost, err := listCost(ctx, size)
		if err != nil {
			return err
		}
		read.Points = append(read.Points, Point{float64(size), cost.bytes})
		changed.Points = append(changed.Points, Point{float64(size), cost.firstBytes})
		readTime.Points = append(readTime.Points, Point{float64(size), cost.processor})
		members, err := newRefreshedMembership(ctx, instances(size))
		if err != nil {
			return err
		}
		databases := groups(targetGroups)
		refresh.Points = append(refresh.Points, Point{float64(size), processorTimePerCall(func() {
			_ = members.Refresh(ctx) // a fixed list does not fail
			members.Owners(databases[0].Databases[0])
		})})
		next := 0
		owners.Points = append(owners.Points, Point{float64(size), processorTimePerCall(func() {
			group := databases[next%targetGroups]
			members.Owners(group.Databases[next%targetGroupSize])
			next++
		})})
	}
	return addAll(report, read, changed, readTime, refresh, owners)
}

// listCost measures a read of a list of size instances from the platform stand-in.
func listCost(ctx context.Context, size int) (callCost, error) {
	service, err := startPlatform()
	if err != nil {
		return callCost{}, err
	}
	defer service.close()
	for _, instance := range instances(size) {
		if err := service.client.Announce(ctx, instance); err != nil {
			return callCost{}, err
		}
	}
	return service.measureCall(func() error {
		_, err := service.client.Instances(ctx)
		return err
	})
}

// addAll adds series to the report and stops at the first that cannot be fitted.
func addAll(report *Report, all ...Series) error {
	for _, series := range all {
		if err := report.add(series); err != nil {
			return err
		}
	}
	return nil
}
