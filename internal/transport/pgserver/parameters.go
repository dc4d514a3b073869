package pgserver

import (
	"encoding/binary"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/cyclamenpin/cyclamenpin/internal/state"
)

// Session parameters of the proxy itself. Clients set and show them like any
// other parameter; they are not sent to backend servers.
const (
	parameterPrefix = "cyclamenpin."
	// parameterToken is the session token, "group:term/offset".
	parameterToken = "cyclamenpin.session_token" //nolint:gosec // the name of a parameter
	// parameterMaxStaleness is the maximum age of the data that reads accept,
	// as a duration such as 5s; 0 means session consistency.
	parameterMaxStaleness = "cyclamenpin.max_staleness"
	// parameterRequestID is the idempotency key of the next request.
	parameterRequestID = "cyclamenpin.request_id"
	// parameterServedBy shows the database that served the last request.
	parameterServedBy = "cyclamenpin.served_by"
)

// formatToken returns the session token, which a client may present to any
// instance.
func formatToken(group state.GroupID, position state.Position) string {
	return string(group) + ":" + position.String()
}

// parseToken parses the token of a session on group. An empty token, and one of
// another group, yields the zero position.
func parseToken(text string, group state.GroupID) (state.Position, error) {
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

func cancelKeyFromRequest(message *pgproto3.CancelRequest) (CancelKey, bool) {
	if len(message.SecretKey) != secretLength {
		return CancelKey{}, false
	}
	return CancelKey{ProcessID: message.ProcessID, Secret: binary.BigEndian.Uint32(message.SecretKey)}, true
}
