package admin

import (
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Paths of the configuration API on an instance's admin server. Responses
// contain configuration.KeptVerifier in place of the plans' password verifiers.
const (
	// PathConfiguration accepts GET and returns a ConfigurationResponse.
	// ?revision=N selects a revision from the history.
	PathConfiguration = "/v1/configuration"
	// PathEdits accepts POST of a configuration.Edit, and GET if followed by an
	// edit id. Both return a configuration.EditResult.
	PathEdits = "/v1/configuration/edits"
	// PathHistory accepts GET, optionally with ?limit=N, and returns a
	// HistoryResponse.
	PathHistory = "/v1/configuration/history"
	// PathInForce accepts GET, optionally with ?revision=N, and returns a
	// configuration.InForce.
	PathInForce = "/v1/configuration/in-force"
)

// ConfigurationResponse contains a configuration. Stale is set if the platform
// could not be read; the configuration is then the one in force on this
// instance, which may be older than the current one.
type ConfigurationResponse struct {
	Configuration *state.Configuration `json:"configuration"`
	Stale         bool                 `json:"stale,omitempty"`
}

// HistoryResponse lists configurations, newest first.
type HistoryResponse struct {
	Configurations []*state.Configuration `json:"configurations"`
}

// ErrorResponse is the body of every response of the configuration API whose
// status is not 200, including those to requests without a valid token. If the
// error has a specific type, the corresponding pointer is set.
type ErrorResponse struct {
	Message    string                            `json:"message"`
	Validation *configuration.ValidationError    `json:"validation,omitempty"`
	Conflict   *configuration.ConflictError      `json:"conflict,omitempty"`
	Behind     *configuration.BehindInForceError `json:"behind_in_force,omitempty"`
	Reused     *configuration.EditReusedError    `json:"edit_reused,omitempty"`
	Failure    *state.Failure                    `json:"failure,omitempty"`
}

// Err returns the typed error that the response carries, or nil.
func (r ErrorResponse) Err() error {
	switch {
	case r.Validation != nil:
		return r.Validation
	case r.Conflict != nil:
		return r.Conflict
	case r.Behind != nil:
		return r.Behind
	case r.Reused != nil:
		return r.Reused
	case r.Failure != nil:
		return r.Failure
	default:
		return nil
	}
}
