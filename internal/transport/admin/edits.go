// Package admin serves an instance's endpoints for operators.
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

// Bounds of requests.
const (
	maxEditBytes        = 4 << 20
	editTimeout         = 20 * time.Second
	defaultHistoryLimit = 20
	maxHistoryLimit     = 200
)

// Store is where edits are accepted. configuration.Store implements it.
type Store interface {
	Current(ctx context.Context) (*state.Configuration, error)
	Revision(ctx context.Context, revision state.Revision) (*state.Configuration, error)
	History(ctx context.Context, limit int) ([]*state.Configuration, error)
	FindEdit(ctx context.Context, editID string) (state.Revision, error)
	Edit(ctx context.Context, edit configuration.Edit, inForce *state.Configuration,
		groups []state.GroupID) (configuration.Accepted, error)
}

// Follower knows the configuration in force, here and on the peers.
// configuration.Follower implements it.
type Follower interface {
	Current() *state.Configuration
	Offer(ctx context.Context, offered *state.Configuration, source configuration.Source) bool
	AskAll(ctx context.Context, revision state.Revision) configuration.InForce
}

// ConfigurationHandler serves the operators' requests about the configuration.
type ConfigurationHandler struct {
	store   Store
	inForce Follower
	groups  func() []state.GroupID
	logger  zerolog.Logger
}

// NewConfigurationHandler returns the handlers. groups returns the known databases, or nil
// where none is known yet.
func NewConfigurationHandler(store Store, inForce Follower, groups func() []state.GroupID, logger zerolog.Logger) *ConfigurationHandler {
	return &ConfigurationHandler{store: store, inForce: inForce, groups: groups, logger: logger}
}

// Register mounts the handlers on their paths.
func (e *ConfigurationHandler) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathConfiguration, e.getConfiguration)
	mux.HandleFunc("POST "+PathEdits, e.postEdit)
	mux.HandleFunc("GET "+PathEdits+"/{id}", e.getEdit)
	mux.HandleFunc("GET "+PathHistory, e.getHistory)
	mux.HandleFunc("GET "+PathInForce, e.getInForce)
}

func (e *ConfigurationHandler) getConfiguration(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Has("revision") {
		e.getRevision(w, r)
		return
	}
	newest, err := e.store.Current(r.Context())
	held := e.inForce.Current()
	if err != nil && held == nil {
		respondError(w, err)
		return
	}
	if newest == nil {
		newest = &state.Configuration{}
	}
	if held != nil && held.Revision > newest.Revision {
		newest = held
	}
	respond(w, http.StatusOK, ConfigurationResponse{Configuration: configuration.Redacted(newest), Stale: err != nil})
}

func (e *ConfigurationHandler) getRevision(w http.ResponseWriter, r *http.Request) {
	revision, ok := numberParameter(w, r, "revision", 0)
	if !ok {
		return
	}
	found, err := e.store.Revision(r.Context(), state.Revision(revision))
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

// postEdit goes on with an edit whose caller went away, so that its outcome
// stays known to the edit's id.
func (e *ConfigurationHandler) postEdit(w http.ResponseWriter, r *http.Request) {
	edit, ok := decodeEdit(w, r)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), editTimeout)
	defer cancel()
	e.inForce.AskAll(ctx, 0)
	accepted, err := e.store.Edit(ctx, edit, e.inForce.Current(), e.groups())
	if err != nil {
		e.logger.Info().Str("edit", edit.ID).Err(err).Msg("edit not accepted")
		respondError(w, err)
		return
	}
	e.logger.Info().Str("edit", edit.ID).Uint64("revision", uint64(accepted.Revision)).Msg("edit accepted")
	e.inForce.Offer(ctx, accepted.Configuration, configuration.SourceEdit)
	respond(w, http.StatusOK, accepted)
}

// decodeEdit wants the JSON content type, which a browser does not send to
// another site unasked.
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

func (e *ConfigurationHandler) getEdit(w http.ResponseWriter, r *http.Request) {
	revision, err := e.store.FindEdit(r.Context(), r.PathValue("id"))
	if err != nil {
		respondError(w, err)
		return
	}
	if revision == 0 {
		respond(w, http.StatusNotFound, ErrorResponse{Message: "no edit of that id was accepted"})
		return
	}
	respond(w, http.StatusOK, configuration.Accepted{Revision: revision, AlreadyAccepted: true})
}

func (e *ConfigurationHandler) getHistory(w http.ResponseWriter, r *http.Request) {
	limit, ok := numberParameter(w, r, "limit", defaultHistoryLimit)
	if !ok {
		return
	}
	history, err := e.store.History(r.Context(), int(min(limit, maxHistoryLimit)))
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

// getInForce asks about the revision in force here where none is given.
func (e *ConfigurationHandler) getInForce(w http.ResponseWriter, r *http.Request) {
	var own uint64
	if held := e.inForce.Current(); held != nil {
		own = uint64(held.Revision)
	}
	revision, ok := numberParameter(w, r, "revision", own)
	if !ok {
		return
	}
	respond(w, http.StatusOK, e.inForce.AskAll(r.Context(), state.Revision(revision)))
}

func numberParameter(w http.ResponseWriter, r *http.Request, name string, missing uint64) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return missing, true
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		respond(w, http.StatusBadRequest, ErrorResponse{Message: name + " must be a number"})
		return 0, false
	}
	return value, true
}

// respondError writes an error of the store with the status that fits it.
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

// failureStatus is 503 where nothing ran, and 504 where the outcome is unknown.
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
