package admin

import (
	"encoding/json"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
)

// Endpoints are what the admin server shows.
type Endpoints struct {
	// Dump returns the state dump: typed values without secrets or row data.
	Dump func() any
	// Ready returns nil while the instance can serve clients.
	Ready func() error
	// Metrics are those of this instance alone; they go out with those of the
	// process.
	Metrics *metrics.Set
	// Configuration serves the operators' calls.
	Configuration http.Handler
}

// NewHandler routes the admin server's calls. Health, readiness and metrics
// need no credential; guard protects the others.
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

func serveMetrics(w http.ResponseWriter, instance *metrics.Set) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if instance != nil {
		instance.WritePrometheus(w)
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
