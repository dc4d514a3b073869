package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/leadership"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/placement"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/pooling"
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/ratelimit"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
	"github.com/cyclamenpin/cyclamenpin/platform"
)

// handler returns the HTTP handler of the readiness probe, the metrics and the
// dump.
func (i *Instance) handler() http.Handler {
	gauges := i.gauges()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !i.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		gauges.WritePrometheus(w)
		i.writeGroupMetrics(w)
		i.writeLimitMetrics(w)
		i.engine.WriteMetrics(w)
		metrics.WritePrometheus(w, true)
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(i.Dump()); err != nil {
			i.logs.Warn().Err(err).Msg("writing the dump failed")
		}
	})
	return mux
}

// gauges returns the gauges without labels.
func (i *Instance) gauges() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge(`cyclamenpin_entry_clients`, func() float64 { return float64(i.server.Clients()) })
	set.NewGauge(`cyclamenpin_entry_links_out`, func() float64 { return float64(i.links.Links()) })
	set.NewGauge(`cyclamenpin_entry_links_in`, func() float64 { return float64(i.linkServer.Links()) })
	set.NewGauge(`cyclamenpin_entry_connections_used_for_others`, func() float64 { return float64(i.holder.Open()) })
	set.NewGauge(`cyclamenpin_entry_databases_held`, func() float64 {
		held := 0
		for _, placed := range i.placement.Snapshot() {
			if placed.Holds {
				held++
			}
		}
		return float64(held)
	})
	set.NewGauge(`cyclamenpin_entry_ready`, boolGauge(i.Ready))
	set.NewGauge(`cyclamenpin_entry_configuration_version`, func() float64 {
		if routes := i.directory.Routes(); routes != nil {
			return float64(routes.Version)
		}
		return 0
	})
	set.NewGauge(`cyclamenpin_entry_instances_live`, func() float64 { return float64(i.leadership.Members()) })
	set.NewGauge(`cyclamenpin_entry_promotion_duty_held`, boolGauge(i.leadership.DutyHeld))
	set.NewGauge(`cyclamenpin_entry_promotion_calls_pending`, func() float64 { return float64(i.leadership.PendingCalls()) })
	set.NewGauge(`cyclamenpin_entry_isolated`, boolGauge(i.leadership.Isolated))
	set.NewGauge(`cyclamenpin_entry_lease_left_seconds`, func() float64 {
		_, left := i.leadership.Snapshot()
		return left.Seconds()
	})
	return set
}

// boolGauge returns a gauge function that is 1 while the condition holds, else 0.
func boolGauge(holds func() bool) func() float64 {
	return func() float64 {
		if holds() {
			return 1
		}
		return 0
	}
}

// Dump is the state of an instance, served as JSON.
type Dump struct {
	Instance      state.InstanceID    `json:"instance"`
	Run           int64               `json:"run"`
	UptimeSeconds float64             `json:"uptime_seconds"`
	Ready         bool                `json:"ready"`
	Clients       int                 `json:"clients"`
	Configuration uint64              `json:"configuration_version"`
	Routes        int                 `json:"routes"`
	LeaseLeft     time.Duration       `json:"lease_left_ns"`
	Instances     int                 `json:"instances_live"`
	Primaries     []leadership.Status `json:"primaries"`
	Pools         []pooling.Stats     `json:"pools"`
	Placement     []placement.Status  `json:"placement"`
	// Limits are those of workspaces, the largest first.
	Limits []ratelimit.WorkspaceStats `json:"limits"`
}

// Dump returns the state of the instance. It contains no data of clients.
func (i *Instance) Dump() Dump {
	primaries, left := i.leadership.Snapshot()
	dump := Dump{
		Instance: i.settings.Load().Instance, Run: i.run, UptimeSeconds: time.Since(i.started).Seconds(),
		Ready: i.Ready(), Clients: i.server.Clients(), LeaseLeft: left, Instances: i.leadership.Members(),
		Primaries: primaries, Pools: i.pools.Stats(), Placement: i.placement.Snapshot(), Limits: i.limits.Stats(),
	}
	if routes := i.directory.Routes(); routes != nil {
		dump.Configuration, dump.Routes = routes.Version, len(routes.Routes)
	}
	return dump
}
