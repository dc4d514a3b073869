package database

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// SwitchHandler serves the fault-injection switches over HTTP, for databases that
// run in their own process:
//
//	POST /kill, /restart, /silence
//	POST /freeze?on=true, /cut?on=true
//	POST /lag?for=100ms, /statement-time?for=5ms, /answer-delay?for=1s
//	GET  /status
func (s *Server) SwitchHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kill", actionHandler(func() error { s.Kill(); return nil }))
	mux.HandleFunc("POST /restart", actionHandler(s.Restart))
	mux.HandleFunc("POST /silence", actionHandler(func() error { s.SilenceOpenConnections(); return nil }))
	mux.HandleFunc("POST /freeze", boolHandler(s.SetFrozen))
	mux.HandleFunc("POST /cut", boolHandler(s.SetReplicationPartition))
	mux.HandleFunc("POST /lag", durationHandler(s.SetReplicationLag))
	mux.HandleFunc("POST /statement-time", durationHandler(s.SetStatementTime))
	mux.HandleFunc("POST /answer-delay", durationHandler(s.SetReplyDelay))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Status())
	})
	return mux
}

func actionHandler(run func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := run(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func boolHandler(set func(bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		on, err := strconv.ParseBool(r.URL.Query().Get("on"))
		if err != nil {
			http.Error(w, "parameter on: want true or false", http.StatusBadRequest)
			return
		}
		set(on)
		w.WriteHeader(http.StatusNoContent)
	}
}

func durationHandler(set func(time.Duration)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := time.ParseDuration(r.URL.Query().Get("for"))
		if err != nil || value < 0 {
			http.Error(w, "parameter for: want a duration such as 100ms", http.StatusBadRequest)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}
