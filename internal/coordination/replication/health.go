package replication

import "time"

// Health says how the requests to a database have failed since it last
// answered. The zero value is that of a database whose last request succeeded.
type Health struct {
	// Failures counts failed exchanges in a row, each of a request on the
	// kept connection and one on a new connection.
	Failures int `json:"failures,omitempty"`
	// Refused counts those in a row in which the new connection was refused.
	Refused int `json:"refused,omitempty"`
	// FailingSince is when the first of these exchanges had failed, and
	// RefusedSince when the first refusal arrived. They carry a monotonic
	// reading.
	FailingSince time.Time `json:"failing_since,omitzero"`
	RefusedSince time.Time `json:"refused_since,omitzero"`
	StatusError  string    `json:"status_error,omitempty"`
	ProbeError   string    `json:"probe_error,omitempty"`
}

func (h *Health) fail(now time.Time, statusErr, probeErr error) {
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
