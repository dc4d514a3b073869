package entry

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/directory"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/rowstore"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

// followers watch the store's tables. A renewal of the lease detects a change of
// the configuration or of a primary even if the watch's response is lost, so these
// two tables use the long wait; the servers' table uses the short one, and the
// instances of a data centre share its watch.
type followers struct {
	configuration, servers, primaries *rowstore.Follower
}

func newFollowers(instance *Instance, settings platform.Settings, store *rowstore.EraStore, availability *rowstore.Availability, dir *directory.Directory, leaders *leadership.Manager, clock state.Clock, log zerolog.Logger) *followers {
	follower := func(config rowstore.FollowerConfig) *rowstore.Follower {
		config.Store, config.Availability, config.Clock, config.Log = store, availability, clock, log
		follower := rowstore.NewFollower(config)
		store.OnNewEra(follower.BeginEra)
		return follower
	}
	sharing := rowstore.NewSharing(platform.ServersTable, settings.Instance, leaders, instance.peers.Sender(topicRegistrations), clock, log)
	return &followers{
		configuration: follower(rowstore.FollowerConfig{Table: platform.ConfigurationTable, Wait: rowstore.LongWait, EraSpread: rowstore.EraSpread, Apply: dir.ApplyConfiguration}),
		servers: follower(rowstore.FollowerConfig{
			Table: platform.ServersTable, Wait: rowstore.ShortWait, WaitAfterOutage: rowstore.OutageWait, Unsettled: dir.Unsettled, MinInterval: rowstore.BatchInterval, MaxInterval: rowstore.MaxBatchInterval, EraSpread: rowstore.EraSpread,
			Sharing: sharing, SharedWait: rowstore.SharedWait,
			Apply: func(update rowstore.Update) {
				dir.ApplyServers(update)
				leaders.RegistrationsChanged()
			},
		}),
		primaries: follower(rowstore.FollowerConfig{Table: leadership.TablePrimaries, Wait: rowstore.LongWait, Apply: leaders.Apply}),
	}
}

// watchedRows returns the condition of renewals on the configuration's row. There is
// none while a new configuration is arriving: the store's refusal would hold the
// configuration once more, and on a slow link neither would arrive in time.
func (i *Instance) watchedRows() []rowstore.Condition {
	if i.followers.configuration.Receiving() {
		return nil
	}
	return i.directory.WatchedRows()
}

// run starts all followers, which run until ctx ends.
func (f *followers) run(ctx context.Context) {
	for _, follower := range []*rowstore.Follower{f.configuration, f.servers, f.primaries} {
		go follower.Run(ctx)
	}
}
