package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/forwarding"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/internal/transport/forward"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

// placementInterval is the time between two looks at the live instances. While the
// fleet starts, their number changes quickly.
const placementInterval = 250 * time.Millisecond

func newPlacement(instance *Instance, settings platform.Settings, dir *directory.Directory, clock state.Clock, log zerolog.Logger) *placement.Table {
	return placement.New(placement.Config{
		Self: settings.Instance, Region: func(dc state.DataCentre) string { return settings.Regions[dc] }, Accepted: maxConnections(dir),
		ReadInterval: func() time.Duration { return instance.leadership.MembersReadInterval() },
		Instances:    func() []placement.Instance { return instance.leadership.LiveInstances() },
		Workspaces: func() int {
			if routes := dir.Routes(); routes != nil && routes.HasWorkspaces {
				return len(routes.Workspaces)
			}
			return 0
		},
		Demand: func(group state.GroupID) float64 { return instance.leadership.GroupDemand(group) }, Clock: clock, Log: log,
	})
}

func newHolder(dir *directory.Directory, leaders *leadership.Manager, pools *pooling.Manager, table *placement.Table, clock state.Clock, log zerolog.Logger) *forwarding.Holder {
	return forwarding.NewHolder(forwarding.HolderConfig{Directory: dir, Leadership: leaders, Pools: pools, Placement: table, Clock: clock, Log: log})
}

func newForwardClient(log zerolog.Logger) *forward.Client {
	return forward.NewClient(forward.Dial, log)
}

func newForwardServer(instance *Instance, log zerolog.Logger) *forward.Server {
	return forward.NewServer(func() forward.Session { return instance.holder.NewSession() }, log)
}

// followPlacement keeps the placement up to date with the live instances.
func (i *Instance) followPlacement(ctx context.Context) {
	state.Every(ctx, placementInterval, i.placement.Update)
}

// awaitForwarded waits until no statement or transaction of another instance uses a
// connection of this one, at most until deadline.
func (i *Instance) awaitForwarded(ctx context.Context, deadline time.Time) {
	for i.holder.Open() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		state.Pause(ctx, forwardedPollInterval)
	}
}

const forwardedPollInterval = 20 * time.Millisecond
