package pgserver

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Session parameters of the proxy itself. Clients set and show them like any
// other; backend servers never see them.
const (
	parameterPrefix = "cyclamenpin."
	// parameterToken is the session token, "group:term/offset".
	parameterToken = "cyclamenpin.session_token" //nolint:gosec // the name of a parameter
	// parameterMaxStaleness is the age of data that reads accept, as a
	// duration such as 5s; 0 asks for session consistency.
	parameterMaxStaleness = "cyclamenpin.max_staleness"
	// parameterRequestID is the idempotency key of the next request.
	parameterRequestID = "cyclamenpin.request_id"
	// parameterServedBy shows the database that served the last request.
	parameterServedBy = "cyclamenpin.served_by"
)

// formatToken writes the token that a client may bring to another instance.
func formatToken(group state.GroupID, floor state.Position) string {
	return string(group) + ":" + floor.String()
}

// tokenFor reads a token for a session on group; empty reads as none. A token
// of another group says nothing here and is ignored.
func tokenFor(text string, group state.GroupID) (state.Position, error) {
	if text == "" {
		return state.Position{}, nil
	}
	separator := strings.LastIndexByte(text, ':')
	if separator < 0 {
		return state.Position{}, eris.Errorf("parse session token %q: want group:term/offset", text)
	}
	position, err := state.ParsePosition(text[separator+1:])
	if err != nil {
		return state.Position{}, eris.Wrap(err, "parse session token")
	}
	if state.GroupID(text[:separator]) != group {
		return state.Position{}, nil
	}
	return position, nil
}

// secretLength is the length of the secret in BackendKeyData.
const secretLength = 4

func secretBytes(key CancelKey) []byte {
	return binary.BigEndian.AppendUint32(nil, key.Secret)
}

func cancelKeyOf(message *pgproto3.CancelRequest) (CancelKey, bool) {
	if len(message.SecretKey) != secretLength {
		return CancelKey{}, false
	}
	return CancelKey{ProcessID: message.ProcessID, Secret: binary.BigEndian.Uint32(message.SecretKey)}, true
}
