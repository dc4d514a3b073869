package admin

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Endpoints provides the content that the admin server serves.
type Endpoints struct {
	// Dump returns the state dump, which is encoded as JSON and must contain no
	// secrets and no row data.
	Dump func() any
	// Ready returns nil if the instance can serve clients, or the reason why it
	// cannot.
	Ready func() error
	// Metrics holds the metrics of this instance only. They are served together
	// with those of the process.
	Metrics *metrics.Set
	// Configuration serves the configuration API; nil disables it.
	Configuration http.Handler
}

// NewHandler returns the handler of the admin server. Health, readiness and
// metrics need no credential; guard protects all other endpoints.
func NewHandler(endpoints Endpoints, guard func(http.Handler) http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", serveHealth)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		serveReadiness(w, endpoints.Ready())
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		serveMetrics(w, endpoints.Metrics)
	})
	mux.Handle("GET /dump", guard(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		serveDump(w, endpoints.Dump())
	})))
	if endpoints.Configuration != nil {
		mux.Handle("/", guard(endpoints.Configuration))
	}
	return mux
}

func serveHealth(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func serveReadiness(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func serveMetrics(w http.ResponseWriter, instanceMetrics *metrics.Set) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if instanceMetrics != nil {
		instanceMetrics.WritePrometheus(w)
	}
	metrics.WritePrometheus(w, true)
}

func serveDump(w http.ResponseWriter, dump any) {
	encoded, err := json.MarshalIndent(dump, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(encoded, '\n'))
}
