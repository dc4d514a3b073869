// Package admin serves an instance's HTTP endpoints for operators.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/cyclamenpin/cyclamenpin/internal/coordination/configuration"
	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Limits of requests.
const (
	maxEditBytes        = 4 << 20
	editTimeout         = 20 * time.Second
	defaultHistoryLimit = 20
	maxHistoryLimit     = 200
)

// Store reads the configuration and its history, and accepts edits.
// configuration.Store implements it.
type Store interface {
	Current(ctx context.Context) (*state.Configuration, error)
	Revision(ctx context.Context, revision state.Revision) (*state.Configuration, error)
	History(ctx context.Context, limit int) ([]*state.Configuration, error)
	FindEdit(ctx context.Context, editID string) (state.Revision, error)
	Edit(ctx context.Context, edit configuration.Edit, inForce *state.Configuration,
		groups []state.GroupID) (configuration.EditResult, error)
}

// Follower provides the configuration in force on this instance and checks
// which one is in force on its peers. configuration.Follower implements it.
type Follower interface {
	Current() *state.Configuration
	Offer(ctx context.Context, offered *state.Configuration, source configuration.Source) bool
	CheckInForce(ctx context.Context, revision state.Revision) configuration.InForce
}

// ConfigurationHandler serves operators' requests to read and edit the
// configuration.
type ConfigurationHandler struct {
	store    Store
	follower Follower
	groups   func() []state.GroupID
	logger   zerolog.Logger
}

// NewConfigurationHandler returns a handler. groups returns the ids of the known
// groups, or nil if none is known yet.
func NewConfigurationHandler(store Store, follower Follower, groups func() []state.GroupID, logger zerolog.Logger) *ConfigurationHandler {
	return &ConfigurationHandler{store: store, follower: follower, groups: groups, logger: logger}
}

// Register adds the routes of the configuration API to mux.
func (h *ConfigurationHandler) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathConfiguration, h.getConfiguration)
	mux.HandleFunc("POST "+PathEdits, h.postEdit)
	mux.HandleFunc("GET "+PathEdits+"/{id}", h.getEdit)
	mux.HandleFunc("GET "+PathHistory, h.getHistory)
	mux.HandleFunc("GET "+PathInForce, h.getInForce)
}

func (h *ConfigurationHandler) getConfiguration(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("revision") {
		h.getRevision(w, r)
		return
	}
	newest, err := h.store.Current(r.Context())
	inForce := h.follower.Current()
	if err != nil && inForce == nil {
		respondError(w, err)
		return
	}
	if newest == nil {
		newest = &state.Configuration{}
	}
	if inForce != nil && inForce.Revision > newest.Revision {
		newest = inForce
	}
	respond(w, http.StatusOK, ConfigurationResponse{Configuration: configuration.Redacted(newest), Stale: err != nil})
}

func (h *ConfigurationHandler) getRevision(w http.ResponseWriter, r *http.Request) {
	revision, ok := numberParameter(w, r, "revision", 0)
	if !ok {
		return
	}
	found, err := h.store.Revision(r.Context(), state.Revision(revision))
	if err != nil {
		respondError(w, err)
		return
	}
	if found == nil {
		respond(w, http.StatusNotFound, ErrorResponse{Message: "the revision is not in the history"})
		return
	}
	respond(w, http.StatusOK, ConfigurationResponse{Configuration: configuration.Redacted(found)})
}

// postEdit completes an edit even if its caller disconnects. The caller can look
// up the outcome by the edit's id.
func (h *ConfigurationHandler) postEdit(w http.ResponseWriter, r *http.Request) {
	edit, ok := decodeEdit(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), editTimeout)
	defer cancel()
	h.follower.CheckInForce(ctx, 0)
	accepted, err := h.store.Edit(ctx, edit, h.follower.Current(), h.groups())
	if err != nil {
		h.logger.Info().Str("edit", edit.ID).Err(err).Msg("edit not accepted")
		respondError(w, err)
		return
	}
	h.logger.Info().Str("edit", edit.ID).Uint64("revision", uint64(accepted.Revision)).Msg("edit accepted")
	h.follower.Offer(ctx, accepted.Configuration, configuration.SourceEdit)
	respond(w, http.StatusOK, accepted)
}

// decodeEdit requires the JSON content type, which a browser does not send to
// another site without a preflight request.
func decodeEdit(w http.ResponseWriter, r *http.Request) (configuration.Edit, bool) {
	var edit configuration.Edit
	contentType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || contentType != "application/json" {
		respond(w, http.StatusUnsupportedMediaType, ErrorResponse{Message: "want application/json"})
		return edit, false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&edit); err != nil {
		respond(w, http.StatusBadRequest, ErrorResponse{Message: "the edit is malformed: " + err.Error()})
		return edit, false
	}
	return edit, true
}

func (h *ConfigurationHandler) getEdit(w http.ResponseWriter, r *http.Request) {
	revision, err := h.store.FindEdit(r.Context(), r.PathValue("id"))
	if err != nil {
		respondError(w, err)
		return
	}
	if revision == 0 {
		respond(w, http.StatusNotFound, ErrorResponse{Message: "no edit of that id was accepted"})
		return
	}
	respond(w, http.StatusOK, configuration.EditResult{Revision: revision, AlreadyAccepted: true})
}

func (h *ConfigurationHandler) getHistory(w http.ResponseWriter, r *http.Request) {
	limit, ok := numberParameter(w, r, "limit", defaultHistoryLimit)
	if !ok {
		return
	}
	history, err := h.store.History(r.Context(), int(min(limit, maxHistoryLimit)))
	if err != nil {
		respondError(w, err)
		return
	}
	response := HistoryResponse{Configurations: make([]*state.Configuration, len(history))}
	for i, entry := range history {
		response.Configurations[i] = configuration.Redacted(entry)
	}
	respond(w, http.StatusOK, response)
}

// getInForce checks on which instances a revision is in force. Without a
// revision parameter it checks the one in force on this instance.
func (h *ConfigurationHandler) getInForce(w http.ResponseWriter, r *http.Request) {
	var currentRevision uint64
	if inForce := h.follower.Current(); inForce != nil {
		currentRevision = uint64(inForce.Revision)
	}
	revision, ok := numberParameter(w, r, "revision", currentRevision)
	if !ok {
		return
	}
	respond(w, http.StatusOK, h.follower.CheckInForce(r.Context(), state.Revision(revision)))
}

func numberParameter(w http.ResponseWriter, r *http.Request, name string, defaultValue uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, true
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		respond(w, http.StatusBadRequest, ErrorResponse{Message: name + " must be a number"})
		return 0, false
	}
	return value, true
}

// respondError writes an error returned by the store, with the matching HTTP
// status.
func respondError(w http.ResponseWriter, err error) {
	response := ErrorResponse{Message: err.Error()}
	status := http.StatusInternalServerError
	switch {
	case errors.As(err, &response.Validation):
		status = http.StatusBadRequest
	case errors.As(err, &response.Conflict), errors.As(err, &response.Behind), errors.As(err, &response.Reused):
		status = http.StatusConflict
	case errors.As(err, &response.Failure):
		status = failureStatus(w, response.Failure)
	}
	respond(w, status, response)
}

// failureStatus returns 503 if nothing ran, or 504 if the outcome is unknown. It
// also sets the Retry-After header if the failure has a retry delay.
func failureStatus(w http.ResponseWriter, failure *state.Failure) int {
	if failure.RetryAfter > 0 {
		seconds := int64((failure.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	if failure.Outcome == state.OutcomeUnknown {
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
