package replication

import "time"

// Health describes the failures of requests to a database since its last
// response. The zero value means that the last request succeeded.
type Health struct {
	// Failures counts consecutive failed attempts. Each is a request on the
	// kept connection followed by one on a new connection.
	Failures int `json:"failures,omitempty"`
	// Refused counts the latest consecutive attempts in which the new
	// connection was refused.
	Refused int `json:"refused,omitempty"`
	// FailingSince is when the first of these attempts had failed, and
	// RefusedSince when the first refusal arrived. Both have a monotonic
	// clock reading.
	FailingSince time.Time `json:"failing_since,omitzero"`
	RefusedSince time.Time `json:"refused_since,omitzero"`
	StatusError  string    `json:"status_error,omitempty"`
	ProbeError   string    `json:"probe_error,omitempty"`
}

func (h *Health) recordFailure(now time.Time, statusErr, probeErr error) {
	if h.Failures == 0 {
		h.FailingSince = now
	}
	h.Failures++
	h.StatusError = statusErr.Error()
	h.ProbeError = probeErr.Error()
	if !IsRefused(probeErr) {
		h.Refused = 0
		h.RefusedSince = time.Time{}
		return
	}
	if h.Refused == 0 {
		h.RefusedSince = now
	}
	h.Refused++
}
