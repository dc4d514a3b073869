package platform

import (
	"net/http"
	"time"
)

// Paths that SwitchHandler serves.
const (
	PathSwitches = "/switches"
	PathCounts   = "/counts"
)

// Switches is a request that sets the faults of a stand-in that runs in another
// process. A nil field leaves its fault unchanged.
type Switches struct {
	Down                *bool    `json:"down,omitempty"`
	SlowMillis          *int64   `json:"slow_ms,omitempty"`
	DropNextResponses   *int     `json:"lose_next_answers,omitempty"`
	ErrorShare          *float64 `json:"error_share,omitempty"`
	StaleReads          *bool    `json:"stale_reads,omitempty"`
	InstanceLagMillis   *int64   `json:"instance_lag_ms,omitempty"`
	TakeSnapshot        bool     `json:"take_snapshot,omitempty"`
	RestoreLastSnapshot bool     `json:"restore_last_snapshot,omitempty"`
}

// SwitchHandler serves POST PathSwitches and GET PathCounts. It is separate from
// Handler so that the faults do not apply to it.
func (s *Server) SwitchHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathSwitches, func(w http.ResponseWriter, r *http.Request) {
		var switches Switches
		if err := decode(r, &switches); err != nil {
			write(w, r, failed(http.StatusBadRequest, err.Error()))
			return
		}
		s.applySwitches(switches)
		write(w, r, ok(switches))
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, r *http.Request) {
		write(w, r, ok(s.Counts()))
	})
	return mux
}

func (s *Server) applySwitches(switches Switches) {
	if switches.TakeSnapshot {
		s.saveSnapshot(s.Snapshot())
	}
	if switches.RestoreLastSnapshot {
		s.Restore(s.savedSnapshot())
	}
	s.setFaults(switches)
}

func (s *Server) saveSnapshot(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = snapshot
}

func (s *Server) savedSnapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.saved
}

func (s *Server) setFaults(switches Switches) {
	if switches.Down != nil {
		s.SetDown(*switches.Down)
	}
	if switches.SlowMillis != nil {
		s.SetSlow(time.Duration(*switches.SlowMillis) * time.Millisecond)
	}
	if switches.DropNextResponses != nil {
		s.DropNextResponses(*switches.DropNextResponses)
	}
	if switches.ErrorShare != nil {
		s.SetErrorShare(*switches.ErrorShare)
	}
	if switches.StaleReads != nil {
		s.SetStaleReads(*switches.StaleReads)
	}
	if switches.InstanceLagMillis != nil {
		s.SetInstanceLag(time.Duration(*switches.InstanceLagMillis) * time.Millisecond)
	}
}
