package admin

import (
	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Paths of the configuration on an instance's admin server. Plans are always
// shown with configuration.KeptVerifier in place of their password verifiers.
const (
	// PathConfiguration takes GET, with ?revision=N for one of the history,
	// and answers ConfigurationResponse.
	PathConfiguration = "/v1/configuration"
	// PathEdits takes POST of a configuration.Edit, and followed by an edit id
	// GET; both answer configuration.EditResult.
	PathEdits = "/v1/configuration/edits"
	// PathHistory takes GET, with ?limit=N, and answers HistoryResponse.
	PathHistory = "/v1/configuration/history"
	// PathInForce takes GET, with ?revision=N, and answers
	// configuration.InForce.
	PathInForce = "/v1/configuration/in-force"
)

// ConfigurationResponse is a configuration. Stale is set where the platform
// could not be asked, so that it is only what is in force on this instance.
type ConfigurationResponse struct {
	Configuration *state.Configuration `json:"configuration"`
	Stale         bool                 `json:"stale,omitempty"`
}

// HistoryResponse lists configurations, the newest first.
type HistoryResponse struct {
	Configurations []*state.Configuration `json:"configurations"`
}

// ErrorResponse is the body of each answer whose status is not 200. One of the
// pointers is set where the error has a type of its own.
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
