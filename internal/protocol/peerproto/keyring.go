package peerproto

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// MinKeyBytes is the minimum length of a shared key, in bytes.
const MinKeyBytes = 16

// ErrNoKeys reports an empty list of shared keys.
var ErrNoKeys = errors.New("no shared key for peers")

// KeyRing holds the keys that all instances share. The first key signs, and a
// signature by any key is accepted. To rotate keys, append the new key on all
// instances, then move it to the front on all, then remove the old one. A
// KeyRing is safe for concurrent use.
type KeyRing struct {
	keys atomic.Pointer[[][]byte]
}

// NewKeyRing returns a ring of the given keys. It returns an error under the
// same conditions as Set.
func NewKeyRing(keys ...[]byte) (*KeyRing, error) {
	ring := &KeyRing{}
	if err := ring.Set(keys...); err != nil {
		return nil, err
	}
	return ring, nil
}

// Set replaces the keys. It rejects an empty list and keys shorter than
// MinKeyBytes, and then leaves the ring unchanged. A handshake in progress
// continues with the keys that were set when it started.
func (r *KeyRing) Set(keys ...[]byte) error {
	if len(keys) == 0 {
		return ErrNoKeys
	}
	copied := make([][]byte, 0, len(keys))
	for i, key := range keys {
		if len(key) < MinKeyBytes {
			return eris.Errorf("shared key %d has %d bytes, want at least %d", i+1, len(key), MinKeyBytes)
		}
		copied = append(copied, append([]byte(nil), key...))
	}
	r.keys.Store(&copied)
	return nil
}

// String returns a fixed text, so that the keys do not appear in logs.
func (r *KeyRing) String() string {
	return "KeyRing(redacted)"
}

func (r *KeyRing) snapshot() [][]byte {
	keys := r.keys.Load()
	if keys == nil {
		return nil
	}
	return *keys
}

func sign(key, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(transcript)
	return mac.Sum(nil)
}

// verify reports whether signature is the signature of transcript by any of the
// keys.
func verify(keys [][]byte, transcript, signature []byte) bool {
	valid := false
	for _, key := range keys {
		if hmac.Equal(sign(key, transcript), signature) {
			valid = true
		}
	}
	return valid
}
