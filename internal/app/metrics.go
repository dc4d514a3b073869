package app

import "github.com/VictoriaMetrics/metrics"

// newMetrics returns the metric set with this instance's gauges.
func (i *Instance) newMetrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge(`cyclamenpin_clients`, func() float64 {
		return float64(i.clients.Clients())
	})
	set.NewGauge(`cyclamenpin_configuration_revision`, func() float64 {
		return float64(i.Revision())
	})
	set.NewGauge(`cyclamenpin_groups_watched`, func() float64 {
		return float64(i.ownership.WatchedCount())
	})
	set.NewGauge(`cyclamenpin_instances_known`, func() float64 {
		return float64(len(i.membership.Peers()) + 1)
	})
	set.NewGauge(`cyclamenpin_platform_available`, func() float64 {
		if i.platform.Available() {
			return 1
		}
		return 0
	})
	return set
}
