package state

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
)

// WorkspaceID is the name of a workspace: one customer application or team, with
// its credentials and limits. Older code says plan. It is empty for sessions and
// connections that belong to no workspace.
type WorkspaceID string

// RateLimit bounds the operations of a workspace over all instances. An operation
// is a single statement or a transaction. The zero value sets no limit.
type RateLimit struct {
	// PerSecond is the sustained rate, in operations a second.
	PerSecond float64
	// Burst is how many operations may exceed it at once.
	Burst float64
}

// IsZero reports whether there is no limit.
func (l RateLimit) IsZero() bool {
	return l == RateLimit{}
}

// Workspace holds what the operators grant a workspace.
type Workspace struct {
	ID WorkspaceID
	// Priority orders requests of different workspaces; 0 is served first.
	Priority int
	Limit    RateLimit
}

// KeyHash is the hash of a workspace's key. Keys themselves are neither kept nor
// logged.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash {
	return sha256.Sum256([]byte(key))
}

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

var errKeyHashLength = errors.New("key hash has the wrong length")

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil {
		return err
	}
	if len(decoded) != len(h) {
		return errKeyHashLength
	}
	copy(h[:], decoded)
	return nil
}
