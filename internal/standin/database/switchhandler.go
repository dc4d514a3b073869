package database

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// SwitchHandler serves the switches over HTTP, for databases that run in a
// process of their own:
//
//	POST /kill, /restart, /silence
//	POST /freeze?on=true, /cut?on=true
//	POST /lag?for=100ms, /statement-time?for=5ms, /answer-delay?for=1s
//	GET  /status
func (s *Server) SwitchHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kill", action(func() error { s.Kill(); return nil }))
	mux.HandleFunc("POST /restart", action(s.Restart))
	mux.HandleFunc("POST /silence", action(func() error { s.SilenceOpenConnections(); return nil }))
	mux.HandleFunc("POST /freeze", flag(s.SetFrozen))
	mux.HandleFunc("POST /cut", flag(s.SetReplicationPartition))
	mux.HandleFunc("POST /lag", duration(s.SetReplicationLag))
	mux.HandleFunc("POST /statement-time", duration(s.SetStatementTime))
	mux.HandleFunc("POST /answer-delay", duration(s.SetReplyDelay))
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Status())
	})
	return mux
}

func action(run func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := run(); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

func flag(set func(bool)) http.HandlerFunc {
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

func duration(set func(time.Duration)) http.HandlerFunc {
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
